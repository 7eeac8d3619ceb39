/**
 * The answers to one request that are held until they are complete, so that a broken one can be replaced. One
 * that grows too large passes as it comes instead.
 */
import type { IncomingMessage } from 'node:http';

import type { AnswerRelay, HeldAnswer } from './AnswerRelay.js';
import type { RunnerAttempt } from './RunnerAttempt.js';

/**
 * Answers up to this size are held, in bytes. Plain calls answer with about 1 kB; a hundred answers of this size
 * at once take 26 MB of the 160 that a daemon may use.
 */
const MAXIMUM_HELD_BYTES = 262_144;

/** Owns what has come for one request and is not with its caller yet. */
export class HeldAnswers {
  private readonly relay: AnswerRelay;

  private readonly held = new Map<RunnerAttempt, HeldAnswer>();

  private passing: RunnerAttempt | undefined;

  /**
   * @param relay - to the caller.
   */
  constructor(relay: AnswerRelay) {
    this.relay = relay;
  }

  /**
   * @param attempt - whose answer's head is there.
   * @param answer - the head.
   */
  begin(attempt: RunnerAttempt, answer: IncomingMessage): void {
    this.held.set(attempt, { answer, chunks: [], bytes: 0 });
  }

  /**
   * @param attempt - whose answer has begun.
   * @param chunk - bytes of its body.
   * @returns Whether this answer passes to the caller; no other can be given any more.
   */
  take(attempt: RunnerAttempt, chunk: Buffer): boolean {
    const held = this.held.get(attempt);
    if (!held) return false;
    if (this.isPassing(attempt)) {
      this.pass(held, [chunk]);
      return true;
    }
    held.chunks.push(chunk);
    held.bytes += chunk.length;
    if (held.bytes <= MAXIMUM_HELD_BYTES) return false;
    this.passing = attempt;
    this.relay.begin(held.answer);
    this.pass(held, held.chunks.splice(0));
    return true;
  }

  /**
   * @param attempt - any of the request's.
   * @returns Whether its answer passes as it comes.
   */
  isPassing(attempt: RunnerAttempt): boolean {
    return attempt === this.passing;
  }

  /**
   * @param attempt - any of the request's.
   * @returns Its answer as far as it has come, or `undefined` before its head.
   */
  of(attempt: RunnerAttempt): HeldAnswer | undefined {
    return this.held.get(attempt);
  }

  /**
   * @param attempt - whose answer will not be complete.
   */
  drop(attempt: RunnerAttempt): void {
    this.held.delete(attempt);
  }

  /** The runner waits while the caller does not keep up, or its whole answer would stand in memory. */
  private pass({ answer }: HeldAnswer, chunks: readonly Buffer[]): void {
    const keepsUp = chunks.map((chunk) => this.relay.pass(chunk)).every(Boolean);
    if (keepsUp) return;
    answer.pause();
    this.relay.onceDrained(() => answer.resume());
  }
}
