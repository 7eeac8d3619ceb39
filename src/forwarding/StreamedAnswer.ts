/**
 * Forwards an event stream to the caller. When a runner fails, another one may resume the stream, so the caller gets a
 * single response head and only complete events.
 */
import type { IncomingMessage } from 'node:http';

import { framingOf } from './answerFraming.js';
import type { AnswerSource } from './AnswerOwnership.js';
import type { AnswerRelay } from './AnswerRelay.js';
import { EventStreamBuffer } from './EventStreamBuffer.js';

const SUCCESS = 200;

const EVENT_STREAM = 'text/event-stream';

/**
 * Maximum number of bytes of a runner without a complete event that has an id or data; small chunks count for more. Events have about 100 bytes; a
 * hundred streams that hold back an event of this size, in buffers of up to twice the size, take at most 52 MB of the
 * 160 MB that a daemon may use.
 */
const MAXIMUM_BYTES_WITHOUT_EVENT = 262_144;

/**
 * What a chunk of a stream has brought: `event`: a complete event with an id or data; `no_event`: none; `excess`: none,
 * in more bytes than a stream may have without one; `rejected`: the caller's answer belongs to another attempt.
 */
export type StreamProgress = 'event' | 'no_event' | 'excess' | 'rejected';

/**
 * @param answer - answer of a runner.
 * @returns Whether its body is an event stream.
 */
export function isEventStream({ statusCode, headers }: IncomingMessage): boolean {
  return statusCode === SUCCESS && (headers['content-type'] ?? '').startsWith(EVENT_STREAM);
}

/** Event stream of one request; tracks which attempt supplies it and which event the caller received last. */
export class StreamedAnswer {
  private readonly relay: AnswerRelay;

  private readonly cut = new EventStreamBuffer();

  private attempt: AnswerSource | undefined;

  private answer: IncomingMessage | undefined;

  private boundVersion: string | undefined;

  /** Version that the stream was bound to before the attempt that supplies it. */
  private versionBefore: string | undefined;

  private paused = false;

  private versionOf: () => string | undefined = () => undefined;

  /**
   * @param relay - writes to the caller.
   */
  constructor(relay: AnswerRelay) {
    this.relay = relay;
  }

  /** @returns Id of the last event that the caller has received, or `undefined` before the first one. */
  get lastEventId(): string | undefined {
    return this.relay.hasHead ? this.cut.lastEventId : undefined;
  }

  /** @returns Whether a complete event with an id or data has arrived. */
  get hasEvents(): boolean {
    return this.cut.hasEvents;
  }

  /** @returns Whether the runner is paused because the caller does not keep up, so that it cannot send events. */
  get isPaused(): boolean {
    return this.paused;
  }

  /** @returns Software version that the caller's events are from, and at which the stream may go on; `undefined`: any. */
  get softwareVersion(): string | undefined {
    return this.boundVersion;
  }

  /** @returns Whether the stream may go on at one software version only. */
  get isBound(): boolean {
    return this.boundVersion !== undefined;
  }

  /**
   * @param softwareVersion - version that began the stream, at another daemon or for an earlier request.
   */
  bindTo(softwareVersion: string): void {
    this.boundVersion = softwareVersion;
  }

  /**
   * @param attempt - an attempt of the request.
   * @returns Whether the stream is supplied by this attempt.
   */
  isFrom(attempt: AnswerSource): boolean {
    return attempt === this.attempt;
  }

  /**
   * Forwards the events of this attempt from now on.
   *
   * @param attempt - attempt whose answer is a stream.
   * @param answer - head of its answer; only the first head is sent to the caller.
   * @param versionOf - returns the software version of the runner that answers.
   */
  take(
    attempt: AnswerSource,
    answer: IncomingMessage,
    versionOf: () => string | undefined = () => undefined,
  ): void {
    this.attempt = attempt;
    this.answer = answer;
    this.versionOf = versionOf;
    this.versionBefore = this.boundVersion;
  }

  /**
   * Forwards the complete events; an incomplete one is buffered until its end arrives.
   *
   * @param chunk - bytes as they arrived.
   * @returns What the chunk has brought; after `excess` and `rejected` the attempt that supplies the stream has to be failed.
   */
  pass(chunk: Buffer): StreamProgress {
    const { bytesSinceEvent: before } = this.cut;
    const events = this.cut.push(chunk);
    const { bytesSinceEvent } = this.cut;
    if (bytesSinceEvent > MAXIMUM_BYTES_WITHOUT_EVENT) return 'excess';
    if (!events) return 'no_event';
    const version = this.versionOf();
    const { versionBefore = version } = this;
    // The runner has started again at another version than the one that the stream was to go on at.
    if (version !== versionBefore && version !== undefined) {
      this.cut.rejectLast();
      return 'rejected';
    }
    this.boundVersion = version ?? this.boundVersion;
    if (!this.begin()) return 'rejected';
    this.forward(events);
    return bytesSinceEvent < before + chunk.length ? 'event' : 'no_event';
  }

  /**
   * @returns Whether the stream, whose answer has ended, was broken off: inside an event, or before the first one where
   * only the end of the connection ends the answer.
   */
  get isBrokenOff(): boolean {
    if (this.cut.isInsideEvent) return true;
    const isEmpty = !this.relay.hasHead;
    return isEmpty && this.answer !== undefined && framingOf(this.answer) === 'until_close';
  }

  /**
   * Ends the caller's stream because the runner's stream is complete.
   *
   * @returns Whether the caller's answer belonged to this stream and is complete now.
   */
  end(): boolean {
    const { attempt } = this;
    const rest = this.cut.rest();
    if (!attempt || !this.begin()) return false;
    if (rest) this.relay.pass(attempt, rest);
    return this.relay.finish(attempt);
  }

  /**
   * Drops the incomplete event of a runner whose stream broke off; another runner may resume the stream.
   *
   * @returns Number of bytes that were dropped.
   */
  breakOff(): number {
    const { partialBytes } = this.cut;
    if (this.attempt) this.relay.release(this.attempt);
    this.attempt = undefined;
    this.paused = false;
    this.cut.drop();
    return partialBytes;
  }

  /** Pauses the runner while the caller does not keep up; otherwise the stream would accumulate in memory. */
  private forward(events: Buffer): void {
    const { answer, attempt } = this;
    if (!answer || !attempt || this.relay.pass(attempt, events) !== 'congested') return;
    answer.pause();
    this.paused = true;
    this.relay.onceDrained(() => {
      if (answer === this.answer) this.paused = false;
      answer.resume();
    });
  }

  private begin(): boolean {
    const { attempt, answer, boundVersion: softwareVersion } = this;
    if (!attempt || !answer) return false;
    return this.relay.begin(attempt, answer, { kind: 'streaming', softwareVersion });
  }
}
