/**
 * Holds back the events with which a stream goes on at a runner that may have started again, until its software version is
 * known. Events of two versions do not fit together, and those that a caller has received cannot be taken back.
 */
import type { Clock } from '../time/Clock.js';
import type { RunnerAttempt } from './RunnerAttempt.js';

/** Interval between looks whether the version is known, in ms. */
const CHECK_MILLISECONDS = 20;

/** Longest time for which events are held back, in ms; a runner that can say whether it has started again has done so by then. */
const LONGEST_WAIT_MILLISECONDS = 500;

/** Holds back the answer of one attempt after the other. */
export class VersionWait {
  private readonly clock: Clock;

  private attempt: RunnerAttempt | undefined;

  private startedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param clock - clock of the request.
   */
  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Pauses an answer whose version is not known.
   *
   * @param attempt - attempt that has brought events.
   * @param retry - takes the events again after a while.
   * @returns Whether the events are held back; otherwise, they have waited for long enough.
   */
  hold(attempt: RunnerAttempt, retry: () => void): boolean {
    const now = this.clock.monotonicMilliseconds();
    if (attempt !== this.attempt) this.startedAt = now;
    this.attempt = attempt;
    if (now - this.startedAt >= LONGEST_WAIT_MILLISECONDS) return false;
    attempt.pause();
    setTimeout(() => {
      attempt.resume();
      retry();
    }, CHECK_MILLISECONDS);
    return true;
  }
}
