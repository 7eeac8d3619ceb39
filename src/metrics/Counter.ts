/**
 * A metric whose value only increases.
 */
import { Metric } from './Metric.js';
import type { LabelArguments } from './metricTypes.js';

interface CounterCell {
  value: number;
}

/** Counts events or amounts since the start of the process. */
export class Counter<Label extends string = never> extends Metric<Label, CounterCell> {
  override readonly kind = 'counter';

  /**
   * @param amount - the increase; a negative one is ignored, since collectors take a lower value for a restart.
   * @param labels - the label values of the series.
   */
  add(amount: number, ...[labels]: LabelArguments<Label>): void {
    if (!(amount >= 0)) return;
    this.cellOf(labels).value += amount;
  }

  /**
   * Adds 1.
   *
   * @param labels - the label values of the series.
   */
  increment(...[labels]: LabelArguments<Label>): void {
    this.cellOf(labels).value += 1;
  }

  protected override createCell(): CounterCell {
    return { value: 0 };
  }

  protected override read({ value }: CounterCell): { value: number } {
    return { value };
  }
}
