/**
 * Sends the requests of attempts to a model engine over HTTP and reads the answers, streamed or whole.
 */
import type { IncomingMessage } from 'node:http';

import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';

import type { StopSignal } from './StopSignal.js';
import { EngineStreamChecker, parseJson } from './EngineStreamChecker.js';
import { answerHeaders } from './forwardedHeaders.js';
import { BodyError, isLengthKnown, readParts, readWhole } from './readBody.js';
import type { ExchangeRequest, RunnerConnection } from './RunnerConnection.js';
import { wholeAnswerSchema } from './runnerMessages.js';
import { CACHED_TOKENS_HEADER, EVENT_STREAM_TYPE } from './runnerProtocol.js';
import type { UpstreamEvent } from './Upstream.js';
import {
  bodyFailure,
  crossedFailure,
  exchangeFailure,
  isRefusalBeforeStart,
  malformedFailure,
  compareAttemptId,
} from './upstreamFailures.js';

/** Options of an {@link EngineAnswerReader}. */
export interface EngineAnswerReaderOptions {
  connection: RunnerConnection;
  /** Milliseconds without a byte of a stream after which the engine counts as unresponsive. */
  idleMilliseconds: number;
  /** Maximum size of one server-sent event in bytes. */
  maximumEventBytes: number;
  /** Maximum size of one answer in bytes. */
  maximumAnswerBytes: number;
}

/** Properties that the answer to an attempt must have, and the position at which its stream continues. */
export interface ExpectedAnswer {
  /** Kind of the request. A resumed attempt has been started before, so no failure of a resumption means "not run". */
  readonly kind: 'run' | 'resume';
  readonly attemptId: string;
  /** Sequence number of the last chunk that was received; 0 if there was none. */
  readonly afterSequence: number;
  /** Whether the engine keeps the answer after the connection broke. */
  readonly resumable: boolean;
}

/** Returns the failure that follows from the status and the headers of an answer, if any. */
function checkResponseHead(
  response: IncomingMessage,
  { kind, attemptId, resumable }: ExpectedAnswer,
): UpstreamEvent | undefined {
  const echo = compareAttemptId(response, attemptId);
  if (echo === 'crossed') return crossedFailure('the answer of another attempt', resumable);
  if (echo === 'missing') return malformedFailure('the answer names no attempt');
  if (isRefusalBeforeStart(response)) {
    const message = `refused with status ${response.statusCode}`;
    return { kind: 'not_run', reason: 'refused', message };
  }
  if (kind === 'resume' && response.statusCode !== 200) {
    const message = `status ${response.statusCode}`;
    return { kind: 'failed', reason: 'unknown_attempt', message, resumable: false };
  }
  return undefined;
}

function cachedTokensOf(response: IncomingMessage): number {
  const tokens = Number(response.headers[CACHED_TOKENS_HEADER] ?? 0);
  return Number.isInteger(tokens) && tokens >= 0 ? tokens : 0;
}

/**
 * Replaces `not_run` by a resumable failure if the request is a resumption. If the engine cannot be reached for a
 * resumption, only the connection is lost; the attempt was started before, so "not run" would be wrong.
 */
function withoutNotRunOnResume(event: UpstreamEvent, { kind }: ExpectedAnswer): UpstreamEvent {
  if (kind === 'run' || event.kind !== 'not_run') return event;
  return { kind: 'failed', reason: 'cut', message: event.message, resumable: true };
}

/** Sends requests to one engine and turns its answers into events. */
export class EngineAnswerReader {
  private readonly connection: RunnerConnection;

  private readonly limits: Omit<EngineAnswerReaderOptions, 'connection'>;

  /**
   * @param options - the connection and the limits of answers.
   */
  constructor({ connection, ...limits }: EngineAnswerReaderOptions) {
    this.connection = connection;
    this.limits = limits;
  }

