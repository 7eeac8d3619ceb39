/**
 * Which runners this daemon lists: those that have an entry in the store, and those that may have one again soon.
 */
import type { Runner, RunnerEntry } from '../runners/Runner.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import type { StoreFact } from './FleetStore.js';
import type { KnowledgeListener } from './knowledgeTypes.js';
import { LapsedRunners } from './LapsedRunners.js';
import { LAPSE_GRACE_MILLISECONDS, StoreOutages } from './StoreOutages.js';
import type { UnreadableEntries } from './UnreadableEntries.js';

/** When something was so. */
export interface ChangeMoment {
  /** The store's revision. */
  readonly revision: number;
  /** When this daemon learns of it, monotonic ms. */
  readonly now: number;
}

/** Options of a {@link RunnerListing}. */
export interface RunnerListingOptions {
  listener: KnowledgeListener;
  unreadable: UnreadableEntries;
  /** Hears of each change. */
  onChange: (fact: StoreFact, moment: ChangeMoment) => void;
}

/** An entry is as old as the runner's last heartbeat, and is read some time later; in ms. */
const COLD_TOLERANCE_MILLISECONDS = 2_000;

/** Each heartbeat of a cold runner tells anew how long it stays so; what only passes with time is no change. */
function isSame({ entry: before, coldUntil }: Runner, entry: RunnerEntry, now: number): boolean {
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

/** Takes what the store and other daemons say of runners. */
export class RunnerListing {
  readonly table = new RunnerTable();

  /** Tells whether runners without an entry may be back. */
  readonly outages = new StoreOutages();

  private readonly lapsed = new LapsedRunners();

  private readonly options: RunnerListingOptions;

  /**
   * @param options - who hears of changes.
   */
  constructor(options: RunnerListingOptions) {
    this.options = options;
  }

  /** @returns Ids of the runners whose entries are missing, and may be back. */
  get lapsedIds(): string[] {
    return this.lapsed.ids;
  }

  /**
   * @param entry - of a runner that is there.
   * @param moment - of its latest change.
   */
  put(entry: RunnerEntry, moment: ChangeMoment): void {
    const { id, life } = entry;
    const wasLapsed = this.lapsed.delete(id);
    this.options.unreadable.clear(id);
    const known = this.table.get(id);
    if (known && known.entry.life !== life) this.drop(id, moment);
    else if (known && !wasLapsed && isSame(known, entry, moment.now)) return;
    this.change(entry, moment);
  }

  /**
   * What goes wrong otherwise: another writer puts something in place of a runner's entry, and requests go on to an
   * address that nothing vouches for any more. The runner's own next heartbeat puts it right, so that its health
   * and its cached prompts are kept until then.
   *
   * @param id - of a runner.
   * @param message - what is wrong with its entry.
   * @param moment - of that entry.
   */
  putUnreadable(id: string, message: string, moment: ChangeMoment): void {
    const wasLapsed = this.lapsed.delete(id);
    this.options.unreadable.report(id, message);
    const known = this.table.get(id)?.entry;
    if (!known || (known.state === 'unreadable' && !wasLapsed)) return;
    this.change({ ...known, state: 'unreadable' }, moment);
  }

  /**
   * The runner has no entry any more: it is gone, unless the store has just been away.
   *
   * @param id - of a runner.
   * @param moment - at which it had none.
   */
  remove(id: string, moment: ChangeMoment): void {
    this.options.unreadable.clear(id);
    const grace = this.outages.graceFor(moment.now);
    if (grace === undefined) this.drop(id, moment);
    else this.lapse(id, moment, grace);
  }

  /**
   * The runner has no entry, and may be back.
   *
   * A lapse is told to others like any change. What goes wrong otherwise: a daemon is told the revision at which the
   * entry was missing by one that waits for it, and takes its removal for old news when another one tells of it; it
   * sends requests to a runner that left seconds before.
   *
   * @param id - of a runner.
   * @param moment - at which it had none.
   * @param goneAt - when it counts as gone, monotonic ms.
   */
  lapse(id: string, moment: ChangeMoment, goneAt = moment.now + LAPSE_GRACE_MILLISECONDS): void {
    const known = this.table.get(id);
    if (!known || this.lapsed.has(id)) return;
    this.lapsed.add({ id, revision: moment.revision, goneAt });
    this.table.setLapsed(id);
    this.options.onChange({ kind: 'runner_lapsed', id }, moment);
    this.options.listener.runnerChanged(known.entry, 'lapsed');
  }

  /**
   * @param id - of a runner that is gone.
   * @param moment - at which it had no entry.
   */
  drop(id: string, moment: ChangeMoment): void {
    this.lapsed.delete(id);
    const known = this.table.get(id);
    if (!known) return;
    this.table.remove(id);
    this.options.onChange({ kind: 'runner_gone', id }, moment);
    this.options.listener.runnerChanged(known.entry, 'gone');
  }

  /**
   * Drops runners whose entries have not come back, after a read or word of it. Between two reads an entry may be back
   * unseen: dropping its runner then would forget which prompts it has cached. Others have reached later revisions; they
   * take the removal as one of the time at which the entry went.
   *
   * @param now - monotonic milliseconds.
   */
  expire(now: number): void {
    for (const { id, revision } of this.lapsed.overdue(now)) this.drop(id, { revision, now });
  }

  /**
   * @param id - of a runner.
   * @param revision - at which another daemon has taken it for gone.
   * @returns Whether this daemon has waited for it since.
   */
  isMissingSince(id: string, revision: number): boolean {
    return this.lapsed.isMissingSince(id, revision);
  }

  private change(entry: RunnerEntry, moment: ChangeMoment): void {
    this.table.put(entry, moment.now);
    this.options.onChange({ kind: 'runner', runner: entry }, moment);
    this.options.listener.runnerChanged(entry, entry.state);
  }
}
