/**
 * Base class of counters, gauges and histograms: a name and a bounded set of series.
 */
import type {
  LabelValues,
  MetricDefinition,
  MetricKind,
  MetricSnapshot,
  SeriesSnapshot,
} from './metricTypes.js';

/** Label value of the series that collects all combinations beyond the maximum number of series. */
export const OTHER_LABEL_VALUE = 'other';

/** Options of a {@link Metric}. */
export interface MetricOptions<Label extends string> {
  /** Name, help, unit and labels. */
  definition: MetricDefinition<Label>;
  /** First part of the name. */
  prefix: string;
  /** Largest number of series, apart from the one with the label value `other`. */
  maximumSeries: number;
}

interface Series<Cell> {
  readonly labels: Readonly<Record<string, string>>;
  readonly cell: Cell;
}

/** Separates label values in the key of a series; label values are names and never contain it. */
const KEY_SEPARATOR = '\u0000';

/** A metric with one cell, which holds the value, for each combination of label values. */
export abstract class Metric<Label extends string, Cell> {
  /** Full name with prefix and unit. */
  readonly name: string;

  /** Help text of the scrape page, one sentence. */
  readonly help: string;

  /** Type of the metric. */
  abstract readonly kind: MetricKind;

  private readonly labels: readonly Label[];

  private readonly maximumSeries: number;

  private readonly seriesByKey = new Map<string, Series<Cell>>();

  private overflow: Series<Cell> | undefined;

  /**
   * @param options - the definition, the prefix and the limit on series.
   */
  constructor({ definition, prefix, maximumSeries }: MetricOptions<Label>) {
    this.name = [prefix, definition.name, definition.unit].filter(Boolean).join('_');
    this.help = definition.help;
    this.labels = definition.labels ?? [];
    this.maximumSeries = maximumSeries;
  }

  /** @returns The current values of all series. */
  snapshot(): MetricSnapshot {
    const all = [...this.seriesByKey.values()];
    if (this.overflow) all.push(this.overflow);
    const series = all.map(({ labels, cell }) => ({ labels, ...this.read(cell) }));
    return { name: this.name, kind: this.kind, help: this.help, series };
  }

  /** @returns Whether the metric was defined with exactly these labels, in this order. */
  hasLabels(labels: readonly string[]): boolean {
    return labels.join(KEY_SEPARATOR) === this.labels.join(KEY_SEPARATOR);
  }

  /** @returns A cell for a new series. */
  protected abstract createCell(): Cell;

  /**
   * @param cell - the cell of a series.
   * @returns The values of the series for a snapshot.
   */
  protected abstract read(cell: Cell): Omit<SeriesSnapshot, 'labels'>;

  /**
   * Finds or creates a series. Beyond the maximum number of series, further combinations of label values share the series
   * `other`. Without the limit, a label with unbounded values (such as 6,100 client accounts) would fill the memory
   * unnoticed; with it, the value of `other` on the scrape page shows the problem.
   *
   * @param values - a value for each label.
   * @returns The cell of the series.
   */
  protected cellOf(values: LabelValues<Label> | undefined): Cell {
    const key = values ? this.keyOf(values) : '';
    const known = this.seriesByKey.get(key);
    if (known) return known.cell;
    if (this.seriesByKey.size >= this.maximumSeries) return this.overflowCell();
    const series = { labels: { ...values }, cell: this.createCell() };
    this.seriesByKey.set(key, series);
    return series.cell;
  }

  /**
   * Removes a series, so that another can take its place.
   *
   * @param values - a value for each label.
   */
  protected forget(values: LabelValues<Label> | undefined): void {
    this.seriesByKey.delete(values ? this.keyOf(values) : '');
  }

  private keyOf(values: LabelValues<Label>): string {
    if (this.labels.length === 1) return values[this.labels[0] as Label];
    return this.labels.map((label) => values[label]).join(KEY_SEPARATOR);
  }

  private overflowCell(): Cell {
    this.overflow ??= {
      labels: Object.fromEntries(this.labels.map((label) => [label, OTHER_LABEL_VALUE])),
      cell: this.createCell(),
    };
    return this.overflow.cell;
  }
}
