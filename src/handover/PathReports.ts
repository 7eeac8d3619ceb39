/**
 * Daemons that have said that they reach no runner.
 */

/** A report that is not repeated for this long is forgotten, in ms. */
const EXPIRY_MILLISECONDS = 2_500;

/** Keeps the latest report of each daemon that has no path. */
export class PathReports {
  private readonly reportedAt = new Map<string, number>();

  /**
   * @param daemon - name of a daemon.
   * @param hasNoPath - what it said of itself.
   * @param now - monotonic ms.
   */
  record(daemon: string, hasNoPath: boolean, now: number): void {
    if (hasNoPath) this.reportedAt.set(daemon, now);
    else this.reportedAt.delete(daemon);
  }

  /**
   * @param daemon - name of a daemon.
   * @param now - monotonic ms.
   * @returns Whether it said lately that it reaches no runner.
   */
  hasNoPath(daemon: string, now: number): boolean {
    const at = this.reportedAt.get(daemon);
    return at !== undefined && now - at < EXPIRY_MILLISECONDS;
  }
}
