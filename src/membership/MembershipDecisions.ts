/**
 * Membership by gossip: the failure detector of the fleet, and the exchange of load and revisions.
 *
 * Each round probes one daemon of the fleet and exchanges news with one of the data centre. A daemon that
 * answers neither the direct nor the indirect probes becomes suspect. It may refute the suspicion until the
 * timeout and is dead afterwards (SWIM). Messages have a fixed maximum size, so that bytes a second do not grow
 * with the fleet.
 */
import { match } from 'ts-pattern';

import { Decisions } from '../decisions/Decisions.js';
import { Dissemination } from './Dissemination.js';
import { GossipCalls } from './GossipCalls.js';
import { GossipComposer } from './GossipComposer.js';
import { GossipIntake } from './GossipIntake.js';
import type { MembershipTuning } from './membershipOptions.js';
import { DEFAULT_MEMBERSHIP_TUNING } from './membershipOptions.js';
import type {
  Gossip,
  LocalNews,
  MemberRecord,
  MembershipAction,
  MembershipMessage,
  SelfState,
} from './membershipTypes.js';
import { MemberTracker } from './MemberTracker.js';
import { MemberTable } from './MemberTable.js';
import { NewsCache } from './NewsCache.js';
import { PeerSelector } from './PeerSelector.js';
import { PendingProbes } from './PendingProbes.js';
import { GossipRounds } from './GossipRounds.js';
import { SelfMembership } from './SelfMembership.js';

/** Options of {@link MembershipDecisions}. */
export interface MembershipDecisionsOptions {
  /** This daemon's record, with state `alive`. */
  self: MemberRecord;
  /** Seed for choosing peers; different for each daemon, or all would probe in step. */
  seed: number;
  tuning?: Partial<MembershipTuning>;
}

type Actions = MembershipAction[];

const NO_NEWS: LocalNews = {
  configurationRevision: 0,
  configurationDigest: '',
  runnersRevision: 0,
  pools: [],
};

/** The membership decisions of one daemon: turns messages and clock ticks into actions, without I/O. */
export class MembershipDecisions extends Decisions<MembershipMessage, MembershipAction> {
  private readonly tuning: MembershipTuning;

  private readonly table: MemberTable;

  private readonly newsCache = new NewsCache();

  private readonly dissemination = new Dissemination();

  private readonly selector: PeerSelector;

  private readonly composer: GossipComposer;

  private readonly calls: GossipCalls;

  private readonly intake: GossipIntake;

  private readonly rounds: GossipRounds;

  private readonly tracker: MemberTracker;

  private readonly probes = new PendingProbes();

  private readonly selfMembership: SelfMembership;

  private localNews: LocalNews = NO_NEWS;

  private newsVersion = 0;

  private nextRoundAt: number | undefined;

  /** Exchanges since the last comparison in which the peer's hash of the members differed from ours. */
  private hashMismatches = 0;

  /**
   * @param options - this daemon's record, its seed and its tuning.
   */
  constructor({ self, seed, tuning = {} }: MembershipDecisionsOptions) {
    super();
    this.tuning = { ...DEFAULT_MEMBERSHIP_TUNING, ...tuning };
    this.table = new MemberTable(self);
    this.selector = new PeerSelector({ seed });
    const { table, newsCache, dissemination, selector, probes } = this;
    const shared = { table, newsCache, dissemination, tuning: this.tuning };
    this.composer = new GossipComposer({ ...shared, selector });
    this.calls = new GossipCalls({ table, composer: this.composer, probes, tuning: this.tuning });
    this.tracker = new MemberTracker(shared);
    this.rounds = new GossipRounds({
      ...shared,
      selector,
      tracker: this.tracker,
      calls: this.calls,
    });
    this.intake = new GossipIntake({ ...shared, tracker: this.tracker });
    this.selfMembership = new SelfMembership({ tuning: this.tuning });
  }

  override decide(now: number, message: MembershipMessage): readonly MembershipAction[] {
    const away = this.selfMembership.detectPause(now);
    const steppedBack = away === undefined ? [] : this.stepBack(now, away);
    return [...steppedBack, ...this.handle(now, message)];
  }

