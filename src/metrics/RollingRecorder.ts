/**
 * Records the values of one series: sum and count since the start, and percentiles over a recent window.
 */
// Imports a single module, because the package's main module also loads its log readers and writers. That took a fifth of
// the daemon's own part of a start (36 of 170 ms in the profile of a start), during which no caller is served.
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';

import type { Percentile } from './metricTypes.js';

/** Quantiles that are shown on the scrape page and to operators. */
export const QUANTILES = [0.5, 0.9, 0.95, 0.99, 0.999] as const;

/** Precision of recorded values; two digits keep percentiles within 1 %, for about 11 KB per window and series. */
const SIGNIFICANT_DIGITS = 2;

const PERCENT = 100;

/** Significant digits of reported values; hides floating-point noise, and is far more precise than the recorder. */
const REPORTED_DIGITS = 6;

type Recorder = ReturnType<typeof build>;

/** Options of a {@link RollingRecorder}. */
export interface RollingRecorderOptions {
  /** The smallest difference that is recorded, in the metric's unit. */
  resolution: number;
  /** Larger values are recorded as this one, in the metric's unit. */
  maximum: number;
  /** Length of a window, in milliseconds. */
  windowMilliseconds: number;
  /** Start of the first window, in monotonic milliseconds. */
  now: number;
}

/** Summary of the values recorded in the current and the previous window. */
export interface RecentValues {
  /** The largest value; missing when nothing was recorded. */
  readonly maximum?: number;
  /** Percentiles of {@link QUANTILES}; empty when nothing was recorded. */
  readonly percentiles: readonly Percentile[];
}

/**
 * Records values in two windows, the current and the previous one. Percentiles since the start would hide a bad minute in a
 * month of good ones, and a single window would be empty right after it began.
 */
export class RollingRecorder {
  /** Number of values since the start. */
  count = 0;

  /** Sum of the values since the start, in the metric's unit. */
  sum = 0;

  private readonly resolution: number;

  private readonly maximum: number;

  private readonly windowMilliseconds: number;

  private windowStart: number;

  private current: Recorder;

  private previous: Recorder;

  /**
   * @param options - the range of values, the length of a window and the start time.
   */
  constructor({ resolution, maximum, windowMilliseconds, now }: RollingRecorderOptions) {
    this.resolution = resolution;
    this.maximum = maximum;
    this.windowMilliseconds = windowMilliseconds;
    this.windowStart = now;
    this.current = this.createRecorder();
    this.previous = this.createRecorder();
  }

  /**
   * @param now - monotonic milliseconds.
   * @param value - the value in the metric's unit; a negative one is recorded as 0, NaN is ignored.
   */
  record(now: number, value: number): void {
    if (Number.isNaN(value)) return;
    const bounded = Math.min(Math.max(value, 0), this.maximum);
    this.rotate(now);
    this.count += 1;
    this.sum += bounded;
    this.current.recordValue(Math.round(bounded / this.resolution));
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Maximum and percentiles of the last one to two windows.
   */
  recent(now: number): RecentValues {
    this.rotate(now);
    const both = this.createRecorder();
    both.add(this.current);
    both.add(this.previous);
    if (both.totalCount === 0) return { percentiles: [] };
    const percentiles = QUANTILES.map((quantile) => ({
      quantile,
      value: this.toUnit(both.getValueAtPercentile(quantile * PERCENT)),
    }));
    return { maximum: this.toUnit(both.maxValue), percentiles };
  }

  private createRecorder(): Recorder {
    return build({
      bitBucketSize: 32,
      autoResize: false,
      lowestDiscernibleValue: 1,
      highestTrackableValue: Math.max(2, Math.ceil(this.maximum / this.resolution) + 1),
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      useWebAssembly: false,
    });
  }

  private toUnit(steps: number): number {
    const value = Math.min(steps * this.resolution, this.maximum);
    return Number(value.toPrecision(REPORTED_DIGITS));
  }

  private rotate(now: number): void {
    const age = now - this.windowStart;
    if (age < this.windowMilliseconds) return;
    const stale = this.previous;
    stale.reset();
    if (age < 2 * this.windowMilliseconds) {
      this.previous = this.current;
      this.current = stale;
    } else {
      this.current.reset();
    }
    this.windowStart = now;
  }
}
