/**
 * Lapsed runners: their entries are missing from the store, possibly only because the leases expired during a store
 * outage, and may come back.
 */

/** A runner whose entry is missing. */
export interface Lapse {
  readonly id: string;
  /** The store's revision at which the entry was missing. */
  readonly revision: number;
  /** When the runner is dropped, monotonic ms. */
  readonly goneAt: number;
}

/** Holds the lapsed runners until their entries are back or the runners are dropped. */
export class LapsedRunners {
  private readonly lapses = new Map<string, Lapse>();

  /** @returns Ids of all lapsed runners. */
  get ids(): string[] {
    return [...this.lapses.keys()];
  }

  /**
   * @param lapse - the lapse of a listed runner.
   */
  add(lapse: Lapse): void {
    this.lapses.set(lapse.id, lapse);
  }

  /**
   * @param id - a runner's id.
   * @returns Whether its entry is missing.
   */
  has(id: string): boolean {
    return this.lapses.has(id);
  }

  /**
   * Removes a runner whose entry is back or which is dropped.
   *
   * @param id - the runner's id.
   * @returns Whether its entry was missing.
   */
  delete(id: string): boolean {
    return this.lapses.delete(id);
  }

  /**
   * Tells whether another daemon's removal of a runner applies here, which is so if the entry has been missing since.
   *
   * @param id - the runner's id.
   * @param revision - store revision at which the other daemon saw the runner removed.
   * @returns Whether the entry went missing here at that revision or before.
   */
  isMissingSince(id: string, revision: number): boolean {
    const lapse = this.lapses.get(id);
    return lapse !== undefined && lapse.revision <= revision;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns The lapsed runners whose grace period has ended.
   */
  overdue(now: number): Lapse[] {
    return [...this.lapses.values()].filter(({ goneAt }) => now >= goneAt);
  }
}
