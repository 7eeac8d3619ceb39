/**
 * A metric whose value can go up and down.
 */
import { Metric } from './Metric.js';
import type { LabelArguments } from './metricTypes.js';

interface GaugeCell {
  value: number;
  /** If set, called for the value instead of reading `value`. */
  source?: () => number;
}

/** Shows a current amount, such as requests in progress or queued. */
export class Gauge<Label extends string = never> extends Metric<Label, GaugeCell> {
  override readonly kind = 'gauge';

  /**
   * @param value - the new value, in the metric's unit.
   * @param labels - the label values of the series.
   */
  set(value: number, ...[labels]: LabelArguments<Label>): void {
    this.cellOf(labels).value = value;
  }

  /**
   * @param difference - the change of the value; may be negative.
   * @param labels - the label values of the series.
   */
  add(difference: number, ...[labels]: LabelArguments<Label>): void {
    this.cellOf(labels).value += difference;
  }

  /**
   * Makes a series call a function for its value at each snapshot, so that the metric cannot differ from its source.
   *
   * @param source - returns the current value; must not throw.
   * @param labels - the label values of the series.
   */
  readFrom(source: () => number, ...[labels]: LabelArguments<Label>): void {
    this.cellOf(labels).source = source;
  }

  /**
   * Removes a series, for example that of a runner that has left.
   *
   * @param labels - the label values of the series.
   */
  remove(...[labels]: LabelArguments<Label>): void {
    this.forget(labels);
  }

  protected override createCell(): GaugeCell {
    return { value: 0 };
  }

  protected override read({ value, source }: GaugeCell): { value: number } {
    return { value: source ? source() : value };
  }
}
