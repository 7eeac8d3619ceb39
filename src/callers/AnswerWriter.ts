/**
 * Base class of the writers that turn the events of a request into an HTTP answer.
 */
import type { CallerEvent } from '../requests/requestTypes.js';
import type { CallerError } from './CallerError.js';

/** First event of an answer: the runner sent its status and headers. */
export type StartedEvent = Extract<CallerEvent, { kind: 'started' }>;

/** Event with a part of the answer's body. */
export type ChunkEvent = Extract<CallerEvent, { kind: 'chunk' }>;

/** Writes one answer in one format. Calls come in order; each one is awaited before the next. */
export abstract class AnswerWriter {
  /**
   * Writes a part of the answer.
   *
   * @param event - the event with the bytes.
   */
  abstract writeChunk(event: ChunkEvent): Promise<void>;

  /** Ends a complete answer with a marker or length that a truncated answer cannot have. */
  abstract complete(): Promise<void>;

  /**
   * Ends an answer that cannot be completed, so that the caller cannot mistake it for a complete one.
   *
   * @param error - why the answer failed.
   */
  abstract fail(error: CallerError): Promise<void>;
}
