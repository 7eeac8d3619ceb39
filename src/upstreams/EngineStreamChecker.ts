/**
 * Checks that a streamed answer of an engine belongs to the attempt and is complete.
 */
import type { EventSourceMessage } from 'eventsource-parser';
import { match } from 'ts-pattern';

import { endEventSchema, errorEventSchema } from './runnerMessages.js';
import { END_EVENT, ERROR_EVENT, parseEventId } from './runnerProtocol.js';
import type { UpstreamEvent } from './Upstream.js';

/** Options of an {@link EngineStreamChecker}. */
export interface EngineStreamCheckerOptions {
  attemptId: string;
  /** Sequence number of the last chunk that was already received; 0 if there was none. */
  afterSequence?: number;
}

type FailedEvent = Extract<UpstreamEvent, { kind: 'failed' }>;

const encoder = new TextEncoder();

/**
 * Parses JSON without throwing.
 *
 * @param text - the text.
 * @returns The value, or `undefined` if the text is not JSON.
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Converts the server-sent events of one streamed answer, in their order of arrival, into upstream events. */
export class EngineStreamChecker {
  private readonly attemptId: string;

  private lastSequence: number;

  /**
   * @param options - the attempt and the position at which its stream continues.
   */
  constructor({ attemptId, afterSequence = 0 }: EngineStreamCheckerOptions) {
    this.attemptId = attemptId;
    this.lastSequence = afterSequence;
  }

  /**
   * Checks the next event.
   *
   * @param message - the server-sent event.
   * @returns The upstream event; `undefined` for a chunk that was already received.
   */
  checkEvent(message: EventSourceMessage): UpstreamEvent | undefined {
    if (message.event === undefined) return this.takeChunk(message);
    return match(message.event)
      .with(END_EVENT, () => this.takeEnd(message.data))
      .with(ERROR_EVENT, () => this.takeError(message.data))
      .otherwise(() => this.takeChunk(message));
  }

  /** @returns The failure of a stream that ended without its end event. */
  prematureEnd(): UpstreamEvent {
    return this.fail('cut', `no end event after chunk ${this.lastSequence}`);
  }

  private takeChunk({ id, data }: EventSourceMessage): UpstreamEvent | undefined {
    const eventId = id === undefined ? undefined : parseEventId(id);
    if (!eventId) return this.fail('malformed', 'a chunk without attempt and sequence in its id');
    // If a runner mixes up two streams internally, the headers name the right attempt and only the event ids differ.
    if (eventId.attemptId !== this.attemptId) {
      return this.fail('crossed', `a chunk of attempt ${eventId.attemptId}`);
    }
    if (eventId.sequence <= this.lastSequence) return undefined;
    if (eventId.sequence !== this.lastSequence + 1) {
      return this.fail('cut', `chunk ${eventId.sequence} came after ${this.lastSequence}`);
    }
    this.lastSequence = eventId.sequence;
    return { kind: 'chunk', sequence: eventId.sequence, data: encoder.encode(data) };
  }

  private takeEnd(data: string): UpstreamEvent {
    const end = endEventSchema.safeParse(parseJson(data));
    if (!end.success) return this.fail('malformed', 'the end event has another form');
    if (end.data.attempt_id !== this.attemptId) {
      return this.fail('crossed', `the end event of attempt ${end.data.attempt_id}`);
    }
    if (end.data.last_sequence !== this.lastSequence) {
      const { last_sequence: last } = end.data;
      return this.fail('cut', `the end event names chunk ${last}, ${this.lastSequence} came last`);
    }
    const { usage } = end.data;
    return {
      kind: 'completed',
      promptTokens: usage.prompt_tokens,
      generatedTokens: usage.completion_tokens,
      cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
      lastSequence: this.lastSequence,
    };
  }

  private takeError(data: string): UpstreamEvent {
    const error = errorEventSchema.safeParse(parseJson(data));
    if (!error.success) return this.fail('malformed', 'the error event has another form');
    if (error.data.attempt_id !== this.attemptId) {
      return this.fail('crossed', `the error event of attempt ${error.data.attempt_id}`);
    }
    return { ...this.fail('cut', error.data.message), resumable: error.data.resumable };
  }

  /**
   * Creates the failure of the stream. The engine keeps the attempt's stream, so it can be resumed unless it is
   * malformed.
   */
  private fail(reason: FailedEvent['reason'], message: string): FailedEvent {
    return { kind: 'failed', reason, message, resumable: reason !== 'malformed' };
  }
}
