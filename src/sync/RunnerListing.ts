/**
 * The list of runners: those that have an entry in the store, and lapsed ones, whose entry is missing but may come back.
 */
import { findEntryFault } from '../runners/entryFault.js';
import type { Runner, RunnerEntry } from '../runners/Runner.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { DepartedRunners } from './DepartedRunners.js';
import type { StoreFact } from './FleetStore.js';
import type { KnowledgeListener } from './knowledgeTypes.js';
import { LapsedRunners } from './LapsedRunners.js';
import { LAPSE_GRACE_MILLISECONDS, StoreOutageDetector } from './StoreOutageDetector.js';
import type { UnreadableEntries } from './UnreadableEntries.js';

/** When a change happened. */
export interface ChangeMoment {
  /** The store's revision of the change. */
  readonly revision: number;
  /** When this daemon learns of the change, monotonic ms. */
  readonly now: number;
}

/** Options of a {@link RunnerListing}. */
export interface RunnerListingOptions {
  listener: KnowledgeListener;
  unreadable: UnreadableEntries;
  /** Called for each change of a listed runner. */
  onChange: (fact: StoreFact, moment: ChangeMoment) => void;
}

/**
 * Difference of the remaining cold time that is not a change, in ms. The value in an entry is as old as the runner's last
 * heartbeat, and the entry is read some time after that.
 */
const COLD_TOLERANCE_MILLISECONDS = 2_000;

/**
 * Whether an entry says the same as the known one. Each heartbeat of a cold runner carries its remaining cold time; a
 * difference that is explained by the time passed is not a change.
 */
function isUnchanged(
  { entry: before, coldUntil }: Runner,
  entry: RunnerEntry,
  now: number,
): boolean {
  const { coldMilliseconds = 0 } = entry;
  const coldBefore = Math.max(0, coldUntil - now);
  const isCold = coldMilliseconds > 0;
  const difference = Math.abs(coldMilliseconds - coldBefore);
  return (
    before.state === entry.state &&
    before.host === entry.host &&
    before.port === entry.port &&
    before.service === entry.service &&
    isCold === coldBefore > 0 &&
    difference < COLD_TOLERANCE_MILLISECONDS
  );
}

/** Keeps the list of runners from the facts of the store and of other daemons. */
export class RunnerListing {
  readonly table = new RunnerTable();

  /** Decides whether a missing entry may come back. */
  readonly outages = new StoreOutageDetector();

  private readonly lapsed = new LapsedRunners();

  private readonly departed = new DepartedRunners();

  private readonly options: RunnerListingOptions;

  /**
   * @param options - listener and callback for changes.
   */
  constructor(options: RunnerListingOptions) {
    this.options = options;
  }

  /** @returns Ids of the lapsed runners. */
  get lapsedIds(): string[] {
    return this.lapsed.ids;
  }

