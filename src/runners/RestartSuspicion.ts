/**
 * Whether a runner may have started again under its id, before its new entry in the platform's list is known.
 *
 * Connections do not outlive an incarnation, so a connection that the runner's instance has closed is the first evidence.
 * Until the new entry arrives, or long enough to know that there is none, the software version of the runner is in doubt.
 */

/** Time within which the entry of a runner that has started again is known, in ms. */
const KNOWN_MILLISECONDS = 3_000;

/** Keeps when a connection was last lost. */
export class RestartSuspicion {
  private lostAt = Number.NEGATIVE_INFINITY;

  /**
   * @param now - monotonic ms.
   * @returns Whether the runner may have started again.
   */
  isSuspected(now: number): boolean {
    return now - this.lostAt < KNOWN_MILLISECONDS;
  }

  /**
   * Records that a connection was closed or refused by the runner's instance.
   *
   * @param now - monotonic ms.
   * @returns Whether the runner was not suspected before.
   */
  record(now: number): boolean {
    const isNew = !this.isSuspected(now);
    this.lostAt = now;
    return isNew;
  }
}