  /**
   * Sends a request and reads its answer.
   *
   * @param request - the request.
   * @param expected - the required properties of the answer.
   * @param stopSignal - signal that stops the exchange.
   * @returns The events in order; the last one is `completed`, `not_run` or `failed`.
   */
  async *exchange(
    request: ExchangeRequest,
    expected: ExpectedAnswer,
    stopSignal: StopSignal,
  ): AsyncGenerator<UpstreamEvent, void, undefined> {
    const result = await this.connection.exchange(request, stopSignal);
    if (result.kind !== 'response') {
      yield withoutNotRunOnResume(exchangeFailure(result, expected.resumable), expected);
      return;
    }
    const { response } = result;
    const headFailure = checkResponseHead(response, expected);
    if (headFailure) {
      response.destroy();
      yield withoutNotRunOnResume(headFailure, expected);
      return;
    }
    try {
      yield {
        kind: 'started',
        status: response.statusCode ?? 0,
        headers: answerHeaders(response.rawHeaders),
        cachedTokens: cachedTokensOf(response),
      };
      const streamed = response.headers['content-type']?.startsWith(EVENT_STREAM_TYPE) ?? false;
      if (streamed) yield* this.readStream(response, expected, stopSignal);
      else yield* this.readAnswer(response, stopSignal);
    } catch (error) {
      if (!(error instanceof BodyError)) throw error;
      yield bodyFailure(error, expected.resumable);
    } finally {
      if (!response.readableEnded) response.destroy();
    }
  }

  private async *readStream(
    response: IncomingMessage,
    { attemptId, afterSequence }: ExpectedAnswer,
    stopSignal: StopSignal,
  ): AsyncGenerator<UpstreamEvent, void, undefined> {
    const checker = new EngineStreamChecker({ attemptId, afterSequence });
    // Holds at most the events of one part of the body.
    const parsedEvents: EventSourceMessage[] = [];
    let parserFault: string | undefined;
    const parser = createParser({
      onEvent: (message) => parsedEvents.push(message),
      onError: (error) => {
        if (error.type === 'max-buffer-size-exceeded') parserFault = 'an event is too large';
      },
      maxBufferSize: this.limits.maximumEventBytes,
    });
    const decoder = new TextDecoder();
    const limits = {
      idleMilliseconds: this.limits.idleMilliseconds,
      maximumBytes: this.limits.maximumAnswerBytes,
    };
    for await (const part of readParts(response, limits, stopSignal)) {
      parser.feed(decoder.decode(part, { stream: true }));
      for (const message of parsedEvents.splice(0)) {
        const event = checker.checkEvent(message);
        if (event) yield event;
        if (event && event.kind !== 'chunk') return;
      }
      if (parserFault) {
        yield malformedFailure(parserFault);
        return;
      }
    }
    yield checker.prematureEnd();
  }

  private async *readAnswer(
    response: IncomingMessage,
    stopSignal: StopSignal,
  ): AsyncGenerator<UpstreamEvent, void, undefined> {
    const limits = {
      idleMilliseconds: Number.MAX_SAFE_INTEGER,
      maximumBytes: this.limits.maximumAnswerBytes,
    };
    const body = await readWhole(response, limits, stopSignal);
    const parsed = wholeAnswerSchema.safeParse(parseJson(body.toString('utf8')));
    // An error may be any text, so that only its length shows whether it is whole.
    const isWholeError = (response.statusCode ?? 0) >= 400 && isLengthKnown(response);
    if (!parsed.success && !isWholeError) {
      yield malformedFailure('the answer is neither JSON with a usage nor a whole error');
      return;
    }
    const usage = parsed.data?.usage;
    yield { kind: 'chunk', sequence: 1, data: body };
    yield {
      kind: 'completed',
      promptTokens: usage?.prompt_tokens ?? 0,
      generatedTokens: usage?.completion_tokens ?? 0,
      cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? cachedTokensOf(response),
      lastSequence: 1,
    };
  }
}
