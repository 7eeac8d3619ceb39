/**
 * The runners that one request was sent to, and what is known of it there.
 */
import { CONNECT_TIMEOUT_MILLISECONDS } from './probeRunner.js';
import type { AttemptFailure } from './RunnerAttempt.js';

/** Failures after which the runner has certainly not run the request. */
const NOT_RUN: ReadonlySet<AttemptFailure> = new Set([
  'not_connected',
  'connect_timeout',
  'refused',
]);

/** Longest wait for one connection, in ms: a link that is free again is noticed within this time. */
const LONGEST_CONNECT_MILLISECONDS = 720;

/** Kept by one request. */
export class TriedRunners {
  /** Attempts that have failed and may have run. */
  mayHaveRun = 0;

  /** Attempts that reached no runner or were refused. */
  notRun = 0;

  /**
   * Whether the next attempt should not use a kept connection.
   *
   * What goes wrong otherwise: all connections of this daemon are reset at the same moment; the request is sent once
   * more on a kept one of which the reset has not been read yet, breaks again, and has no attempt left. One would see
   * streams cut in the middle though every runner is sound. A new connection costs a round trip.
   */
  needsNewConnection = false;

  /** Runners that were tried, each as often as it was. */
  count = 0;

  /** Lives that are not asked again. */
  private readonly asked = new Set<string>();

  /** Lives that did not accept a connection in time; asked again where nobody else is left. */
  private readonly unreached = new Set<string>();

  /** Connections that were not accepted in time since it may have run. */
  private timeoutsAfterRun = 0;

  /** @returns Lives of runners that the next attempt should not go to. */
  get excluded(): ReadonlySet<string> {
    return new Set([...this.asked, ...this.unreached]);
  }

  /**
   * A request that may have run cannot be refused any more, and it has to get through however long connections take:
   * while the daemon's link is suspected each one is waited for twice as long as the one before. With 90 ms for each,
   * six attempts were over after half a second, while links were full for one to two.
   *
   * @param isLinkSuspect - whether several runners accepted no connection.
   * @returns How long the next connection is waited for, in ms.
   */
  connectMilliseconds(isLinkSuspect: boolean): number {
    if (!isLinkSuspect) return CONNECT_TIMEOUT_MILLISECONDS;
    const patience = CONNECT_TIMEOUT_MILLISECONDS * 2 ** this.timeoutsAfterRun;
    return Math.min(LONGEST_CONNECT_MILLISECONDS, patience);
  }

  /**
   * @param life - of a runner that gets the request now.
   */
  sentTo(life: string): void {
    this.count += 1;
    this.asked.add(life);
  }

  /**
   * @param life - of a runner that gave no answer.
   * @param failure - how.
   */
  failedAt(life: string, failure: AttemptFailure): void {
    if (failure === 'broken') this.needsNewConnection = true;
    if (NOT_RUN.has(failure)) this.notRun += 1;
    else this.mayHaveRun += 1;
    if (failure !== 'connect_timeout') return;
    if (this.mayHaveRun > 0) this.timeoutsAfterRun += 1;
    this.asked.delete(life);
    this.unreached.add(life);
  }

  /**
   * Lets runners that did not accept a connection be asked again.
   *
   * @returns Whether there are any, and the request needs one of them.
   */
  forgiveUnreached(): boolean {
    const needsOne = this.mayHaveRun > 0 && this.unreached.size > 0;
    if (needsOne) this.unreached.clear();
    return needsOne;
  }
}
