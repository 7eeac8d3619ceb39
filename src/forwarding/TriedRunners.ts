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

/** Kept by one request. */
export class TriedRunners {
  /** Attempts that have failed and may have run. */
  mayHaveRun = 0;

  /** Attempts that reached no runner or were refused. */
  notRun = 0;

  /** Runners that were tried, each as often as it was. */
  count = 0;

  /** Lives that are not asked again. */
  private readonly asked = new Set<string>();

  /** Lives that did not accept a connection in time; asked again where nobody else is left. */
  private readonly unreached = new Set<string>();

  private connectTimeouts = 0;

  /** @returns Lives of runners that the next attempt should not go to. */
  get excluded(): ReadonlySet<string> {
    return new Set([...this.asked, ...this.unreached]);
  }

  /**
   * A request that may have run cannot be refused any more, and it has to get through however long connections take:
   * each one is waited for twice as long as the one before. With 90 ms for each of them six attempts were over after
   * half a second, while a link was full for one to two.
   *
   * @returns How long the next connection is waited for, in ms.
   */
  get connectMilliseconds(): number {
    if (this.mayHaveRun === 0) return CONNECT_TIMEOUT_MILLISECONDS;
    return CONNECT_TIMEOUT_MILLISECONDS * 2 ** this.connectTimeouts;
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
    if (NOT_RUN.has(failure)) this.notRun += 1;
    else this.mayHaveRun += 1;
    if (failure !== 'connect_timeout') return;
    this.connectTimeouts += 1;
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