  /** @returns Number of runners whose entries are held back because they had left before the store was restored. */
  get heldBackCount(): number {
    return this.departed.heldCount;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Whether a full read has to decide about entries that were held back.
   */
  isFullReadDue(now: number): boolean {
    return this.departed.isFullReadDue(now);
  }

  /**
   * Prepares for the entries of a store that has been restored from an older copy: missing entries may come back, and
   * entries of runners that have left are out of date.
   *
   * @param now - monotonic milliseconds.
   */
  handleRestore(now: number): void {
    this.outages.restored(now);
    this.departed.startHold(now);
  }

  /**
   * Adds or updates a runner that has an entry, whichever way the entry has come; one that cannot be used counts as unreadable.
   *
   * @param entry - the runner's entry.
   * @param moment - revision and time of the entry's latest change.
   */
  put(entry: RunnerEntry, moment: ChangeMoment): void {
    const { id, life } = entry;
    const fault = findEntryFault(entry);
    if (fault !== undefined) {
      this.putUnreadable(id, fault, moment);
      return;
    }
    const wasLapsed = this.lapsed.delete(id);
    this.options.unreadable.clear(id);
    if (this.departed.holdBack(entry, moment.now)) return;
    const known = this.table.get(id);
    if (known && known.entry.life !== life) this.drop(id, moment);
    else if (known && !wasLapsed && isUnchanged(known, entry, moment.now)) return;
    this.applyEntry(entry, moment);
  }

  /**
   * Stops requests to a runner whose entry cannot be decoded. Without this, requests would continue to go to an address
   * that the store no longer confirms after another writer has overwritten the entry. The runner's next heartbeat
   * restores the entry, so what is known of its health and its cached prompts is kept until then.
   *
   * @param id - the runner's id.
   * @param message - what is wrong with its entry.
   * @param moment - revision and time of that entry.
   */
  putUnreadable(id: string, message: string, moment: ChangeMoment): void {
    const wasLapsed = this.lapsed.delete(id);
    this.options.unreadable.report(id, message);
    const known = this.table.get(id)?.entry;
    if (!known || (known.state === 'unreadable' && !wasLapsed)) return;
    this.applyEntry({ ...known, state: 'unreadable' }, moment);
  }

  /**
   * Handles a missing entry: drops the runner at once, or lets it lapse if the store was unavailable just before.
   *
   * @param id - the runner's id.
   * @param moment - revision and time at which the entry was missing.
   */
  remove(id: string, moment: ChangeMoment): void {
    this.options.unreadable.clear(id);
    this.departed.discard(id);
    const grace = this.outages.graceDeadline(moment.now);
    if (grace === undefined) this.drop(id, moment);
    else this.lapse(id, moment, grace);
  }

  /**
   * Handles all runners that have no entry in a full read.
   *
   * @param ids - the runners that have one.
   * @param moment - revision and time of the full read.
   */
  keepOnly(ids: ReadonlySet<string>, moment: ChangeMoment): void {
    this.departed.keepOnly(ids);
    for (const { entry } of this.table.list())
      if (!ids.has(entry.id)) this.remove(entry.id, moment);
  }

  /**
   * Marks a runner as lapsed: its entry is missing but may come back.
   *
   * A lapse is relayed to other daemons like any change. Otherwise a daemon could reach the revision at which the entry
   * went missing through a daemon that waits for the entry, without learning of the lapse. It would then ignore the
   * removal that another daemon relays for that revision, and send requests to a runner that left seconds before.
   *
   * @param id - the runner's id.
   * @param moment - revision and time at which the entry was missing.
   * @param goneAt - when the runner is dropped unless its entry is back, monotonic ms.
   */
  lapse(
    id: string,
    moment: ChangeMoment,
    goneAt = Math.max(
      this.outages.graceDeadline(moment.now) ?? Number.NEGATIVE_INFINITY,
      moment.now + LAPSE_GRACE_MILLISECONDS,
    ),
  ): void {
    const known = this.table.get(id);
    if (!known || this.lapsed.has(id)) return;
    this.lapsed.add({ id, revision: moment.revision, goneAt });
    this.table.markEntryMissing(id);
    this.options.onChange({ kind: 'runner_lapsed', id }, moment);
    this.options.listener.runnerChanged(known.entry, 'lapsed');
  }

  /**
   * Removes a runner from the list.
   *
   * @param id - the runner's id.
   * @param moment - revision at which its entry was missing, and time.
   */
  drop(id: string, moment: ChangeMoment): void {
    this.lapsed.delete(id);
    const known = this.table.get(id);
    if (!known) return;
    this.departed.add(known.entry.life, moment.now);
    this.table.remove(id);
    this.options.onChange({ kind: 'runner_gone', id }, moment);
    this.options.listener.runnerChanged(known.entry, 'gone');
  }

  /**
   * Drops the lapsed runners whose entries have not come back in time. Called only after a read of the store or of
   * relayed changes: between two reads an entry may be back in the store already, and dropping the runner would lose
   * which prompts it has cached. The removal is reported with the revision at which the entry went missing, since other
   * daemons have reached later revisions.
   *
   * @param now - monotonic milliseconds.
   */
  expire(now: number): void {
    for (const { id, revision } of this.lapsed.overdue(now)) this.drop(id, { revision, now });
  }

  /**
   * Tells whether another daemon's removal of a lapsed runner applies here.
   *
   * @param id - the runner's id.
   * @param revision - store revision at which the other daemon saw the runner removed.
   * @returns Whether the entry went missing here at that revision or before, and has not come back.
   */
  isMissingSince(id: string, revision: number): boolean {
    return this.lapsed.isMissingSince(id, revision);
  }

  private applyEntry(entry: RunnerEntry, moment: ChangeMoment): void {
    if (entry.state === 'ready') this.departed.delete(entry.life);
    if (entry.state === 'draining') this.departed.add(entry.life, moment.now);
    this.table.put(entry, moment.now);
    this.options.onChange({ kind: 'runner', runner: entry }, moment);
    this.options.listener.runnerChanged(entry, entry.state);
  }
}
