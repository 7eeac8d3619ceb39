/**
 * Rate limit of the platform in calls a second; one second's worth may come as a burst.
 */
import type { Clock } from '../../src/time/Clock.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Options of a {@link RateLimit}. */
export interface RateLimitOptions {
  clock: Clock;
  perSecond: number;
}

/** A token bucket. */
export class RateLimit {
  private readonly clock: Clock;

  private readonly perSecond: number;

  private tokens: number;

  private filledAt: number;

  /**
   * @param options - the clock and the rate.
   */
  constructor({ clock, perSecond }: RateLimitOptions) {
    this.clock = clock;
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.filledAt = clock.monotonicMilliseconds();
  }

  /** @returns Whether one more call is within the rate; it is then counted. */
  take(): boolean {
    const now = this.clock.monotonicMilliseconds();
    const gained = ((now - this.filledAt) / MILLISECONDS_PER_SECOND) * this.perSecond;
    this.tokens = Math.min(this.perSecond, this.tokens + gained);
    this.filledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
