/**
 * A caller as the application of a client account implements it: locates, caches the answer, calls, and retries.
 */
import { randomUUID } from 'node:crypto';

import { createParser } from 'eventsource-parser';

import { CALLER_HEADERS } from '../../src/callers/callerHeaders.js';

/** Options of a {@link CallerClient}. */
export interface CallerClientOptions {
  /** Caller addresses (`host:port`) to start from. */
  entries: readonly string[];
  /** The client account's key. */
  key: string;
}

/** Result of a call. */
export interface CallResult {
  readonly status: number;
  /** The error's code, or empty. */
  readonly code: string;
  /** Whether an error said that nothing ran. */
  readonly notRun: boolean;
  readonly runner: string;
  readonly cachedTokens: number;
  /** The address that served it. */
  readonly entry: string;
  readonly text: string;
  /** Whether a stream was complete. */
  readonly whole: boolean;
  readonly lastEventId: string;
  /** Whether an error in mid-stream said that the stream may be continued. */
  readonly resumable: boolean;
  /** With `binding_required`: the token to send. */
  readonly binding: string;
}

/** One chat question. */
export interface ChatQuestion {
  readonly model: string;
  readonly chat: string;
  readonly messages: readonly { readonly role: string; readonly content: string }[];
  readonly maximumTokens?: number;
  readonly priority?: string;
  /** Called for each event of the stream. */
  readonly onEvent?: (eventId: string) => void;
}

/** One call of a plain service. */
export interface PlainCall {
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly binding?: string;
}

const DEFAULT_MAXIMUM_TOKENS = 40;
const CALL_TIMEOUT_MILLISECONDS = 20_000;

interface ErrorBody {
  readonly error?: {
    readonly code?: string;
    readonly not_run?: boolean;
    readonly resumable?: boolean;
    readonly binding?: { readonly token: string };
  };
}

function parseJson(text: string): ErrorBody {
  try {
    return JSON.parse(text) as ErrorBody;
  } catch {
    return {};
  }
}

function endOf(failure: string): Pick<CallResult, 'code' | 'resumable'> {
  const { error } = parseJson(failure);
  return { code: error?.code ?? '', resumable: error?.resumable ?? false };
}

function contentOf(data: string): string {
  const chunk = JSON.parse(data) as { choices?: { delta?: { content?: string } }[] };
  return chunk.choices?.[0]?.delta?.content ?? '';
}

/** Calls entries by HTTP; falls back to another entry if one cannot be reached. */
export class CallerClient {
  private entries: readonly string[];

  private readonly key: string;

  /**
   * @param options - where to start and as whom.
   */
  constructor({ entries, key }: CallerClientOptions) {
    this.entries = entries;
    this.key = key;
  }

  /**
   * Asks which addresses to use for a chat.
   *
   * @param query - `model=...&chat=...` or `service=...`.
   * @returns The addresses, the preferred first.
   */
  async locate(query: string): Promise<readonly string[]> {
    const { response } = await this.fetchFromAny(this.entries, `/locate?${query}`, {});
    const { addresses } = (await response.json()) as {
      addresses: (string | { address: string })[];
    };
    return addresses.map((each) => (typeof each === 'string' ? each : each.address));
  }

  /**
   * Streams one answer of a chat.
   *
   * @param question - what to ask.
   * @param entries - addresses to use, for example from {@link CallerClient.locate}.
   * @returns What came.
   */
  async chat(question: ChatQuestion, entries = this.entries): Promise<CallResult> {
    const { model, chat, messages, maximumTokens = DEFAULT_MAXIMUM_TOKENS, priority } = question;
    const body = JSON.stringify({ model, messages, max_tokens: maximumTokens, stream: true });
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      [CALLER_HEADERS.chat]: chat,
      ...(priority ? { [CALLER_HEADERS.priority]: priority } : {}),
    };
    const answer = await this.fetchFromAny(entries, '/v1/chat/completions', {
      method: 'POST',
      headers,
      body,
    });
    return this.readStream(answer, question.onEvent);
  }

  /**
   * Continues a stream that was cut.
   *
   * @param lastEventId - the last event that came.
   * @param entries - addresses to use.
   * @returns What came after it.
   */
  async resume(lastEventId: string, entries = this.entries): Promise<CallResult> {
    const headers = { [CALLER_HEADERS.lastEventId]: lastEventId };
    return this.readStream(await this.fetchFromAny(entries, '/v1/streams', { headers }));
  }

  /**
   * Calls a plain service once; nothing is repeated here.
   *
   * @param call - what to call.
   * @param entries - addresses to use.
   * @returns What came.
   */
  async plain(
    { method, path, body, binding }: PlainCall,
    entries = this.entries,
  ): Promise<CallResult> {
    const headers = {
      'content-type': 'application/json',
      ...(binding ? { [CALLER_HEADERS.binding]: binding } : {}),
    };
    const answer = await this.fetchFromAny(entries, path, {
      method,
      headers,
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    return this.resultOf(answer, await answer.response.text(), true, '');
  }

  private async readStream(
    answer: { response: Response; entry: string },
    onEvent: (eventId: string) => void = () => {},
  ): Promise<CallResult> {
    const { response } = answer;
    if (!response.ok || !response.body) {
      return this.resultOf(answer, await response.text(), false, '');
    }
    let text = '';
    let lastEventId = '';
    let whole = false;
    let failure: string | undefined;
    const parser = createParser({
      onEvent: ({ data, id, event }) => {
        if (event === 'error') failure = data;
        else if (data === '[DONE]') whole = true;
        else text += contentOf(data);
        if (id) lastEventId = id;
        if (id) onEvent(id);
      },
    });
    const decoder = new TextDecoder();
    try {
      for await (const bytes of response.body as unknown as AsyncIterable<Uint8Array>) {
        parser.feed(decoder.decode(bytes, { stream: true }));
      }
    } catch {
      // The connection was cut, so the result is incomplete.
    }
    const result = this.resultOf(answer, text, whole && !failure, lastEventId);
    // What came before the error is part of the answer; the error itself is none of it.
    return failure === undefined ? result : { ...result, ...endOf(failure) };
  }

  private resultOf(
    { response, entry }: { response: Response; entry: string },
    text: string,
    whole: boolean,
    lastEventId: string,
  ): CallResult {
    const { error }: ErrorBody = response.ok ? {} : parseJson(text);
    return {
      status: response.status,
      code: error?.code ?? '',
      notRun: error?.not_run ?? false,
      runner: response.headers.get(CALLER_HEADERS.runner) ?? '',
      cachedTokens: Number(response.headers.get(CALLER_HEADERS.cachedTokens) ?? 0),
      entry,
      text,
      whole: whole && response.ok,
      lastEventId,
      resumable: false,
      binding: error?.binding?.token ?? '',
    };
  }

  private async fetchFromAny(
    entries: readonly string[],
    path: string,
    init: RequestInit,
  ): Promise<{ response: Response; entry: string }> {
    let failure: unknown = new Error('No entry is known.');
    for (const entry of entries) {
      try {
        const headers = {
          [CALLER_HEADERS.requestId]: randomUUID(),
          ...(init.headers as Record<string, string> | undefined),
          authorization: `Bearer ${this.key}`,
        };
        const signal = AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS);
        return {
          response: await fetch(`http://${entry}${path}`, { ...init, headers, signal }),
          entry,
        };
      } catch (error) {
        const cause = (error as { cause?: { code?: string } }).cause?.code;
        // A caller retries at the next entry only if no connection was established.
        if (cause !== 'ECONNREFUSED') throw error;
        failure = error;
      }
    }
    throw failure;
  }
}
