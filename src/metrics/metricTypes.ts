/**
 * Types of metric definitions and snapshots.
 */

/** Units that a metric's name may end in; base units, as is usual on scrape pages. */
export type MetricUnit = 'seconds' | 'bytes' | 'tokens' | 'ratio';

/** Type of a metric. */
export type MetricKind = 'counter' | 'gauge' | 'histogram';

/** A value for each label of a metric. */
export type LabelValues<Label extends string> = Readonly<Record<Label, string>>;

/** Label arguments of a metric's methods: none for a metric without labels, a value for each label otherwise. */
export type LabelArguments<Label extends string> = [Label] extends [never]
  ? []
  : [labels: LabelValues<Label>];

/** Definition common to all metrics. */
export interface MetricDefinition<Label extends string = never> {
  /** Name in snake case, without prefix and unit, for example `gate_wait`. */
  name: string;
  /** Help text of the scrape page, one sentence. */
  help: string;
  /** Unit; missing for plain counts. */
  unit?: MetricUnit;
  /** Names of the labels. Each combination of label values is a series, so the number of combinations has to stay small. */
  labels?: readonly Label[];
}

/** A percentile with its value. */
export interface Percentile {
  /** From 0 to 1. */
  readonly quantile: number;
  readonly value: number;
}

/** Snapshot of one series, with values in the metric's unit. */
export interface SeriesSnapshot {
  readonly labels: Readonly<Record<string, string>>;
  /** Counters and gauges: the value. Histograms: the sum of all values since the start. */
  readonly value: number;
  /** Histograms: the number of values since the start. */
  readonly count?: number;
  /** Histograms: the largest value of the last one to two windows. */
  readonly maximum?: number;
  /** Histograms: percentiles over the last one to two windows; empty when nothing was recorded in them. */
  readonly percentiles?: readonly Percentile[];
}

/** Snapshot of one metric. */
export interface MetricSnapshot {
  /** Full name with prefix and unit; on the scrape page, counters get the suffix `_total` in addition. */
  readonly name: string;
  readonly kind: MetricKind;
  readonly help: string;
  readonly series: readonly SeriesSnapshot[];
}
