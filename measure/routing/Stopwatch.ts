/**
 * Counts decisions and the time that they take, by the wall clock of the measuring process.
 */
import { performance } from 'node:perf_hooks';

/** Reading the clock costs as much as a small decision, so only some are timed. */
const TIMED_EVERY = 16;

const MILLISECONDS_PER_SECOND = 1_000;

/** Wraps decisions. */
export class Stopwatch {
  private calls = 0;

  private timedCalls = 0;

  private timedMilliseconds = 0;

  /** @returns Decisions so far. */
  get count(): number {
    return this.calls;
  }

  /**
   * @param decide - one decision.
   * @returns What it returned.
   */
  time<Result>(decide: () => Result): Result {
    this.calls += 1;
    if (this.calls % TIMED_EVERY !== 0) return decide();
    const before = performance.now();
    const result = decide();
    this.timedMilliseconds += performance.now() - before;
    this.timedCalls += 1;
    return result;
  }

  /** @returns Decisions that one core makes in a second, from the timed ones. */
  perSecond(): number {
    if (this.timedMilliseconds === 0) return 0;
    return (this.timedCalls / this.timedMilliseconds) * MILLISECONDS_PER_SECOND;
  }
}
