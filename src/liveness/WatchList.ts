/**
 * The daemons that this one watches.
 */
import { WatchedDaemon } from './WatchedDaemon.js';

/** Without a useful answer others are asked after this time, in ms. */
const ASK_AGAIN_MILLISECONDS = 400;

/** Calls at once that are not urgent: a daemon that is cut off would call the whole fleet again and again. */
const CALLS_AT_ONCE = 8;

/** Whom to watch. */
export interface WatchAssignment {
  /** Names of all listed daemons. */
  readonly listed: readonly string[];
  /** Names of those to watch, without this daemon. */
  readonly watched: readonly string[];
}

/** Keeps them by name. */
export class WatchList {
  readonly byName = new Map<string, WatchedDaemon>();

  /** @returns All of them. */
  get all(): WatchedDaemon[] {
    return [...this.byName.values()];
  }

  /**
   * @param assignment - from now on.
   * @param now - monotonic milliseconds.
   */
  assign({ listed, watched }: WatchAssignment, now: number): void {
    const [isListed, isAssigned] = [new Set(listed), new Set(watched)];
    for (const { name, isOut } of this.all) {
      // A silent daemon loses its place to the next one, and would come back to it if its silence were forgotten.
      const isKept = isAssigned.has(name) || (isOut && isListed.has(name));
      if (!isKept) this.byName.delete(name);
    }
    for (const name of isAssigned) {
      if (!this.byName.has(name)) this.byName.set(name, new WatchedDaemon(name, now));
    }
  }

  /**
   * This daemon did not listen for a while: doubts begin anew, and verdicts are looked at again.
   *
   * @param milliseconds - for how long.
   * @param now - monotonic milliseconds.
   */
  forgive(milliseconds: number, now: number): void {
    for (const daemon of this.all) {
      daemon.forgive(milliseconds);
      if (daemon.isOut) daemon.probeAt(now);
      else daemon.enter('heard', now);
    }
  }

  /**
   * @param now - monotonic milliseconds.
   * @param quietMilliseconds - silence from which on something is wrong.
   * @returns Those that others have to be asked about, which are doubted from now on.
   */
  doubt(now: number, quietMilliseconds: number): readonly WatchedDaemon[] {
    const due = this.all.filter((daemon) => {
      if (daemon.phase === 'heard') return daemon.silence(now) >= quietMilliseconds;
      return daemon.phase === 'doubted' && now - daemon.phaseSince >= ASK_AGAIN_MILLISECONDS;
    });
    for (const daemon of due) daemon.enter('doubted', now);
    return due;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Those to call, whose calls are under way from now on.
   */
  takeProbesDue(now: number): readonly WatchedDaemon[] {
    const due = this.all.filter((daemon) => daemon.isProbeDue(now));
    const isUrgent = ({ phase, isConfirmed }: WatchedDaemon) => phase === 'probed' && isConfirmed;
    const others = due.filter((daemon) => !isUrgent(daemon)).slice(0, CALLS_AT_ONCE);
    const taken = [...due.filter(isUrgent), ...others];
    for (const daemon of taken) daemon.startProbe();
    return taken;
  }
}
