/**
 * How often requests fail, with what lies back counting less: half of it is forgotten every two seconds.
 */

/** Half of what is remembered of outcomes is forgotten in this time, in ms. */
const HALF_LIFE_MILLISECONDS = 2_000;

/** Counts requests and failures. */
export class FailureShare {
  failures = 0;

  total = 0;

  private countedAt = 0;

  /**
   * @param now - monotonic milliseconds.
   * @param isFailure - whether the request failed.
   */
  record(now: number, isFailure: boolean): void {
    this.forget(now);
    this.total += 1;
    if (isFailure) this.failures += 1;
  }

  /**
   * @param now - monotonic milliseconds.
   */
  forget(now: number): void {
    const kept = 0.5 ** ((now - this.countedAt) / HALF_LIFE_MILLISECONDS);
    this.failures *= kept;
    this.total *= kept;
    this.countedAt = now;
  }
}
