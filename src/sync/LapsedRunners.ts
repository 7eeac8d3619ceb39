/**
 * Runners whose entries are missing from the store, and which may be back.
 */

/** A runner without an entry. */
export interface Lapse {
  readonly id: string;
  /** The store's revision at which the entry was missing. */
  readonly revision: number;
  /** When the runner counts as gone, monotonic ms. */
  readonly goneAt: number;
}

/** Keeps them until they are back or gone. */
export class LapsedRunners {
  private readonly lapses = new Map<string, Lapse>();

  /** @returns Ids of all of them. */
  get ids(): string[] {
    return [...this.lapses.keys()];
  }

  /**
   * @param lapse - of a runner that is listed.
   */
  add(lapse: Lapse): void {
    this.lapses.set(lapse.id, lapse);
  }

  /**
   * @param id - of a runner.
   * @returns Whether its entry is missing.
   */
  has(id: string): boolean {
    return this.lapses.has(id);
  }

  /**
   * @param id - of a runner that is back or gone.
   * @returns Whether its entry was missing.
   */
  delete(id: string): boolean {
    return this.lapses.delete(id);
  }

  /**
   * @param id - of a runner.
   * @param revision - at which another daemon has taken it for gone.
   * @returns Whether that is news: the runner has had no entry since.
   */
  isMissingSince(id: string, revision: number): boolean {
    const lapse = this.lapses.get(id);
    return lapse !== undefined && lapse.revision <= revision;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Those that have not come back in time.
   */
  overdue(now: number): Lapse[] {
    return [...this.lapses.values()].filter(({ goneAt }) => now >= goneAt);
  }
}
