/**
 * Exponential backoff with jitter between attempts to acquire a lease. Without the jitter every lease of the
 * fleet would be requested at the moment the platform returns from an outage.
 */
import { rendezvousScore } from '../routing/rendezvous.js';
import type { LeaseTimings } from './leaseTimings.js';

/** One more than the largest hash value. */
const HASH_RANGE = 2 ** 32;

/** Maximum number of doublings of the wait; more would exceed the time to live. */
const MAXIMUM_DOUBLINGS = 5;

/** Options of {@link LeaseBackOff}. */
export interface LeaseBackOffOptions {
  /** The lease's key; with the holder it is the seed of the jitter. */
  key: string;
  holder: string;
  timings: LeaseTimings;
}

/** Computes the waits. They are deterministic: a replayed session has the same waits. */
export class LeaseBackOff {
  private readonly options: LeaseBackOffOptions;

  private failures = 0;

  private jitterDraws = 0;

  /**
   * @param options - seed of the jitter, and timings.
   */
  constructor(options: LeaseBackOffOptions) {
    this.options = options;
  }

  /** Starts again with the shortest wait, after a call succeeded. */
  reset(): void {
    this.failures = 0;
  }

  /** @returns The wait after one more failure, in milliseconds. */
  next(): number {
    const { retryMilliseconds, timeToLiveMilliseconds } = this.options.timings;
    const doublings = Math.min(this.failures, MAXIMUM_DOUBLINGS);
    this.failures += 1;
    const wait = Math.min(timeToLiveMilliseconds, retryMilliseconds * 2 ** doublings);
    return wait / 2 + this.jitter(wait);
  }

  /**
   * @param span - upper bound in milliseconds.
   * @returns Jitter between 0 and the upper bound, in milliseconds.
   */
  jitter(span: number): number {
    const { key, holder } = this.options;
    this.jitterDraws += 1;
    return (span * rendezvousScore(`${key}/${this.jitterDraws}`, holder)) / HASH_RANGE;
  }
}
