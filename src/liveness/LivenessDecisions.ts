/**
 * Failure detector: decides which daemons of the fleet are available, from the messages that arrive and those that do
 * not.
 *
 * Without it, the store keeps a daemon's entry until its lease ends, and for as long as the store itself is away. The
 * directory would name a daemon that has been down for 8 s, and callers would be left with connections that hang
 * until they time out. Daemons exchange messages about once a second anyway, so they can detect a failure long before
 * the lease ends.
 *
 * Silence alone proves nothing, because the fault may be on this side: a daemon that was paused or cut off, or whose
 * link is saturated, receives no messages either. A daemon therefore counts as unresponsive only if calls to it fail
 * and another daemon has not heard it either, or if its own host refuses the calls. If no other daemon is left to
 * ask, the store must have answered in the meantime as quickly as a daemon would. A daemon that can confirm nothing
 * treats all others as available.
 */
import { UnavailableDaemons } from './UnavailableDaemons.js';
import { livenessHash } from './UnresponsiveBroadcasts.js';
import type {
  LivenessAction,
  LivenessDuties,
  LivenessOpinion,
  LivenessOpinions,
  ProbeOutcome,
} from './livenessTypes.js';
import type { WatchedDaemon } from './WatchedDaemon.js';
import { WatchList } from './WatchList.js';

/**
 * Interval between ticks, in ms. All actions come from ticks, so that daemons that fail together are broadcast in one
 * message.
 */
const TICK_MILLISECONDS = 100;

/**
 * Tick interval, in ms, of a daemon that receives broadcasts of unresponsive daemons and watches only the
 * broadcasters, as most daemons of a large fleet do.
 */
const BROADCAST_RECIPIENT_TICK_MILLISECONDS = 200;

/** A longer gap between two ticks, in ms, means that this process was paused. */
const PAUSE_MILLISECONDS = 600;

/**
 * Number of daemons that are asked about a suspected one; more than one, because one of them may be dead or cut off
 * too.
 */
const CONSULTED_DAEMONS = 3;

/**
 * Interval between probes of an unresponsive daemon, in ms. Once it is back, its messages are received without a
 * probe, unless they get lost.
 */
const REPROBE_MILLISECONDS = 2_000;

/** Longest interval between two broadcasts of a broadcaster, in ms. */
const BROADCAST_MILLISECONDS = 1_000;

/**
 * Interval, in ms, between calls to the broadcasters by a daemon that cannot read their broadcasts. It started while
 * the store was away, and would otherwise name dead daemons to callers until the store is back.
 */
const PULL_MILLISECONDS = 500;

/**
 * Maximum number of unresponsive daemons in one broadcast, which has to fit into a datagram of 1,400 bytes.
 */
const MAXIMUM_BROADCAST_HASHES = 320;

/** Options of {@link LivenessDecisions}. */
export interface LivenessDecisionsOptions {
  /** This daemon's name. */
  daemon: string;
  /**
   * Silence after which a daemon is suspected, in ms; longer than any daemon's normal pause between messages.
   */
  quietMilliseconds: () => number;
  /**
   * Whether this daemon can read the messages of others, that is, whether it knows the fleet's secret.
   */
  canHear: () => boolean;
  /** Returns numbers from 0 (inclusive) to 1 (exclusive). */
  random: () => number;
}

type Actions = LivenessAction[];

/** The failure detector of one daemon. */
export class LivenessDecisions {
  private readonly options: LivenessDecisionsOptions;

  private readonly watchList = new WatchList();

  private readonly unavailable = new UnavailableDaemons();

  private duties: LivenessDuties = {
    listed: [],
    watched: [],
    witnesses: [],
    tellers: [],
    isTelling: false,
  };

  private tickedAt = Number.NEGATIVE_INFINITY;

  private broadcastAt = Number.NEGATIVE_INFINITY;

  private pulledAt = Number.NEGATIVE_INFINITY;

  private nextBroadcaster = 0;

  /**
   * Start of the latest call to the store that was answered as quickly as a daemon would answer, in monotonic ms.
   */
  private storeCalledAt = Number.NEGATIVE_INFINITY;

  /**
   * @param options - this daemon's name and the detector's thresholds.
   */
  constructor(options: LivenessDecisionsOptions) {
    this.options = options;
  }

  /** @returns Time until {@link tick} has to be called again, in ms. */
  get tickMilliseconds(): number {
    return this.duties.tellers.length > 0
      ? BROADCAST_RECIPIENT_TICK_MILLISECONDS
      : TICK_MILLISECONDS;
  }

  /** @returns How often the set of unavailable daemons has changed. */
  get changes(): number {
    return this.unavailable.changes;
  }

  /**
   * @param name - name of a listed daemon.
   * @returns Whether callers and other daemons should avoid it.
   */
  isUnavailable(name: string): boolean {
    return this.unavailable.all.has(name);
  }

