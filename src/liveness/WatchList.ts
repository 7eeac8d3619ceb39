/**
 * The daemons whose messages this daemon watches for.
 */
import { WatchedDaemon } from './WatchedDaemon.js';

/**
 * If no useful answer about a suspected daemon has arrived after this time, others are asked again; in ms.
 */
const ASK_AGAIN_MILLISECONDS = 400;

/**
 * Maximum number of non-urgent probes per tick. Without a limit, a daemon that is cut off would call the whole fleet
 * again and again.
 */
const PROBES_AT_ONCE = 8;

/** The daemons to watch. */
export interface WatchAssignment {
  /** Names of all listed daemons. */
  readonly listed: readonly string[];
  /** Names of the daemons to watch, without this one. */
  readonly watched: readonly string[];
}

/** Holds the watched daemons by name. */
export class WatchList {
  readonly byName = new Map<string, WatchedDaemon>();

  /** @returns All watched daemons. */
  get all(): WatchedDaemon[] {
    return [...this.byName.values()];
  }

  /**
   * Replaces the daemons to watch.
   *
   * @param assignment - the new assignment.
   * @param now - monotonic milliseconds.
   */
  assign({ listed, watched }: WatchAssignment, now: number): void {
    const [isListed, isAssigned] = [new Set(listed), new Set(watched)];
    for (const { name, isUnavailable: isOut } of this.all) {
      // An unresponsive daemon loses its duty to the next one. If its state were forgotten here, it would get the
      // duty back at once.
      const isKept = isAssigned.has(name) || (isOut && isListed.has(name));
      if (!isKept) this.byName.delete(name);
    }
    for (const name of isAssigned) {
      if (!this.byName.has(name)) this.byName.set(name, new WatchedDaemon(name, now));
    }
  }

  /**
   * Makes up for a pause of this process, in which it received nothing: suspicions start afresh, and unavailable
   * daemons are probed again.
   *
   * @param milliseconds - length of the pause.
   * @param now - monotonic milliseconds.
   */
  discountPause(milliseconds: number, now: number): void {
    for (const daemon of this.all) {
      daemon.discountPause(milliseconds);
      if (daemon.isUnavailable) daemon.probeAt(now);
      else daemon.enter('heard', now);
    }
  }

  /**
   * Marks as suspected the daemons that have been silent for too long, and again those about which no useful answer
   * has arrived.
   *
   * @param now - monotonic milliseconds.
   * @param quietMilliseconds - silence after which a daemon is suspected, in ms.
   * @returns The daemons about which others have to be asked.
   */
  suspectSilent(now: number, quietMilliseconds: number): readonly WatchedDaemon[] {
    const due = this.all.filter((daemon) => {
      if (daemon.phase === 'heard') return daemon.silence(now) >= quietMilliseconds;
      return daemon.phase === 'doubted' && now - daemon.phaseSince >= ASK_AGAIN_MILLISECONDS;
    });
    for (const daemon of due) daemon.enter('doubted', now);
    return due;
  }

  /**
   * Takes the daemons whose probes are due and marks their probes as pending.
   *
   * @param now - monotonic milliseconds.
   * @returns The daemons to probe; those that another daemon has confirmed as silent come first and are not limited
   * in number.
   */
  takeProbesDue(now: number): readonly WatchedDaemon[] {
    const due = this.all.filter((daemon) => daemon.isProbeDue(now));
    const isUrgent = ({ phase, isConfirmed }: WatchedDaemon) => phase === 'probed' && isConfirmed;
    const others = due.filter((daemon) => !isUrgent(daemon)).slice(0, PROBES_AT_ONCE);
    const taken = [...due.filter(isUrgent), ...others];
    for (const daemon of taken) daemon.startProbe();
    return taken;
  }
}
