/**
 * The calls that a daemon starts itself: the periodic ones of each round, occasional tries to reach dead
 * daemons, and urgent announcements.
 */
import type { GossipCalls } from './GossipCalls.js';
import type { MembershipTuning } from './membershipOptions.js';
import type { LocalNews, MembershipAction } from './membershipTypes.js';
import type { MemberTracker } from './MemberTracker.js';
import type { MemberTable } from './MemberTable.js';
import type { PeerSelector } from './PeerSelector.js';

/** Options of {@link GossipRounds}. */
export interface GossipRoundsOptions {
  table: MemberTable;
  tracker: MemberTracker;
  calls: GossipCalls;
  selector: PeerSelector;
  tuning: MembershipTuning;
}

/** Most pushes of new revisions in one round; bounds the traffic when many revisions arrive in a burst. */
const PUSHES_PER_ROUND = 4;

/** Chooses the daemons to call; {@link GossipCalls} builds the messages. */
export class GossipRounds {
  private readonly table: MemberTable;

  private readonly tracker: MemberTracker;

  private readonly calls: GossipCalls;

  private readonly selector: PeerSelector;

  private readonly tuning: MembershipTuning;

  private seedAddresses: readonly string[] = [];

  private nextReviveAt = 0;

  private nextPushAt = 0;

  /**
   * @param options - the tables, the peer selection and the intervals.
   */
  constructor({ table, tracker, calls, selector, tuning }: GossipRoundsOptions) {
    this.table = table;
    this.tracker = tracker;
    this.calls = calls;
    this.selector = selector;
    this.tuning = tuning;
  }

  /**
   * Stores the seeds and starts the interval of tries to reach dead daemons.
   *
   * @param now - monotonic milliseconds.
   * @param callSeeds - addresses of some daemons.
   */
  start(now: number, callSeeds: readonly string[]): void {
    this.seedAddresses = callSeeds.filter((address) => address !== this.table.self.peerAddress);
    this.nextReviveAt = now + this.tuning.reviveIntervalMilliseconds;
  }

  /**
   * Builds the calls of one round: a probe of the next daemon of the fleet, gossip with one of the data centre,
   * and calls of daemons whose state is disputed.
   *
   * @param now - monotonic milliseconds.
   * @param local - this daemon's own news.
   * @returns Calls.
   */
  runRound(now: number, local: LocalNews): MembershipAction[] {
    const partners = new Set<string>();
    const isPresent = (daemonId: string) => this.table.isPresentOther(daemonId);
    const probed = this.selector.nextProbeTarget(isPresent, () => this.table.others());
    if (probed !== undefined) partners.add(probed);
    const neighbour = this.selector.pick(this.table.dataCentreOthers());
    if (neighbour !== undefined) partners.add(neighbour);
    const rounds = [...partners].flatMap((id) => this.calls.callMember(now, local, id, 'round'));
    const disputed = this.tracker.takeDisputed(this.tuning.disputesPerRound);
    const disputes = disputed.flatMap((id) => this.calls.callMember(now, local, id, 'dispute'));
    return [...rounds, ...disputes, ...this.revive(now, local)];
  }

  /**
   * Builds calls that ask some seeds for all members.
   *
   * @param now - monotonic milliseconds.
   * @param local - this daemon's own news.
   * @returns Calls.
   */
  seeds(now: number, local: LocalNews): MembershipAction[] {
    const chosen = this.selector.sample(this.seedAddresses, this.tuning.indirectProbes);
    return chosen.map((peerAddress) =>
      this.calls.requestAllMembers(now, { daemonId: '', peerAddress }, local),
    );
  }

  /**
   * Sends this daemon's own record to some daemons at once, when it announces a stop or was paused.
   *
   * @param now - monotonic milliseconds.
   * @param local - this daemon's own news.
   * @returns Calls.
   */
  announceSelf(now: number, local: LocalNews): MembershipAction[] {
    const chosen = this.selector.sample(this.table.others(), this.tuning.urgentFanOut);
    return chosen.flatMap((id) =>
      this.calls.callMember(now, local, id, 'urgent', [this.table.self]),
    );
  }

  /**
   * Sends a new revision to some daemons of the data centre at once, without waiting for the next round.
   *
   * @param now - monotonic milliseconds.
   * @param local - this daemon's own news.
   * @returns Calls.
   */
  pushRevision(now: number, local: LocalNews): MembershipAction[] {
    if (now < this.nextPushAt) return [];
    this.nextPushAt = now + this.tuning.gossipIntervalMilliseconds / PUSHES_PER_ROUND;
    const near = this.selector.sample(this.table.dataCentreOthers(), this.tuning.revisionFanOut);
    return near.flatMap((daemonId) => this.calls.callMember(now, local, daemonId, 'urgent'));
  }

  /**
   * Calls a dead daemon and an unknown instance from time to time; this reconnects the sides of a healed
   * partition.
   */
  private revive(now: number, local: LocalNews): MembershipAction[] {
    if (now < this.nextReviveAt) return [];
    this.nextReviveAt = now + this.tuning.reviveIntervalMilliseconds;
    const actions: MembershipAction[] = [];
    const dead = this.selector.pick(this.table.dead());
    if (dead !== undefined) actions.push(...this.calls.callMember(now, local, dead, 'revive'));
    const [unknown] = this.tracker.unknownInstances();
    if (unknown) actions.push(this.calls.requestAllMembers(now, unknown, local));
    if (this.table.others().length === 0) actions.push(...this.seeds(now, local));
    return actions;
  }
}
