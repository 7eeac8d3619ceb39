/**
 * A quantile of the most recent samples of a figure.
 */

/** Options of a {@link RecentQuantile}. */
export interface RecentQuantileOptions {
  /** Share of the samples that are below the result, 0 to 1. */
  quantile: number;
  /** Result until there are enough samples. */
  initial: number;
  /** Number of samples before which the initial figure is used. */
  leastSamples: number;
}

/** Number of recent samples that are kept. */
const MAXIMUM_SAMPLES = 64;

/** Keeps the samples, and the quantile until the next one. */
export class RecentQuantile {
  private readonly options: RecentQuantileOptions;

  private readonly samples: number[] = [];

  private cached: number | undefined;

  /**
   * @param options - which quantile, and what is used before there are enough samples.
   */
  constructor(options: RecentQuantileOptions) {
    this.options = options;
  }

  /** @returns The quantile. */
  get value(): number {
    this.cached ??= this.compute();
    return this.cached;
  }

  /**
   * @param sample - the newest sample.
   */
  record(sample: number): void {
    this.samples.push(sample);
    if (this.samples.length > MAXIMUM_SAMPLES) this.samples.shift();
    this.cached = undefined;
  }

  private compute(): number {
    const { quantile, initial, leastSamples } = this.options;
    if (this.samples.length < leastSamples) return initial;
    const sorted = [...this.samples].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length * quantile)] ?? initial;
  }
}
