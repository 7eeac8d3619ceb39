/**
 * Scales of the pictures: where a value lies between the two ends of an axis.
 */

/** Options of a {@link Scale}. */
export interface ScaleOptions {
  /** Smallest value shown. */
  from: number;
  /** Largest value shown. */
  to: number;
  /** Values that get a line and a label. */
  ticks: readonly number[];
}

/** One axis. */
export abstract class Scale {
  readonly ticks: readonly number[];

  protected readonly from: number;

  protected readonly to: number;

  /**
   * @param options - ends and labelled values.
   * @throws Error when the axis has no length, which would draw all points at one place.
   */
  constructor({ from, to, ticks }: ScaleOptions) {
    if (!(to > from)) throw new Error(`An axis from ${from} to ${to} has no length.`);
    this.from = from;
    this.to = to;
    this.ticks = ticks;
  }

  /**
   * @param value - a measured value.
   * @returns 0 at the start of the axis, 1 at its end.
   * @throws Error for a value beyond the ends: a point outside of the picture would go unnoticed.
   */
  position(value: number): number {
    if (!(value >= this.from && value <= this.to)) {
      throw new Error(`${value} is not between ${this.from} and ${this.to}.`);
    }
    return this.share(value);
  }

  /**
   * @param value - between the ends.
   * @returns The share of the axis before it.
   */
  protected abstract share(value: number): number;
}

/** Equal differences have equal lengths. */
export class LinearScale extends Scale {
  protected override share(value: number): number {
    return (value - this.from) / (this.to - this.from);
  }
}

/** Equal ratios have equal lengths; both ends are above 0. */
export class LogarithmicScale extends Scale {
  protected override share(value: number): number {
    return Math.log(value / this.from) / Math.log(this.to / this.from);
  }
}
