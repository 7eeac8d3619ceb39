/**
 * The metrics of one process, for the scrape page and for operators.
 */
import type { Clock } from '../time/Clock.js';
import { SystemClock } from '../time/SystemClock.js';
import { Counter } from './Counter.js';
import { Gauge } from './Gauge.js';
import { Histogram } from './Histogram.js';
import type { HistogramDefinition } from './Histogram.js';
import type { Metric } from './Metric.js';
import type { MetricDefinition, MetricKind, MetricSnapshot } from './metricTypes.js';

/** Default limit on the series of a metric; enough for the runners of a daemon and for the larger client accounts. */
const DEFAULT_MAXIMUM_SERIES = 500;

const DEFAULT_WINDOW_MILLISECONDS = 60_000;

/** Names of metrics and labels that all collectors accept. */
const VALID_NAME = /^[a-z][a-z0-9_]*$/;

/** Options of a {@link MetricRegistry}. */
export interface MetricRegistryOptions {
  /** Clock by which the windows of histograms end. */
  clock?: Clock;
  /** First part of each metric's name. */
  prefix?: string;
  /** Largest number of series of one metric; further ones are counted together as `other`. */
  maximumSeries?: number;
  /** Length of a window, in milliseconds; percentiles cover the last one to two windows. */
  windowMilliseconds?: number;
}

type AnyMetric = Pick<Metric<string, unknown>, 'kind' | 'snapshot' | 'hasLabels'>;

/** Creates metrics; the same definition given twice returns the same metric. */
export class MetricRegistry {
  private readonly clock: Clock;

  private readonly prefix: string;

  private readonly maximumSeries: number;

  private readonly windowMilliseconds: number;

  private readonly metrics = new Map<string, AnyMetric>();

  /**
   * @param options - the clock, the prefix and the limits.
   */
  constructor({
    clock = new SystemClock(),
    prefix = 'baobabdock',
    maximumSeries = DEFAULT_MAXIMUM_SERIES,
    windowMilliseconds = DEFAULT_WINDOW_MILLISECONDS,
  }: MetricRegistryOptions = {}) {
    this.clock = clock;
    this.prefix = prefix;
    this.maximumSeries = maximumSeries;
    this.windowMilliseconds = windowMilliseconds;
  }

  /**
   * @param definition - name, help and labels; `_total` is added to the name on the scrape page.
   * @returns The counter of that name.
   * @throws {@link Error} when a name is invalid, or the metric exists with another type or other labels.
   */
  counter<Label extends string = never>(definition: MetricDefinition<Label>): Counter<Label> {
    return this.register('counter', definition, () => {
      const { prefix, maximumSeries } = this;
      return new Counter({ definition, prefix, maximumSeries });
    });
  }

  /**
   * @param definition - name, help, unit and labels.
   * @returns The gauge of that name.
   * @throws {@link Error} when a name is invalid, or the metric exists with another type or other labels.
   */
  gauge<Label extends string = never>(definition: MetricDefinition<Label>): Gauge<Label> {
    return this.register('gauge', definition, () => {
      const { prefix, maximumSeries } = this;
      return new Gauge({ definition, prefix, maximumSeries });
    });
  }

  /**
   * @param definition - name, help, unit, labels, resolution and maximum.
   * @returns The histogram of that name.
   * @throws {@link Error} when a name is invalid, or the metric exists with another type or other labels.
   */
  histogram<Label extends string = never>(
    definition: HistogramDefinition<Label>,
  ): Histogram<Label> {
    return this.register('histogram', definition, () => {
      const { prefix, maximumSeries, clock, windowMilliseconds } = this;
      return new Histogram({ definition, prefix, maximumSeries, clock, windowMilliseconds });
    });
  }

  /** @returns All metrics as they are now, ordered by name. */
  snapshot(): MetricSnapshot[] {
    return [...this.metrics.values()]
      .map((metric) => metric.snapshot())
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  private register<Label extends string, Made extends AnyMetric>(
    kind: MetricKind,
    definition: MetricDefinition<Label>,
    create: () => Made,
  ): Made {
    const { name, labels = [] } = definition;
    const invalid = [name, ...labels].find((word) => !VALID_NAME.test(word));
    if (invalid !== undefined)
      throw new Error(`metric ${name}: ${invalid} is not a valid name of a metric or label`);
    const known = this.metrics.get(name);
    if (!known) {
      const metric = create();
      this.metrics.set(name, metric);
      return metric;
    }
    if (known.kind !== kind || !known.hasLabels(labels)) {
      throw new Error(
        `metric ${name} is defined twice with a different type or labels: as ${known.kind} and as ${kind}`,
      );
    }
    return known as Made;
  }
}