  /** @returns Names of the listed daemons that are unavailable. */
  get unavailableNames(): ReadonlySet<string> {
    return this.unavailable.all;
  }

  /**
   * Replaces this daemon's duties.
   *
   * @param duties - the new duties.
   * @param now - monotonic milliseconds.
   */
  assign(duties: LivenessDuties, now: number): void {
    this.duties = duties;
    this.unavailable.markStale();
    const { daemon: own } = this.options;
    const watched = duties.watched.filter((name) => name !== own);
    this.watchList.assign({ listed: duties.listed, watched }, now);
  }

  /**
   * Records that a message of any kind has arrived from a daemon.
   *
   * @param name - name of the sender.
   * @param now - monotonic milliseconds.
   * @param isLeaving - whether the sender has announced that it stops; `undefined` if the message does not say so.
   */
  recordMessage(name: string, now: number, isLeaving?: boolean): void {
    const daemon = this.watchList.byName.get(name);
    if (!daemon) return;
    daemon.recordHeard(now);
    const staysLeaving = daemon.phase === 'leaving' && isLeaving === undefined;
    const phase = isLeaving || staysLeaving ? 'leaving' : 'heard';
    if (daemon.phase === phase) return;
    this.unavailable.markStale();
    daemon.enter(phase, now);
    if (phase === 'leaving') daemon.probeAt(now + REPROBE_MILLISECONDS);
  }

  /**
   * Takes a broadcast of unresponsive daemons.
   *
   * @param broadcaster - name of the broadcaster, which watches all other daemons.
   * @param silent - hashes of the names of the daemons that it found unresponsive.
   * @param now - monotonic milliseconds.
   */
  takeBroadcast(broadcaster: string, silent: readonly number[], now: number): void {
    this.recordMessage(broadcaster, now);
    this.unavailable.takeBroadcast(broadcaster, silent, now);
  }

  /**
   * Records a call to the store that was answered as quickly as a daemon would answer.
   *
   * @param calledAt - start of the call, in monotonic ms.
   */
  recordStoreAnswer(calledAt: number): void {
    this.storeCalledAt = calledAt;
  }

  /**
   * Records that this daemon has sent another message to all others, which shows that it is alive and makes an empty
   * broadcast unnecessary.
   *
   * @param now - monotonic milliseconds.
   */
  recordOtherBroadcast(now: number): void {
    if (this.unavailable.all.size === 0) this.broadcastAt = now;
  }

  /**
   * Answers another daemon's question about suspected daemons.
   *
   * @param names - names of the daemons asked about.
   * @param now - monotonic milliseconds.
   * @returns This daemon's opinion of each.
   */
  opinionsOn(names: readonly string[], now: number): LivenessOpinions {
    const quiet = this.options.quietMilliseconds();
    const opinions = names.map((name) => {
      const opinion = this.watchList.byName.get(name)?.opinion(now, quiet) ?? 'unknown';
      return [name, opinion] as const;
    });
    return Object.fromEntries(opinions);
  }

  /**
   * @returns Hashes of the names of the daemons that this one found unresponsive itself; `undefined` if it is not a
   * broadcaster.
   */
  get unresponsiveHashes(): readonly number[] | undefined {
    return this.duties.isTelling ? this.ownUnresponsiveHashes() : undefined;
  }

  /**
   * Takes the answer of a daemon that was asked about suspected daemons.
   *
   * @param opinions - its opinions.
   * @param now - monotonic milliseconds.
   */
  takeOpinions(opinions: LivenessOpinions, now: number): void {
    for (const [name, opinion] of Object.entries(opinions)) {
      const daemon = this.watchList.byName.get(name);
      const isOpen = daemon?.phase === 'doubted' || daemon?.phase === 'probed';
      if (daemon && isOpen) this.takeOpinion(daemon, opinion, now);
    }
  }

  /**
   * Takes the result of a probe.
   *
   * @param name - name of the probed daemon.
   * @param outcome - how the probe ended.
   * @param now - monotonic milliseconds.
   */
  recordProbeResult(name: string, outcome: ProbeOutcome, now: number): void {
    if (outcome === 'answered' || outcome === 'leaving') {
      this.recordMessage(name, now, outcome === 'leaving');
      return;
    }
    const daemon = this.watchList.byName.get(name);
    if (daemon?.isUnavailable) daemon.probeAt(now + REPROBE_MILLISECONDS);
    if (daemon?.phase === 'probed') this.concludeProbe(daemon, outcome === 'refused', now);
  }

  /**
   * Returns the actions that are due; to be called every {@link tickMilliseconds}.
   *
   * @param now - monotonic milliseconds.
   * @returns The actions, in the order in which to carry them out.
   */
  tick(now: number): readonly LivenessAction[] {
    this.discountPause(now);
    const cannotRead = this.duties.tellers.length > 0 && !this.options.canHear();
    const calls = cannotRead
      ? this.pullFromBroadcasters(now)
      : this.consult(this.watchList.suspectSilent(now, this.options.quietMilliseconds()), now);
    const changed = this.updateUnavailable(now);
    return [...calls, ...this.probesDue(now), ...changed, ...this.broadcast(now)];
  }

