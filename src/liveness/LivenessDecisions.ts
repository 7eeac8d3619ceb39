/**
 * Which daemons of the fleet are alive, by what they say and do not say: a failure detector.
 *
 * What goes wrong without it: the store keeps a daemon's entry until its lease ends, and for as long as the store itself
 * is away. One would see the directory name a daemon that has been off for 8 s, and callers whose connections hang until
 * they give up. Daemons hear from each other about once a second anyway, so that they know long before the lease ends.
 *
 * Silence alone proves nothing, since the fault may lie here: a daemon that was paused or cut off, or whose link is full,
 * hears nobody. So a daemon counts as dead only where another one has not heard it either and calls to it fail, or its
 * own host refuses them. Where nobody else is left to be asked, the store must have answered meanwhile as
 * quickly as a daemon would. Who can be sure of nothing takes everybody for alive.
 */
import { OutOfUse } from './OutOfUse.js';
import { livenessHash } from './ToldSilences.js';
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
 * Between ticks, in ms. All actions come from there: where many daemons die at once, the others are told of them in one
 * message.
 */
const TICK_MILLISECONDS = 100;

/** Of a daemon that is told who is silent, and watches those that tell only: most daemons of a large fleet; in ms. */
const TOLD_TICK_MILLISECONDS = 200;

/** A tick that comes later than this after the one before follows a pause of this process, in ms. */
const PAUSE_MILLISECONDS = 600;

/** Daemons that are asked about one that is not heard: one of them may be dead or cut off too. */
const HELPERS = 3;

/** Between calls to a silent daemon, which is heard by itself once it is back unless its messages get lost; in ms. */
const RECHECK_MILLISECONDS = 2_000;

/** A daemon that tells is heard at least this often; in ms. */
const TELL_MILLISECONDS = 1_000;

/**
 * Between calls to those that tell, of a daemon that cannot read their messages, in ms: it has started while the store
 * was away, and would name the dead for as long as that lasts.
 */
const PULL_MILLISECONDS = 500;

/** Silent daemons in one message, which has to fit into a datagram of 1,400 bytes. */
const MAXIMUM_TOLD = 320;

/** Options of {@link LivenessDecisions}. */
export interface LivenessDecisionsOptions {
  /** This daemon's name. */
  daemon: string;
  /** Silence from which on something is wrong, in ms: longer than any daemon is silent by itself. */
  quietMilliseconds: () => number;
  /** Whether this daemon can read others' messages: it knows the fleet's secret. */
  canHear: () => boolean;
  /** Gives numbers from 0 up to 1. */
  random: () => number;
}

type Actions = LivenessAction[];

/** The decisions of one daemon. */
export class LivenessDecisions {
  private readonly options: LivenessDecisionsOptions;

  private readonly watchList = new WatchList();

  private readonly outOfUse = new OutOfUse();

  private duties: LivenessDuties = {
    listed: [],
    watched: [],
    witnesses: [],
    tellers: [],
    isTelling: false,
  };

  private tickedAt = Number.NEGATIVE_INFINITY;

  private toldAt = Number.NEGATIVE_INFINITY;

  private pulledAt = Number.NEGATIVE_INFINITY;

  private nextTeller = 0;

  /** When the latest call to the store was made that was answered quickly, monotonic ms. */
  private storeCalledAt = Number.NEGATIVE_INFINITY;

  /**
   * @param options - who this daemon is, and how patient it is.
   */
  constructor(options: LivenessDecisionsOptions) {
    this.options = options;
  }

  /** @returns Until {@link tick} has to be called again, in ms. */
  get tickMilliseconds(): number {
    return this.duties.tellers.length > 0 ? TOLD_TICK_MILLISECONDS : TICK_MILLISECONDS;
  }

  /** @returns How often the set of daemons that are out of use has changed. */
  get changes(): number {
    return this.outOfUse.changes;
  }

  /**
   * @param name - of a listed daemon.
   * @returns Whether callers and other daemons should do without it.
   */
  isOut(name: string): boolean {
    return this.outOfUse.all.has(name);
  }

