/**
 * The list of daemons: those that have an entry in the store, and those whose entry is missing but may come back.
 *
 * Leases expire while the store is unavailable, and after its return daemons register again one by one within a second.
 * Without the grace period for missing entries, the directory would name almost no daemons during that time, and
 * callers would drop their connections to the others. Whether a listed daemon is alive is not decided here; the failure
 * detector does that.
 */
import { FleetSize } from './FleetSize.js';
import type { DaemonEntry, StoreFact } from './FleetStore.js';
import type { KnowledgeListener } from './knowledgeTypes.js';
import type { ChangeMoment } from './RunnerListing.js';

/** Options of a {@link DaemonListing}. */
export interface DaemonListingOptions {
  listener: Pick<KnowledgeListener, 'daemonChanged'>;
  /**
   * Until when to wait for an entry that is missing at `now`, monotonic ms; `undefined` if the entry was removed and
   * will not come back.
   */
  graceDeadline: (now: number) => number | undefined;
  /** Called when an entry appears, changes or goes missing. */
  onChange: (fact: StoreFact, moment: ChangeMoment) => void;
}

/** Keeps the list of daemons from the facts of the store and of other daemons. */
export class DaemonListing {
  readonly daemons = new Map<string, DaemonEntry>();

  /** Recent lengths of the list. */
  readonly size = new FleetSize();

  /** When daemons were last dropped from the list, monotonic ms. */
  private readonly droppedAt = new Map<string, number>();

  /** Number of changes of the list so far. */
  changes = 0;

  /** For each listed daemon whose entry is missing: when it is dropped, monotonic ms. */
  private readonly lapsed = new Map<string, number>();

  private readonly options: DaemonListingOptions;

  /**
   * @param options - listener, callback and grace period.
   */
  constructor(options: DaemonListingOptions) {
    this.options = options;
  }

  /**
   * @returns The daemons that have an entry. Daemons whose entry is missing are left out, since each daemon waits for
   *   them for a different time.
   */
  get registered(): DaemonEntry[] {
    return [...this.daemons.values()].filter(({ name }) => !this.lapsed.has(name));
  }

  /**
   * @param periodMilliseconds - how long a daemon that was dropped is still included.
   * @param now - monotonic milliseconds.
   * @returns Names of the daemons that were listed at any time within the period.
   */
  namesWithin(periodMilliseconds: number, now: number): string[] {
    for (const [name, at] of this.droppedAt) {
      if (now - at >= periodMilliseconds) this.droppedAt.delete(name);
    }
    return [...this.daemons.keys(), ...this.droppedAt.keys()];
  }

  /**
   * Adds or updates a daemon that has an entry.
   *
   * @param daemon - its entry.
   * @param moment - revision and time of the entry's latest change.
   */
  put(daemon: DaemonEntry, moment: ChangeMoment): void {
    const { name, newsAddress, callerAddress } = daemon;
    const before = this.daemons.get(name);
    const isSame = before?.newsAddress === newsAddress && before.callerAddress === callerAddress;
    const wasLapsed = this.lapsed.delete(name);
    this.daemons.set(name, daemon);
    this.droppedAt.delete(name);
    this.size.changed(this.daemons.size, moment.now);
    if (isSame && !wasLapsed) return;
    this.options.onChange({ kind: 'daemon', daemon }, moment);
    if (isSame) return;
    this.changes += 1;
    this.options.listener.daemonChanged(name, 'listed');
  }

  /**
   * Handles a missing entry: drops the daemon at once, or after the grace period if the store was unavailable just
   * before.
   *
   * @param name - the daemon's name.
   * @param moment - revision and time at which the entry was missing.
   */
  remove(name: string, moment: ChangeMoment): void {
    if (!this.daemons.has(name) || this.lapsed.has(name)) return;
    this.options.onChange({ kind: 'daemon_gone', name }, moment);
    const grace = this.options.graceDeadline(moment.now);
    if (grace === undefined) this.drop(name, moment.now);
    else this.lapsed.set(name, grace);
  }

  /**
   * Drops the daemons whose entries have not come back within the grace period. Called after a read.
   *
   * @param now - monotonic milliseconds.
   */
  expire(now: number): void {
    for (const [name, goneAt] of this.lapsed) if (now >= goneAt) this.drop(name, now);
  }

  private drop(name: string, now: number): void {
    this.lapsed.delete(name);
    this.daemons.delete(name);
    this.droppedAt.set(name, now);
    this.size.changed(this.daemons.size, now);
    this.changes += 1;
    this.options.listener.daemonChanged(name, 'gone');
  }
}
