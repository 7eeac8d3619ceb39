/**
 * The state of all other daemons as seen by this one: merges received records, runs the suspicion timeouts and
 * reports state changes.
 */
import { ChartInterpreter } from '../charts/ChartInterpreter.js';
import { Deadlines } from './Deadlines.js';
import type { Dissemination } from './Dissemination.js';
import chart from './membership.chart.json' with { type: 'json' };
import type { MembershipTuning } from './membershipOptions.js';
import type {
  ListedInstance,
  MemberEvent,
  MemberNote,
  MemberRecord,
  MembershipAction,
  MemberState,
  NoteReason,
} from './membershipTypes.js';
import type { MemberTable } from './MemberTable.js';
import type { NewsCache } from './NewsCache.js';
import { mergeRecord } from './recordMerge.js';

/** Options of a {@link MemberTracker}. */
export interface MemberTrackerOptions {
  table: MemberTable;
  newsCache: NewsCache;
  dissemination: Dissemination;
  tuning: MembershipTuning;
}

const memberChart = new ChartInterpreter<MemberState, MemberEvent>({ chart });

/** Most daemons whose disputed state waits for a call; bounds memory. */
const MAXIMUM_DISPUTED = 256;

const NOTES: Readonly<Record<MemberState, MemberNote>> = {
  alive: 'returned',
  suspect: 'suspected',
  leaving: 'leaving',
  dead: 'died',
  left: 'left',
};

/** Tracks the states of all daemons but this one. */
export class MemberTracker {
  private readonly table: MemberTable;

  private readonly newsCache: NewsCache;

  private readonly dissemination: Dissemination;

  private readonly tuning: MembershipTuning;

  private readonly suspicionDeadlines = new Deadlines();

  private readonly removalDeadlines = new Deadlines();

  private readonly disputed = new Set<string>();

  private platformInstances = new Map<string, ListedInstance>();

  /**
   * @param options - the tables that are updated, and the timeouts.
   */
  constructor({ table, newsCache, dissemination, tuning }: MemberTrackerOptions) {
    this.table = table;
    this.newsCache = newsCache;
    this.dissemination = dissemination;
    this.tuning = tuning;
  }

  /**
   * Merges a record of another daemon.
   *
   * @param now - monotonic milliseconds.
   * @param received - the record that a peer sent.
   * @param reason - `answered` if the daemon itself sent it.
   * @returns Actions, and the record known here if the peer's is older or disputed.
   */
  merge(
    now: number,
    received: MemberRecord,
    reason: NoteReason,
  ): { actions: MembershipAction[]; newer?: MemberRecord } {
    const known = this.table.get(received.daemonId);
    const outcome = mergeRecord(memberChart, known, received);
    if (outcome.kind === 'accepted') {
      return { actions: this.accept(now, known, outcome.record, reason) };
    }
    if (!known || outcome.kind === 'nothing_new') return { actions: [] };
    // A dispute beyond the limit comes up again with the next comparison.
    const hasRoom = this.disputed.size < MAXIMUM_DISPUTED;
    if (outcome.kind === 'disputed' && hasRoom) this.disputed.add(received.daemonId);
    return { actions: [], newer: known };
  }

  /**
   * Removes daemons from the list of those that some daemons see as dead and others as alive. The caller asks
   * them directly.
   *
   * @param limit - the largest number of daemons.
   * @returns Their names.
   */
  takeDisputed(limit: number): string[] {
    const taken = [...this.disputed].slice(0, limit);
    for (const daemonId of taken) this.disputed.delete(daemonId);
    return taken;
  }

  /**
   * Makes a daemon suspect after neither the direct nor any indirect probe was answered.
   *
   * @param now - monotonic milliseconds.
   * @param daemonId - the daemon's name.
   * @param refused - whether its host refused the connection, which shortens the suspicion timeout.
   * @returns Actions.
   */
  suspect(now: number, daemonId: string, refused: boolean): MembershipAction[] {
    const known = this.table.get(daemonId);
    if (!known) return [];
    // Nothing is placed on a leaving daemon, so it can be declared dead without a suspicion timeout.
    const event = known.state === 'leaving' ? 'died' : 'suspected';
    const { state, accepted } = memberChart.next(known.state, event);
    const actions = accepted ? this.accept(now, known, { ...known, state }, 'own_probe') : [];
    if (refused || this.platformInstances.get(daemonId)?.state === 'leaving')
      this.shortenSuspicion(now, daemonId);
    return actions;
  }