  /** @returns Names of the listed daemons that are out of use. */
  get outNames(): ReadonlySet<string> {
    return this.outOfUse.all;
  }

  /**
   * @param duties - from now on.
   * @param now - monotonic milliseconds.
   */
  assign(duties: LivenessDuties, now: number): void {
    this.duties = duties;
    this.outOfUse.touch();
    const { daemon: own } = this.options;
    const watched = duties.watched.filter((name) => name !== own);
    this.watchList.assign({ listed: duties.listed, watched }, now);
  }

  /**
   * A daemon has sent something, whatever it was.
   *
   * @param name - of the daemon.
   * @param now - monotonic milliseconds.
   * @param isLeaving - whether it has said that it stops; `undefined` where it has said nothing about that.
   */
  heard(name: string, now: number, isLeaving?: boolean): void {
    const daemon = this.watchList.byName.get(name);
    if (!daemon) return;
    daemon.hearAt(now);
    const staysLeaving = daemon.phase === 'leaving' && isLeaving === undefined;
    const phase = isLeaving || staysLeaving ? 'leaving' : 'heard';
    if (daemon.phase === phase) return;
    this.outOfUse.touch();
    daemon.enter(phase, now);
    if (phase === 'leaving') daemon.probeAt(now + RECHECK_MILLISECONDS);
  }

  /**
   * @param teller - a daemon that watches all others.
   * @param silent - hashes of those that it has found silent.
   * @param now - monotonic milliseconds.
   */
  takeTold(teller: string, silent: readonly number[], now: number): void {
    this.heard(teller, now);
    this.outOfUse.takeTold(teller, silent, now);
  }

  /**
   * @param calledAt - when a call to the store was made that was answered as quickly as a daemon would; monotonic ms.
   */
  storeAnswered(calledAt: number): void {
    this.storeCalledAt = calledAt;
  }

  /**
   * The others have got another message of this daemon.
   *
   * @param now - monotonic milliseconds.
   */
  toldOtherwise(now: number): void {
    if (this.outOfUse.all.size === 0) this.toldAt = now;
  }

  /**
   * @param names - of daemons.
   * @param now - monotonic milliseconds.
   * @returns What another daemon is told of them.
   */
  opinionsOn(names: readonly string[], now: number): LivenessOpinions {
    const quiet = this.options.quietMilliseconds();
    const opinions = names.map((name) => {
      const opinion = this.watchList.byName.get(name)?.opinion(now, quiet) ?? 'unknown';
      return [name, opinion] as const;
    });
    return Object.fromEntries(opinions);
  }

  /** @returns Hashes of those that this daemon has found silent itself; `undefined` where it tells nobody. */
  get toldSilences(): readonly number[] | undefined {
    return this.duties.isTelling ? this.ownSilences() : undefined;
  }

