/**
 * Measures how fast a gate's runner gets through work: an exponentially weighted mean over its busy time.
 */

/** Options of a {@link ThroughputMeter}. */
export interface ThroughputMeterOptions {
  /** Time constant of the mean, in milliseconds of busy time. */
  windowMilliseconds?: number;
  /** Rate that is used until enough has been measured, in units a millisecond. */
  initialRate?: number;
}

const DEFAULT_WINDOW_MILLISECONDS = 5_000;

/** Share of the window that must have been measured before the measurement replaces the initial rate. */
const MINIMUM_MEASURED_SHARE = 0.5;

/**
 * Measures the rate at which units (tokens or requests) leave a runner. Idle time does not count, or an idle
 * runner would look slow.
 */
export class ThroughputMeter {
  private readonly windowMilliseconds: number;

  private initialRate: number;

  private sum = 0;

  /** Measured share of the window, 0 to 1; it corrects the rate at the start, when the sum is still too low. */
  private measuredShare = 0;

  private lastAt: number | undefined;

  /**
   * @param options - window and initial rate.
   */
  constructor({
    windowMilliseconds = DEFAULT_WINDOW_MILLISECONDS,
    initialRate = 1,
  }: ThroughputMeterOptions = {}) {
    this.windowMilliseconds = windowMilliseconds;
    this.initialRate = initialRate;
  }

  /**
   * Sets the rate that is used until enough has been measured.
   *
   * @param rate - units a millisecond; ignored unless above zero.
   */
  setInitialRate(rate: number): void {
    if (rate > 0) this.initialRate = rate;
  }

  /**
   * Advances the window to the given time.
   *
   * @param now - monotonic milliseconds.
   * @param busy - whether the runner had work since the last call.
   */
  advance(now: number, busy: boolean): void {
    const elapsed = this.lastAt === undefined ? 0 : now - this.lastAt;
    this.lastAt = now;
    if (!busy || elapsed <= 0) return;
    const kept = Math.exp(-elapsed / this.windowMilliseconds);
    this.sum *= kept;
    this.measuredShare = 1 - (1 - this.measuredShare) * kept;
  }

  /**
   * Counts units that have just left the runner.
   *
   * @param units - number of tokens or requests.
   */
  add(units: number): void {
    this.sum += units;
  }

  /** @returns The rate in units a millisecond, above zero. */
  rate(): number {
    const measured =
      this.sum / (this.windowMilliseconds * Math.max(this.measuredShare, Number.EPSILON));
    const trusted = this.measuredShare >= MINIMUM_MEASURED_SHARE && measured > 0;
    return trusted ? measured : this.initialRate;
  }
}
