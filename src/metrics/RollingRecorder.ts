/**
 * Recorded values of one series: sum and count since the start, percentiles of late.
 */
// The package's own entry also loads its readers and writers of logs, which takes a fifth of the daemon's own part of a
// start (36 of 170 ms, by the profile of a start), in which nobody is served.
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';

import type { Percentile } from './metricTypes.js';

/** Percentiles that the scrape page and the operators see. */
export const QUANTILES = [0.5, 0.9, 0.95, 0.99, 0.999] as const;

/** Two digits keep a percentile within 1 % at about 11 KB a window and series. */
const SIGNIFICANT_DIGITS = 2;

const PERCENT = 100;

/** Hides the noise of floating-point steps; far finer than the recorder itself. */
const PRINTED_DIGITS = 6;

type Recorder = ReturnType<typeof build>;

/** Options of a {@link RollingRecorder}. */
export interface RollingRecorderOptions {
  /** The smallest step that is told apart, in the metric's unit. */
  resolution: number;
  /** Larger values count as this one, in the metric's unit. */
  maximum: number;
  /** How long a window is, in milliseconds. */
  windowMilliseconds: number;
  /** When the first window starts, in monotonic milliseconds. */
  now: number;
}

/** What was recorded in the current window and the one before. */
export interface RecentValues {
  /** Missing when nothing was recorded. */
  readonly maximum?: number;
  /** Empty when nothing was recorded. */
  readonly percentiles: readonly Percentile[];
}

/**
 * Keeps two windows, because percentiles since the start would hide the last bad minute in a month of
 * good ones, and one window alone would be empty right after it began.
 */
export class RollingRecorder {
  /** How many values since the start. */
  count = 0;

  /** Their sum, in the metric's unit. */
  sum = 0;

  private readonly resolution: number;

  private readonly maximum: number;

  private readonly windowMilliseconds: number;

  private windowStart: number;

  private current: Recorder;

  private previous: Recorder;

  /**
   * @param options - range, window and start.
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
   * @param value - in the metric's unit; below 0 counts as 0, not a number is ignored.
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
    return Number(value.toPrecision(PRINTED_DIGITS));
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