  /**
   * @param opinions - what a daemon that was asked has said.
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
   * @param name - of a daemon that was called.
   * @param outcome - how that ended.
   * @param now - monotonic milliseconds.
   */
  probeEnded(name: string, outcome: ProbeOutcome, now: number): void {
    if (outcome === 'answered' || outcome === 'leaving') {
      this.heard(name, now, outcome === 'leaving');
      return;
    }
    const daemon = this.watchList.byName.get(name);
    if (daemon?.isOut) daemon.probeAt(now + RECHECK_MILLISECONDS);
    if (daemon?.phase === 'probed') this.judge(daemon, outcome === 'refused', now);
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns What is due.
   */
  tick(now: number): readonly LivenessAction[] {
    this.forgivePause(now);
    const isDeaf = this.duties.tellers.length > 0 && !this.options.canHear();
    const calls = isDeaf
      ? this.pull(now)
      : this.askAbout(this.watchList.doubt(now, this.options.quietMilliseconds()), now);
    const changed = this.update(now);
    return [...calls, ...this.probesDue(now), ...changed, ...this.tell(now)];
  }

  /** Silence says nothing to a daemon that cannot hear: it asks those that tell, one after the other. */
  private pull(now: number): Actions {
    if (now - this.pulledAt < PULL_MILLISECONDS) return [];
    this.pulledAt = now;
    this.nextTeller = (this.nextTeller + 1) % this.duties.tellers.length;
    return [{ kind: 'probe', daemon: this.duties.tellers[this.nextTeller] ?? '' }];
  }

  private forgivePause(now: number): void {
    const pause = now - this.tickedAt;
    this.tickedAt = now;
    const isPause = pause >= PAUSE_MILLISECONDS && Number.isFinite(pause);
    if (isPause) this.watchList.forgive(pause, now);
  }

  /** One question names all of them: whoever loses power takes a whole data centre along. */
  private askAbout(doubted: readonly WatchedDaemon[], now: number): Actions {
    if (doubted.length === 0) return [];
    const daemons = doubted.map(({ name }) => name);
    const helpers = this.helpers();
    if (helpers.length > 0) return helpers.map((helper) => ({ kind: 'ask', helper, daemons }));
    // Nobody is left to be asked.
    for (const daemon of doubted) this.callNow(daemon, now);
    return [];
  }

  private callNow(daemon: WatchedDaemon, now: number): void {
    daemon.enter('probed', now);
    daemon.probeAt(now);
  }

  /** @returns Some of those that watch the same daemons and that this one does not doubt. */
  private helpers(): string[] {
    const { daemon: own, random } = this.options;
    const isCandidate = (name: string) => {
      if (name === own || this.isOut(name)) return false;
      return (this.watchList.byName.get(name)?.phase ?? 'heard') === 'heard';
    };
    const candidates = this.duties.witnesses.filter(isCandidate);
    const chosen: string[] = [];
    while (chosen.length < HELPERS && candidates.length > 0) {
      const index = Math.floor(random() * candidates.length);
      chosen.push(...candidates.splice(index, 1));
    }
    return chosen;
  }

  private takeOpinion(daemon: WatchedDaemon, opinion: LivenessOpinion, now: number): void {
    if (typeof opinion === 'number') {
      daemon.hearAt(now - opinion);
      if (daemon.silence(now) < this.options.quietMilliseconds()) daemon.enter('heard', now);
      return;
    }
    if (opinion !== 'silent') return;
    daemon.confirm();
    if (daemon.phase === 'doubted') this.callNow(daemon, now);
  }

  private judge(daemon: WatchedDaemon, isRefused: boolean, now: number): void {
    const isStoreNear = this.storeCalledAt > daemon.doubtedSince;
    // Its own host says that nothing listens there: that needs no second witness.
    if (!isRefused && !daemon.isConfirmed && !isStoreNear) {
      // Nothing says whether the fault lies here; somebody may be there to be asked by now.
      daemon.enter('doubted', now);
      return;
    }
    this.outOfUse.touch();
    daemon.enter('silent', now);
    daemon.probeAt(now + RECHECK_MILLISECONDS);
  }

  private probesDue(now: number): Actions {
    const due = this.watchList.takeProbesDue(now);
    return due.map(({ name }) => ({ kind: 'probe', daemon: name }));
  }

  private update(now: number): Actions {
    const { listed } = this.duties;
    const others = listed.filter((name) => name !== this.options.daemon);
    const quietMilliseconds = this.options.quietMilliseconds();
    const watched = this.watchList.byName;
    const changed = this.outOfUse.update({ listed: others, watched, quietMilliseconds }, now);
    if (changed.length > 0) this.toldAt = Number.NEGATIVE_INFINITY;
    return changed;
  }

  private tell(now: number): Actions {
    if (!this.duties.isTelling || now - this.toldAt < TELL_MILLISECONDS) return [];
    this.toldAt = now;
    return [{ kind: 'tell', silent: this.ownSilences() }];
  }

  /** What others have told is not told again: two daemons would keep each other's word alive for good. */
  private ownSilences(): readonly number[] {
    const own = this.watchList.all.filter(({ isOut }) => isOut);
    return own.slice(0, MAXIMUM_TOLD).map(({ name }) => livenessHash(name));
  }
}
