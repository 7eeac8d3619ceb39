/**
 * Versions of the configuration that other daemons have told and that are not in force at this daemon yet.
 *
 * What fails without it: a daemon that gets a new configuration late rejects requests for good, with 404 or 401, which the
 * new configuration allows.
 */

/** How long a version is waited for, in ms; later, the daemons that had it may have lost it with a restored store. */
const LONGEST_MILLISECONDS = 10_000;

interface ToldVersion {
  readonly version: number;
  /** When another daemon first told it, monotonic ms. */
  readonly at: number;
}

/** Keeps the earliest and the newest of these versions. */
export class ToldVersions {
  private earliest: ToldVersion | undefined;

  private newest: ToldVersion | undefined;

  /**
   * @param version - version that another daemon has.
   * @param inForce - version in force here; 0 before the first one.
   * @param now - monotonic ms.
   */
  record(version: number, inForce: number, now: number): void {
    if (version <= Math.max(inForce, this.newest?.version ?? 0)) return;
    this.newest = { version, at: now };
    if (!this.earliest || this.earliest.version <= inForce) this.earliest = this.newest;
  }

  /**
   * @param inForce - version in force here.
   * @param now - monotonic ms.
   * @returns Whether another daemon has told a newer version lately.
   */
  isBehind(inForce: number, now: number): boolean {
    const missing = [this.earliest, this.newest].find((told) => told && told.version > inForce);
    return missing !== undefined && now - missing.at < LONGEST_MILLISECONDS;
  }
}
