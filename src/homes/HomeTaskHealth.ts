/**
 * Pauses calls to homes that failed several times in a row (a circuit breaker for each home).
 */

/** Options of a {@link HomeTaskHealth}. */
export interface HomeTaskHealthOptions {
  pauseAfterFailuresMilliseconds: number;
}

interface Health {
  failures: number;
  pausedUntil: number;
}

/** Failed calls in a row after which a home is not called for a while. */
const FAILURES_BEFORE_PAUSE = 3;

/** Counts consecutive failures of each home and says which homes are paused. */
export class HomeTaskHealth {
  private readonly pauseMilliseconds: number;

  private readonly homes = new Map<string, Health>();

  /**
   * @param options - the length of a pause.
   */
  constructor({ pauseAfterFailuresMilliseconds }: HomeTaskHealthOptions) {
    this.pauseMilliseconds = pauseAfterFailuresMilliseconds;
  }

  /**
   * Says whether calls to a home are paused. Without the pause every request of the chats of a dead home would
   * wait for the whole timeout.
   *
   * @param now - monotonic milliseconds.
   * @param daemonId - a home.
   * @returns Whether it is left alone for now.
   */
  isPaused(now: number, daemonId: string): boolean {
    return (this.homes.get(daemonId)?.pausedUntil ?? 0) > now;
  }

  /**
   * Records a successful call, which resets the count of failures.
   *
   * @param daemonId - the home's name.
   */
  recordSuccess(daemonId: string): void {
    this.homes.delete(daemonId);
  }

  /**
   * Records a failed call.
   *
   * @param now - monotonic milliseconds.
   * @param daemonId - the home's name.
   * @returns Whether a pause begins with this failure.
   */
  recordFailure(now: number, daemonId: string): boolean {
    const health = this.homes.get(daemonId) ?? { failures: 0, pausedUntil: 0 };
    health.failures += 1;
    this.homes.set(daemonId, health);
    if (health.failures < FAILURES_BEFORE_PAUSE) return false;
    health.failures = 0;
    health.pausedUntil = now + this.pauseMilliseconds;
    return true;
  }
}
