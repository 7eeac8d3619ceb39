/**
 * Which daemons this one lists: those that have an entry in the store, and those that may have one again soon.
 *
 * What goes wrong without the second: leases end while the store is away, and after its return daemons register anew
 * within a second, one after the other. One would see the directory name hardly anybody meanwhile, and callers drop
 * their connections to all others. That one of them has died is none of this list's business.
 */
import { FleetSize } from './FleetSize.js';
import type { DaemonEntry, StoreFact } from './FleetStore.js';
import type { KnowledgeListener } from './knowledgeTypes.js';
import type { ChangeMoment } from './RunnerListing.js';

/** Options of a {@link DaemonListing}. */
export interface DaemonListingOptions {
  listener: Pick<KnowledgeListener, 'daemonChanged'>;
  /** Until when an entry that is missing now may be back, monotonic ms; `undefined` where it is gone. */
  graceFor: (now: number) => number | undefined;
  /** Hears of each change of who has an entry. */
  onChange: (fact: StoreFact, moment: ChangeMoment) => void;
}

/** Takes what the store and other daemons say of daemons. */
export class DaemonListing {
  readonly daemons = new Map<string, DaemonEntry>();

  /** How long the list has been lately. */
  readonly size = new FleetSize();

  /** How often the list has changed. */
  changes = 0;

  /** When those that have no entry count as gone, monotonic ms. */
  private readonly lapsed = new Map<string, number>();

  private readonly options: DaemonListingOptions;

  /**
   * @param options - who hears of changes.
   */
  constructor(options: DaemonListingOptions) {
    this.options = options;
  }

  /** @returns Those that have an entry: daemons differ in how long they wait for the others. */
  get registered(): DaemonEntry[] {
    return [...this.daemons.values()].filter(({ name }) => !this.lapsed.has(name));
  }

  /**
   * @param daemon - that has an entry.
   * @param moment - of its latest change.
   */
  put(daemon: DaemonEntry, moment: ChangeMoment): void {
    const { name, newsAddress, callerAddress } = daemon;
    const before = this.daemons.get(name);
    const isSame = before?.newsAddress === newsAddress && before.callerAddress === callerAddress;
    const wasLapsed = this.lapsed.delete(name);
    this.daemons.set(name, daemon);
    this.size.changed(this.daemons.size, moment.now);
    if (isSame && !wasLapsed) return;
    this.options.onChange({ kind: 'daemon', daemon }, moment);
    if (isSame) return;
    this.changes += 1;
    this.options.listener.daemonChanged(name, 'listed');
  }

  /**
   * The daemon has no entry any more: it is gone, unless the store has just been away.
   *
   * @param name - of the daemon.
   * @param moment - at which it had none.
   */
  remove(name: string, moment: ChangeMoment): void {
    if (!this.daemons.has(name) || this.lapsed.has(name)) return;
    this.options.onChange({ kind: 'daemon_gone', name }, moment);
    const grace = this.options.graceFor(moment.now);
    if (grace === undefined) this.drop(name, moment.now);
    else this.lapsed.set(name, grace);
  }

  /**
   * Drops those whose entries have not come back, after a read.
   *
   * @param now - monotonic milliseconds.
   */
  expire(now: number): void {
    for (const [name, goneAt] of this.lapsed) if (now >= goneAt) this.drop(name, now);
  }

  private drop(name: string, now: number): void {
    this.lapsed.delete(name);
    this.daemons.delete(name);
    this.size.changed(this.daemons.size, now);
    this.changes += 1;
    this.options.listener.daemonChanged(name, 'gone');
  }
}
