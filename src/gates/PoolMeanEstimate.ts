/**
 * Estimates the pool's current mean load from delayed values. The mean that a gate receives is more than a second
 * old. When demand falls, a gate that used it unchanged would fill its runner above the current bound, and admitted
 * work can't be withdrawn.
 */

/** Time constant of the smoothed slope; shorter than a request, longer than the interval between reports. */
const SMOOTHING_MILLISECONDS = 1_500;

/** Assumed age of a received mean. */
const ASSUMED_AGE_MILLISECONDS = 1_500;

/** Extrapolates the mean load of one pool from the values received so far. */
export class PoolMeanEstimate {
  private lastMean = 0;

  private lastMeanAt: number | undefined;

  /** Smoothed change of the mean, in tokens a millisecond. */
  private slope = 0;

  /**
   * Adds a received mean.
   *
   * @param now - monotonic milliseconds.
   * @param mean - mean load of the pool's runners, in tokens of work.
   */
  observe(now: number, mean: number): void {
    const elapsed = this.lastMeanAt === undefined ? 0 : now - this.lastMeanAt;
    if (elapsed > 0) {
      const share = 1 - Math.exp(-elapsed / SMOOTHING_MILLISECONDS);
      this.slope += share * ((mean - this.lastMean) / elapsed - this.slope);
    }
    this.lastMean = mean;
    this.lastMeanAt = now;
  }

  /**
   * @returns The last received mean in tokens, lowered while the mean falls. It is never raised, because an
   *   extrapolated rise must not raise the bound.
   */
  estimate(): number {
    const fall = Math.min(0, this.slope) * ASSUMED_AGE_MILLISECONDS;
    return Math.max(0, this.lastMean + fall);
  }
}
