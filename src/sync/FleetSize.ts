/**
 * How many daemons divide what the fleet as a whole may use.
 *
 * The list of daemons is short for a while when entries lapse with the store, when daemons leave in a planned stop, and
 * when some have died. What they used before still counts, so that the others must not divide it among fewer at once.
 */

/** A time in which the list was never longer. */
interface Length {
  /** Monotonic ms. */
  readonly since: number;
  readonly daemons: number;
}

/** Remembers how long the list of daemons has been lately. */
export class FleetSize {
  /** By time, each shorter than the one before it. */
  private readonly lengths: Length[] = [];

  /**
   * @param daemons - that are listed from now on.
   * @param now - monotonic milliseconds.
   */
  changed(daemons: number, now: number): void {
    let since = now;
    while ((this.lengths.at(-1)?.daemons ?? Number.POSITIVE_INFINITY) <= daemons) {
      since = this.lengths.pop()?.since ?? now;
    }
    this.lengths.push({ since, daemons });
  }

  /**
   * @param periodMilliseconds - how long what a daemon has used counts.
   * @param now - monotonic milliseconds.
   * @returns The most daemons that were listed at one moment of the period, this one at least.
   */
  mostWithin(periodMilliseconds: number, now: number): number {
    const start = now - periodMilliseconds;
    while ((this.lengths[1]?.since ?? Number.POSITIVE_INFINITY) <= start) this.lengths.shift();
    return Math.max(1, this.lengths[0]?.daemons ?? 0);
  }
}
