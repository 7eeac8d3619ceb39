/**
 * Determines whether faults excuse a request without a complete answer. Nothing else excuses it, and delays never do.
 */
import type { FaultHistory, FaultKind } from '../FaultHistory.js';
import type { LinkSide } from '../../standIns/link/linkTypes.js';
import type { RunRecords } from '../RunRecords.js';
import type { Call } from '../SoakCallers.js';
import type { SoakDaemon } from '../SoakDaemon.js';
import {
  CLOSING_SHARE,
  CONTACT_MILLISECONDS,
  CUTTING_SHARE,
  LATENESS_MILLISECONDS,
  MAXIMUM_ATTEMPTS,
  STOP_SECONDS,
  TIMEOUT_MILLISECONDS,
} from '../soakBounds.js';

/** Faults in which a link loses data. */
const LOSSES: readonly FaultKind[] = ['break', 'silence', 'cut'];

/** Faults that delay a daemon or its link. */
const DELAYS: readonly FaultKind[] = ['stall', 'pause', 'cut'];

const STOP_MILLISECONDS = STOP_SECONDS * 1_000;

/** Time by which timers may be early, in ms. */
const ROUNDING_MILLISECONDS = 5;

/** Options of {@link Excuses}. */
export interface ExcusesOptions {
  history: FaultHistory;
  runs: RunRecords;
  daemons: readonly SoakDaemon[];
}

/** Looks up the faults that were active during a request. */
export class Excuses {
  private readonly options: ExcusesOptions;

  /**
   * @param options - faults, runs and daemons.
   */
  constructor(options: ExcusesOptions) {
    this.options = options;
  }

  /**
   * @param call - a request whose connection ended, or stayed silent, before an answer began.
   * @returns Whether its daemon or the connection to it was lost, or the daemon no longer read requests, or was at the end
   * of a stop and had lost its path to the runners.
   */
  ofNoAnswer(call: Call): boolean {
    if (this.wasKilled(call) || this.touched(call, LOSSES, 'callers')) return true;
    return this.wasUnread(call) || (this.isPastStop(call) && this.hadNoWay(call));
  }

  private hadNoWay(call: Call): boolean {
    if (this.touched(call, LOSSES, 'runners')) return true;
    return this.during(call, ['path']).some(({ daemon }) => daemon === call.daemon);
  }

  /**
   * @param call - a request whose answer is truncated.
   * @param brokenAt - ids of the runners whose attempts broke off according to the daemons; a runner that crashes records
   * no request that it has not read yet.
   * @returns Whether faults excuse it.
   */
  ofCutAnswer(call: Call, brokenAt: readonly string[] = []): boolean {
    if (this.wasKilled(call) || this.touched(call, LOSSES, 'callers')) return true;
    if (this.isPastDeadline(call) || this.isPastStop(call)) return true;
    if (this.hadNoPathLeft(call)) return true;
    return this.breaksOf(call, brokenAt) >= (call.kind === 'chat' ? MAXIMUM_ATTEMPTS : 1);
  }

  /**
   * @param call - a request.
   * @returns Maximum time until its answer, in ms.
   */
  limitOf(call: Call): number {
    const delays = this.during(call, DELAYS).filter((fault) => this.concerns(call, fault.daemon));
    const sum = delays.reduce((total, { from, to }) => {
      const within = Math.min(to, call.endedAt) - Math.max(from, call.sentAt);
      return total + Math.max(0, within);
    }, 0);
    // A slow link delivers the data that it has queued after the fault.
    return TIMEOUT_MILLISECONDS + LATENESS_MILLISECONDS + 2 * sum;
  }

  private during({ sentAt, endedAt }: Call, kinds: readonly FaultKind[]) {
    return this.options.history.during(kinds, sentAt, endedAt);
  }

  private concerns(call: Call, daemon: number | undefined): boolean {
    return daemon === undefined || this.linksOf(call).has(daemon);
  }

  /**
   * A daemon that knows a runner from another daemon, because the store rejects it, uses an address of the other one's link.
   */
  private linksOf({ daemon, id }: Call): ReadonlySet<number> {
    const { runs, daemons } = this.options;
    const sources = runs.of(id).map(({ from }) => from);
    const borrowed = daemons.filter(({ link }) => sources.includes(link.ownHost));
    return new Set([daemon, ...borrowed.map(({ index }) => index)]);
  }

  private touched(call: Call, kinds: readonly FaultKind[], side: LinkSide): boolean {
    return this.during(call, kinds).some(
      ({ daemon, sides = [] }) => daemon === call.daemon && sides.includes(side),
    );
  }

  /** A kill lasts until the next process is ready; before that, nothing listens. */
  private wasKilled(call: Call): boolean {
    return this.during(call, ['kill']).some(({ daemon }) => daemon === call.daemon);
  }

  /** A stopping daemon closes its port and reads no further requests, so nothing may have run. */
  private wasUnread(call: Call): boolean {
    if (call.failure === undefined || this.options.runs.of(call.id).length > 0) return false;
    const closingAfter = STOP_MILLISECONDS * CLOSING_SHARE;
    return this.during(call, ['stop']).some(
      ({ daemon, from }) => daemon === call.daemon && call.endedAt >= from + closingAfter,
    );
  }

  /** If all daemons have lost their paths to the runners, none can resume a request. */
  private hadNoPathLeft(call: Call): boolean {
    const { daemons } = this.options;
    const cut = new Set(this.during(call, ['path']).map(({ daemon }) => daemon));
    return daemons.length > 0 && daemons.every(({ index }) => cut.has(index));
  }

  private isPastStop(call: Call): boolean {
    const cutAfter = STOP_MILLISECONDS * CUTTING_SHARE;
    return this.during(call, ['stop']).some(
      ({ daemon, from }) => daemon === call.daemon && call.endedAt >= from + cutAfter,
    );
  }

  private isPastDeadline({ sentAt, endedAt }: Call): boolean {
    return endedAt - sentAt >= TIMEOUT_MILLISECONDS - ROUNDING_MILLISECONDS;
  }

  /**
   * Number of times that a runner, or the path to it, broke a request off. A cut counts as all attempts, because it lasts
   * until none is left. A daemon that has lost its path may use connections that hang until it is connected again.
   */
  private breaksOf(call: Call, brokenAt: readonly string[]): number {
    const ran = this.options.runs.of(call.id).map(({ runner }) => runner);
    const runners = new Set([...ran, ...brokenAt]);
    const broken = this.during(call, ['runner']).filter(({ runner = '' }) => runners.has(runner));
    const links = this.during(call, LOSSES).filter(
      ({ daemon, sides = [] }) => this.concerns(call, daemon) && sides.includes('runners'),
    );
    const lost = this.during(call, ['path']).filter(
      ({ daemon, from }) =>
        this.concerns(call, daemon) && call.sentAt < from + CONTACT_MILLISECONDS,
    );
    // The kill of a daemon that has taken the request over; that of its own daemon is another excuse.
    const kills = this.during(call, ['kill']).filter(({ daemon }) => this.concerns(call, daemon));
    const cuts = links.filter(({ kind }) => kind === 'cut').length;
    const breaks = broken.length + links.length + lost.length + kills.length;
    return breaks + cuts * MAXIMUM_ATTEMPTS;
  }
}