  override nextWake(): number | undefined {
    const times = [this.nextRoundAt, this.tracker.nextWake(), this.selfMembership.nextWake];
    const known = times.filter((time) => time !== undefined);
    return known.length === 0 ? undefined : Math.min(...known);
  }

  /** @returns The records of all known daemons, for status pages and measurements. */
  members(): readonly MemberRecord[] {
    return this.table.all();
  }

  /** @returns This daemon's own state, see selfMembership.chart.json. */
  get selfState(): SelfState {
    return this.selfMembership.state;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Ages of the news and summaries held here, in ms.
   */
  newsAges(now: number): { readonly news: number[]; readonly summaries: number[] } {
    return this.newsCache.ages(now);
  }

  private handle(now: number, message: MembershipMessage): Actions {
    return match<MembershipMessage, Actions>(message)
      .with({ kind: 'start' }, ({ seeds }) => this.start(now, seeds))
      .with({ kind: 'gossip_received' }, ({ exchange, from, gossip }) =>
        this.answerGossip(now, exchange, from, gossip),
      )
      .with({ kind: 'gossip_answered' }, ({ probe, from, gossip }) =>
        this.handleAnswer(now, probe, from, gossip),
      )
      .with({ kind: 'gossip_failed' }, ({ probe, refused }) =>
        this.handleProbeFailure(now, probe, refused),
      )
      .with({ kind: 'probe_for_ended' }, ({ probe, answered }) => {
        const outcome = this.probes.reportIndirect(probe, answered);
        return outcome.kind === 'waiting'
          ? []
          : this.suspectMember(now, outcome.daemonId, outcome.refused);
      })
      .with({ kind: 'local_news' }, ({ news }) => this.updateLocalNews(now, news))
      .with({ kind: 'platform_list' }, ({ instances }) => {
        this.tracker.updatePlatformList(now, instances);
        return [];
      })
      .with({ kind: 'was_away' }, ({ milliseconds }) => this.stepBack(now, milliseconds))
      .with({ kind: 'leave' }, () => this.leave(now))
      .with({ kind: 'left' }, () => this.finishLeaving(now))
      .with({ kind: 'tick' }, () => this.tick(now))
      .exhaustive();
  }

  private start(now: number, seeds: readonly string[]): Actions {
    this.rounds.start(now, seeds);
    this.selfMembership.startJoining(now);
    // A random offset spreads the rounds of daemons that start together over the interval.
    this.nextRoundAt = now + this.selector.integer(this.tuning.gossipIntervalMilliseconds);
    return [this.selfChangedAction(), ...this.rounds.seeds(now, this.localNews)];
  }

  private tick(now: number): Actions {
    const actions = [
      ...this.selfMembership.giveUpWhenDue(now, this.table.size),
      ...this.tracker.runDueTimeouts(now),
    ];
    if (this.nextRoundAt === undefined || now < this.nextRoundAt) return actions;
    this.nextRoundAt = now + this.tuning.gossipIntervalMilliseconds;
    this.refreshOwnNews(now);
    if (this.selfMembership.state === 'joining')
      actions.push(...this.rounds.seeds(now, this.localNews));
    return [...actions, ...this.rounds.runRound(now, this.localNews)];
  }

  private answerGossip(now: number, exchange: number, from: string, gossip: Gossip): Actions {
    const { actions, newer } = this.intake.apply(now, from, gossip, this.localNews);
    const records = [...newer];
    if (gossip.kind === 'full') records.push(...this.composer.presentRecords());
    if (gossip.kind === 'compare') {
      records.push(...this.composer.differingRecords(gossip.bucketHashes, gossip.members));
    }
    const partner = this.table.get(from);
    // A comparison with an unknown caller fetches its own record and others that are missing here.
    const compares = gossip.kind === 'compare' || partner === undefined;
    const answer = this.composer.compose(now, {
      kind: compares ? 'compare' : 'delta',
      partner,
      records,
      local: this.localNews,
    });
    return [...actions, { kind: 'answer', exchange, gossip: answer }];
  }

  private handleAnswer(now: number, probe: number, from: string, gossip: Gossip): Actions {
    const closed = this.probes.close(probe);
    if (!closed) return [];
    const { actions, newer } = this.intake.apply(now, from, gossip, this.localNews);
    actions.push(...this.selfMembership.recordAnswer(from, this.table.size));
    const records = [...newer];
    if (gossip.kind === 'compare') {
      records.push(...this.composer.differingRecords(gossip.bucketHashes, gossip.members));
    }
    if (records.length > 0)
      return [
        ...actions,
        ...this.calls.callMember(now, this.localNews, from, 'comparison', records),
      ];
    return [...actions, ...this.compareAfterMismatches(now, from, gossip)];
  }

  /**
   * Asks for a comparison after a number of exchanges with different hashes (anti-entropy). It is needed
   * because changes can be lost for good: there were too many at once, or a daemon was cut off while they were
   * sent. An equal hash in between does not reset the count: a neighbour may lack the same member.
   */
  private compareAfterMismatches(now: number, from: string, gossip: Gossip): Actions {
    if (gossip.pictureHash === this.table.picture.hash()) return [];
    this.hashMismatches += 1;
    if (this.hashMismatches < this.tuning.differencesBeforeComparison) return [];
    this.hashMismatches = 0;
    return this.calls.callMember(now, this.localNews, from, 'comparison');
  }

  private handleProbeFailure(now: number, probe: number, refused: boolean): Actions {
    const closed = this.probes.close(probe);
    if (!closed || closed.daemonId === '') return [];
    const target = this.table.get(closed.daemonId);
    if (!target || target.state === 'dead' || target.state === 'left') return [];
    const helpers = this.selector.sample(
      this.table.others().filter((daemonId) => daemonId !== closed.daemonId),
      this.tuning.indirectProbes,
    );
    if (helpers.length === 0) return this.suspectMember(now, closed.daemonId, refused);
    return this.calls.requestIndirectProbes(helpers, target, refused);
  }

  private suspectMember(now: number, daemonId: string, refused: boolean): Actions {
    if (!this.selfMembership.maySuspect) return [];
    return this.tracker.suspect(now, daemonId, refused);
  }

  private updateLocalNews(now: number, news: LocalNews): Actions {
    const before = this.localNews;
    this.localNews = news;
    this.refreshOwnNews(now);
    const isNewer =
      news.configurationRevision > before.configurationRevision ||
      news.runnersRevision > before.runnersRevision;
    return [
      this.selfChangedAction(),
      ...(isNewer ? this.rounds.pushRevision(now, this.localNews) : []),
    ];
  }

  private refreshOwnNews(now: number): void {
    this.newsVersion += 1;
    const { daemonId, incarnation } = this.table.self;
    const identity = { daemonId, incarnation, version: this.newsVersion, ageMilliseconds: 0 };
    this.newsCache.storeNews(now, { ...identity, ...this.localNews });
  }

  private stepBack(now: number, milliseconds: number): Actions {
    const actions = this.selfMembership.stepBack(now, milliseconds);
    if (actions.length === 0) return [];
    this.probes.clear();
    this.tracker.extendSuspicions(milliseconds);
    // Peers are called at once, so that the daemon resumes soon if they answer.
    return [...actions, ...this.rounds.announceSelf(now, this.localNews)];
  }

  private leave(now: number): Actions {
    return this.selfMembership.applyEvent('leave') ? this.announceState(now, 'leaving') : [];
  }

  private finishLeaving(now: number): Actions {
    return this.selfMembership.applyEvent('left') ? this.announceState(now, 'left') : [];
  }

  private announceState(now: number, state: 'leaving' | 'left'): Actions {
    const { self } = this.table;
    this.table.set({ ...self, state, version: self.version + 1 });
    this.dissemination.add(self.daemonId);
    return [this.selfChangedAction(), ...this.rounds.announceSelf(now, this.localNews)];
  }

  private selfChangedAction(): MembershipAction {
    return { kind: 'member_changed', member: this.table.self, news: this.localNews };
  }
}
