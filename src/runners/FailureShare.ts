/**
 * Exponentially decaying share of failed requests.
 */

/** Time after which an outcome counts half, in ms. */
const HALF_LIFE_MILLISECONDS = 2_000;

/** Counts requests and failures with exponential decay: both halve every two seconds. */
export class FailureShare {
  failures = 0;

  total = 0;

  private countedAt = 0;

  /**
   * Records the outcome of a request.
   *
   * @param now - current time, monotonic ms.
   * @param isFailure - whether the request failed.
   */
  record(now: number, isFailure: boolean): void {
    this.decay(now);
    this.total += 1;
    if (isFailure) this.failures += 1;
  }

  /**
   * Decays both counts up to now.
   *
   * @param now - current time, monotonic ms.
   */
  decay(now: number): void {
    const kept = 0.5 ** ((now - this.countedAt) / HALF_LIFE_MILLISECONDS);
    this.failures *= kept;
    this.total *= kept;
    this.countedAt = now;
  }
}
