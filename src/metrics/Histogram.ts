/**
 * A metric that records a distribution of values in bounded memory.
 */
import type { Clock } from '../time/Clock.js';
import { Metric } from './Metric.js';
import type { MetricOptions } from './Metric.js';
import type { LabelArguments, MetricDefinition, SeriesSnapshot } from './metricTypes.js';
import { RollingRecorder } from './RollingRecorder.js';

/** Definition of a histogram. */
export interface HistogramDefinition<Label extends string = never> extends MetricDefinition<Label> {
  /** The smallest difference that is recorded, in the metric's unit; 0.0001 for seconds is 100 µs. */
  resolution: number;
  /** Larger values are recorded as this one, in the metric's unit. */
  maximum: number;
}

/** Options of a {@link Histogram}. */
export interface HistogramOptions<Label extends string> extends MetricOptions<Label> {
  definition: HistogramDefinition<Label>;
  clock: Clock;
  /** Length of a window, in milliseconds. */
  windowMilliseconds: number;
}

/** Reports the sum and count of values since the start, and percentiles over the last one to two windows. */
export class Histogram<Label extends string = never> extends Metric<Label, RollingRecorder> {
  override readonly kind = 'histogram';

  private readonly definition: HistogramDefinition<Label>;

  private readonly clock: Clock;

  private readonly windowMilliseconds: number;

  /**
   * @param options - the definition, the clock and the length of a window.
   */
  constructor(options: HistogramOptions<Label>) {
    super(options);
    this.definition = options.definition;
    this.clock = options.clock;
    this.windowMilliseconds = options.windowMilliseconds;
  }

  /**
   * @param value - the measured value, in the metric's unit; a negative one is recorded as 0, NaN is ignored.
   * @param labels - the label values of the series.
   */
  record(value: number, ...[labels]: LabelArguments<Label>): void {
    this.cellOf(labels).record(this.clock.monotonicMilliseconds(), value);
  }

  protected override createCell(): RollingRecorder {
    const { resolution, maximum } = this.definition;
    const now = this.clock.monotonicMilliseconds();
    const { windowMilliseconds } = this;
    return new RollingRecorder({ resolution, maximum, windowMilliseconds, now });
  }

  protected override read(cell: RollingRecorder): Omit<SeriesSnapshot, 'labels'> {
    const { sum, count } = cell;
    return { value: sum, count, ...cell.recent(this.clock.monotonicMilliseconds()) };
  }
}