  /**
   * Stores the platform's list of instances. The list lags, so it proves neither that a daemon is alive nor
   * that it is dead; it only shortens the suspicion timeout of a daemon that probes have made suspect.
   *
   * @param now - monotonic milliseconds.
   * @param instances - the platform's list.
   */
  updatePlatformList(now: number, instances: readonly ListedInstance[]): void {
    this.platformInstances = new Map(instances.map((instance) => [instance.daemonId, instance]));
    for (const { daemonId, state } of instances) {
      if (state === 'leaving') this.shortenSuspicion(now, daemonId);
    }
  }

  /** @returns Live instances of the platform's list that have no record here. */
  unknownInstances(): ListedInstance[] {
    return [...this.platformInstances.values()].filter(
      ({ daemonId, state }) => state === 'live' && !this.table.get(daemonId),
    );
  }

  /**
   * Declares daemons dead whose suspicion timeout is over, and removes dead and left ones after their retention
   * time.
   *
   * @param now - monotonic milliseconds.
   * @returns Actions.
   */
  runDueTimeouts(now: number): MembershipAction[] {
    const died = this.suspicionDeadlines.takeDue(now).flatMap((daemonId) => {
      const known = this.table.get(daemonId);
      if (!known) return [];
      const { state, accepted } = memberChart.next(known.state, 'died');
      return accepted ? this.accept(now, known, { ...known, state }, 'suspicion_timeout') : [];
    });
    const forgotten = this.removalDeadlines.takeDue(now).map((daemonId) => this.forget(daemonId));
    return [...died, ...forgotten];
  }

  /**
   * Extends all suspicion timeouts by a pause of this process, during which it received no refutations.
   *
   * @param milliseconds - length of the pause.
   */
  extendSuspicions(milliseconds: number): void {
    this.suspicionDeadlines.postpone(milliseconds);
  }

  /** @returns The earliest end of a suspicion timeout, in monotonic milliseconds, or `undefined`. */
  nextWake(): number | undefined {
    return this.suspicionDeadlines.earliest();
  }

  /** @returns The suspicion timeout for the fleet's present size, in ms. */
  suspicionTimeout(): number {
    const scale = Math.max(1, Math.log10(this.table.size));
    return this.tuning.suspicionRounds * scale * this.tuning.gossipIntervalMilliseconds;
  }

  private accept(
    now: number,
    known: MemberRecord | undefined,
    record: MemberRecord,
    reason: NoteReason,
  ): MembershipAction[] {
    const { daemonId, state } = record;
    this.table.set(record);
    const restarted = known !== undefined && known.incarnation !== record.incarnation;
    if (restarted) this.newsCache.delete(daemonId);
    const changed = restarted || known?.state !== state;
    // A record with only a greater version is queued, too: otherwise a refutation would not reach the daemons
    // that suspect its sender.
    this.dissemination.add(daemonId);
    if (!changed) return [];
    this.scheduleTimeouts(now, daemonId, state);
    const member: MembershipAction = {
      kind: 'member_changed',
      member: record,
      news: this.newsCache.newsOf(daemonId),
    };
    let note = NOTES[state];
    if (!known) note = 'joined';
    else if (restarted && state === 'alive') note = 'restarted';
    return [member, { kind: 'note', note, daemonId, reason }];
  }

  private scheduleTimeouts(now: number, daemonId: string, state: MemberState): void {
    this.suspicionDeadlines.delete(daemonId);
    this.removalDeadlines.delete(daemonId);
    if (state === 'suspect') this.suspicionDeadlines.set(daemonId, now + this.suspicionTimeout());
    if (state === 'dead' || state === 'left') {
      this.removalDeadlines.set(daemonId, now + this.tuning.forgetDeadAfterMilliseconds);
    }
  }

  private shortenSuspicion(now: number, daemonId: string): void {
    this.suspicionDeadlines.bringForward(daemonId, now + this.tuning.shortSuspicionMilliseconds);
  }

  private forget(daemonId: string): MembershipAction {
    this.table.delete(daemonId);
    this.newsCache.delete(daemonId);
    this.dissemination.remove(daemonId);
    this.disputed.delete(daemonId);
    return { kind: 'member_forgotten', daemonId };
  }
}
