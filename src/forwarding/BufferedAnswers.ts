/**
 * Buffers the answers to one request until they are complete, so that a broken one can be replaced by another runner's.
 * An answer that grows too large is forwarded as it arrives instead.
 */
import type { IncomingMessage } from 'node:http';

import type { AnswerSource } from './AnswerOwnership.js';
import type { AnswerRelay, BufferedAnswer } from './AnswerRelay.js';
import { ByteBuffer } from '../http/ByteBuffer.js';

/**
 * Maximum size of a buffered answer, in bytes. Answers to plain calls have about 1 kB; a hundred answers of the maximum
 * size at once take 26 MB of the 160 MB that a daemon may use.
 */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/**
 * What became of bytes of an answer. `held` until it is complete; `passed` to the caller, so that no other answer can be
 * sent; `rejected`: too many to be held, and the caller's answer belongs to another source.
 */
export type TakeResult = 'held' | 'passed' | 'rejected';

/** Answers to one request, by attempt, that have not been sent to the caller yet. */
export class BufferedAnswers {
  private readonly relay: AnswerRelay;

  private readonly answersByAttempt = new Map<AnswerSource, BufferedAnswer>();

  private passingAttempt: AnswerSource | undefined;

  /**
   * @param relay - writes to the caller.
   */
  constructor(relay: AnswerRelay) {
    this.relay = relay;
  }

  /**
   * @param attempt - attempt whose answer has begun.
   * @param answer - head of the answer.
   */
  begin(attempt: AnswerSource, answer: IncomingMessage): void {
    const body = new ByteBuffer({ maximumBytes: MAXIMUM_BUFFERED_BYTES });
    this.answersByAttempt.set(attempt, { source: attempt, answer, body });
  }

  /**
   * Buffers or forwards bytes of an answer.
   *
   * @param attempt - attempt whose answer has begun.
   * @param chunk - bytes of the body.
   * @returns What became of them; after `rejected` the attempt has to be ended.
   */
  take(attempt: AnswerSource, chunk: Buffer): TakeResult {
    const held = this.answersByAttempt.get(attempt);
    if (!held) return 'rejected';
    if (this.isPassing(attempt)) {
      this.pass(held, chunk);
      return 'passed';
    }
    const rest = this.hold(held, chunk);
    if (!rest) return 'held';
    if (!this.relay.begin(attempt, held.answer, { kind: 'passing' })) {
      this.drop(attempt);
      return 'rejected';
    }
    this.passingAttempt = attempt;
    this.pass(held, ...[held.body.take(), ...rest].filter(({ length }) => length > 0));
    return 'passed';
  }

  /** Returns the bytes that are not held, if the answer cannot be held any more: it is too large, or memory is scarce. */
  private hold({ body }: BufferedAnswer, chunk: Buffer): Buffer[] | undefined {
    const before = body.capacity;
    if (!body.append(chunk)) return [chunk];
    return this.relay.memory.grow(body.capacity - before) ? undefined : [];
  }

  /**
   * @param attempt - an attempt of the request.
   * @returns Whether its answer is forwarded as it arrives.
   */
  isPassing(attempt: AnswerSource): boolean {
    return attempt === this.passingAttempt;
  }

  /**
   * @param attempt - an attempt of the request.
   * @returns Its answer as far as it has arrived, or `undefined` before its head.
   */
  of(attempt: AnswerSource): BufferedAnswer | undefined {
    return this.answersByAttempt.get(attempt);
  }

  /**
   * @param attempt - attempt that failed, so that its answer will not be complete.
   */
  drop(attempt: AnswerSource): void {
    this.relay.memory.shrink(this.answersByAttempt.get(attempt)?.body.capacity ?? 0);
    this.answersByAttempt.delete(attempt);
  }

  /** Pauses the runner while the caller does not keep up; otherwise the whole answer would accumulate in memory. */
  private pass({ source, answer }: BufferedAnswer, ...chunks: readonly Buffer[]): void {
    const results = chunks.map((chunk) => this.relay.pass(source, chunk));
    if (!results.includes('congested')) return;
    answer.pause();
    this.relay.onceDrained(() => answer.resume());
  }
}
