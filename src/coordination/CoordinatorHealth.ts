/**
 * Failure detection for coordinators: stops asking a coordinator that does not answer, with exponential backoff.
 *
 * What goes wrong without it: a coordinator crashes or freezes, and each request waits for its answer in vain until
 * the failure detector drops it, some two seconds later; a quarter of the requests would have their first answer
 * delayed by that wait. Meanwhile the next coordinator in rendezvous order is asked instead.
 */

/**
 * Consecutive timeouts before a coordinator is skipped. One may be due to a lost datagram or to a short pause of the
 * coordinator's process.
 */
const TIMEOUTS_UNTIL_SKIPPED = 2;

/** First backoff, in ms; it doubles with each further timeout. */
const FIRST_BACKOFF_MILLISECONDS = 500;

/**
 * Longest backoff, in ms. By then the failure detector has removed a dead coordinator, and one that has recovered is
 * asked again soon.
 */
const LONGEST_BACKOFF_MILLISECONDS = 3_000;

interface TimeoutRecord {
  readonly timeouts: number;
  /** When the last timeout was recorded, monotonic ms. */
  readonly lastTimeoutAt: number;
  /** The coordinator is skipped until then, monotonic ms. */
  readonly skippedUntil: number;
}

/** Keeps the consecutive timeouts of each coordinator and decides whether it is asked. */
export class CoordinatorHealth {
  private readonly timeouts = new Map<string, TimeoutRecord>();

  /**
   * Tells whether a coordinator should be asked now.
   *
   * @param name - the coordinator's name.
   * @param now - current time, monotonic ms.
   * @returns Whether it is not in backoff.
   */
  isUsable(name: string, now: number): boolean {
    return now >= (this.timeouts.get(name)?.skippedUntil ?? 0);
  }

  /**
   * Clears the timeouts of a coordinator that has answered, in time or late.
   *
   * @param name - the coordinator's name.
   */
  recordAnswer(name: string): void {
    this.timeouts.delete(name);
  }

  /**
   * Records that a coordinator did not answer in time. Questions sent before the last recorded timeout do not count
   * again: a pause of this process or a congested link delays the answers to all of them, and would otherwise put
   * every coordinator into backoff, one after the other.
   *
   * @param name - the coordinator's name.
   * @param askedAt - when the question was sent, monotonic ms.
   * @param now - current time, monotonic ms.
   * @returns Whether the coordinator is in backoff from now on.
   */
  recordTimeout(name: string, askedAt: number, now: number): boolean {
    const previous = this.timeouts.get(name);
    if (previous && askedAt < previous.lastTimeoutAt) return false;
    const timeouts = (previous?.timeouts ?? 0) + 1;
    const backoff = FIRST_BACKOFF_MILLISECONDS * 2 ** (timeouts - TIMEOUTS_UNTIL_SKIPPED);
    const isSkipped = timeouts >= TIMEOUTS_UNTIL_SKIPPED;
    const skippedUntil = isSkipped ? now + Math.min(LONGEST_BACKOFF_MILLISECONDS, backoff) : 0;
    this.timeouts.set(name, { timeouts, lastTimeoutAt: now, skippedUntil });
    return isSkipped;
  }
}