  /**
   * Calls the broadcasters one after the other. A daemon that cannot read messages cannot conclude anything from
   * silence.
   */
  private pullFromBroadcasters(now: number): Actions {
    if (now - this.pulledAt < PULL_MILLISECONDS) return [];
    this.pulledAt = now;
    this.nextBroadcaster = (this.nextBroadcaster + 1) % this.duties.tellers.length;
    return [{ kind: 'probe', daemon: this.duties.tellers[this.nextBroadcaster] ?? '' }];
  }

  private discountPause(now: number): void {
    const pause = now - this.tickedAt;
    this.tickedAt = now;
    const isPause = pause >= PAUSE_MILLISECONDS && Number.isFinite(pause);
    if (isPause) this.watchList.discountPause(pause, now);
  }

  /**
   * Asks about all suspected daemons in one question, because a power failure takes down a whole data centre at once.
   */
  private consult(doubted: readonly WatchedDaemon[], now: number): Actions {
    if (doubted.length === 0) return [];
    const daemons = doubted.map(({ name }) => name);
    const consulted = this.chooseHelpers();
    if (consulted.length > 0) return consulted.map((helper) => ({ kind: 'ask', helper, daemons }));
    // No other daemon is left to ask.
    for (const daemon of doubted) this.probeNow(daemon, now);
    return [];
  }

  private probeNow(daemon: WatchedDaemon, now: number): void {
    daemon.enter('probed', now);
    daemon.probeAt(now);
  }

  /** @returns Some daemons that watch the same ones as this daemon and that it does not suspect. */
  private chooseHelpers(): string[] {
    const { daemon: own, random } = this.options;
    const isCandidate = (name: string) => {
      if (name === own || this.isUnavailable(name)) return false;
      return (this.watchList.byName.get(name)?.phase ?? 'heard') === 'heard';
    };
    const candidates = this.duties.witnesses.filter(isCandidate);
    const chosen: string[] = [];
    while (chosen.length < CONSULTED_DAEMONS && candidates.length > 0) {
      const index = Math.floor(random() * candidates.length);
      chosen.push(...candidates.splice(index, 1));
    }
    return chosen;
  }

  private takeOpinion(daemon: WatchedDaemon, opinion: LivenessOpinion, now: number): void {
    if (typeof opinion === 'number') {
      daemon.recordHeard(now - opinion);
      if (daemon.silence(now) < this.options.quietMilliseconds()) daemon.enter('heard', now);
      return;
    }
    if (opinion !== 'silent') return;
    daemon.confirm();
    if (daemon.phase === 'doubted') this.probeNow(daemon, now);
  }

  private concludeProbe(daemon: WatchedDaemon, isRefused: boolean, now: number): void {
    const isStoreReachable = this.storeCalledAt > daemon.suspectedSince;
    // If the daemon's own host reports that nothing listens there, no second opinion is needed.
    if (!isRefused && !daemon.isConfirmed && !isStoreReachable) {
      // The fault may still be on this side; by now another daemon may be available to ask.
      daemon.enter('doubted', now);
      return;
    }
    this.unavailable.markStale();
    daemon.enter('silent', now);
    daemon.probeAt(now + REPROBE_MILLISECONDS);
  }

  private probesDue(now: number): Actions {
    const due = this.watchList.takeProbesDue(now);
    return due.map(({ name }) => ({ kind: 'probe', daemon: name }));
  }

  private updateUnavailable(now: number): Actions {
    const { listed } = this.duties;
    const others = listed.filter((name) => name !== this.options.daemon);
    const quietMilliseconds = this.options.quietMilliseconds();
    const watched = this.watchList.byName;
    const changed = this.unavailable.update({ listed: others, watched, quietMilliseconds }, now);
    if (changed.length > 0) this.broadcastAt = Number.NEGATIVE_INFINITY;
    return changed;
  }

  private broadcast(now: number): Actions {
    if (!this.duties.isTelling || now - this.broadcastAt < BROADCAST_MILLISECONDS) return [];
    this.broadcastAt = now;
    return [{ kind: 'tell', silent: this.ownUnresponsiveHashes() }];
  }

  /**
   * Leaves out what other daemons broadcast: two broadcasters that repeated each other's lists would keep them alive
   * for ever.
   */
  private ownUnresponsiveHashes(): readonly number[] {
    const own = this.watchList.all.filter(({ isUnavailable: isOut }) => isOut);
    return own.slice(0, MAXIMUM_BROADCAST_HASHES).map(({ name }) => livenessHash(name));
  }
}
