/**
 * The event stream that passes to the caller, from one runner after the other: whole events only, one head.
 */
import type { IncomingMessage } from 'node:http';

import type { AnswerRelay } from './AnswerRelay.js';
import { EventStreamCut } from './EventStreamCut.js';
import type { RunnerAttempt } from './RunnerAttempt.js';

const SUCCESS = 200;

const EVENT_STREAM = 'text/event-stream';

/**
 * @param answer - a runner's.
 * @returns Whether its body is a stream of events.
 */
export function isEventStream({ statusCode, headers }: IncomingMessage): boolean {
  return statusCode === SUCCESS && (headers['content-type'] ?? '').startsWith(EVENT_STREAM);
}

/** Owns the place where the caller's stream stands. */
export class StreamedAnswer {
  private readonly relay: AnswerRelay;

  private readonly cut = new EventStreamCut();

  private attempt: RunnerAttempt | undefined;

  private answer: IncomingMessage | undefined;

  /**
   * @param relay - to the caller.
   */
  constructor(relay: AnswerRelay) {
    this.relay = relay;
  }

  /** @returns The last event that the caller has, or `undefined` before the first one. */
  get lastEventId(): string | undefined {
    return this.relay.hasHead ? this.cut.lastEventId : undefined;
  }

  /**
   * @param attempt - any of the request's.
   * @returns Whether its events pass to the caller.
   */
  isFrom(attempt: RunnerAttempt): boolean {
    return attempt === this.attempt;
  }

  /**
   * Takes events from an attempt from now on.
   *
   * @param attempt - whose answer is a stream.
   * @param answer - its head; the caller gets the first one only.
   */
  take(attempt: RunnerAttempt, answer: IncomingMessage): void {
    this.attempt = attempt;
    this.answer = answer;
  }

  /**
   * @param chunk - bytes as they arrived; an unfinished event waits for its rest.
   */
  pass(chunk: Buffer): void {
    const events = this.cut.push(chunk);
    if (!events) return;
    this.begin();
    this.relay.pass(events);
  }

  /** The runner's stream is complete, and with it the caller's. */
  end(): void {
    const rest = this.cut.rest();
    this.begin();
    if (rest) this.relay.pass(rest);
    this.relay.finish();
  }

  /** The runner broke off: half an event is dropped, another runner may go on. */
  breakOff(): void {
    this.attempt = undefined;
    this.cut.drop();
  }

  private begin(): void {
    if (this.answer) this.relay.begin(this.answer);
  }
}
