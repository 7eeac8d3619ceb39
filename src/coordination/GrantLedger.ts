/**
 * Requests that this coordinator has assigned to runners and that the asking daemons have not reported yet.
 *
 * What goes wrong without it: between a coordinator's answer and the asking daemon's next load report, a request is
 * counted nowhere. A burst of requests for one prompt within that time all goes to the same runner, which then has
 * several times the mean load just when a prompt becomes popular.
 */

/**
 * Lifetime of a grant, in ms. It covers a grant that its daemon never reports because the answer came too late or the
 * daemon has died.
 */
const GRANT_LIFETIME_MILLISECONDS = 1_000;

interface Grant {
  readonly number: number;
  readonly life: string;
  readonly at: number;
}

/** Keeps the outstanding grants of each daemon, the oldest first, and their number per runner. */
export class GrantLedger {
  private readonly byDaemon = new Map<string, Grant[]>();

  private readonly outstanding = new Map<string, number>();

  private lastNumber = 0;

  /**
   * Records that a daemon was given a runner.
   *
   * @param daemon - name of the asking daemon.
   * @param life - incarnation of the chosen runner.
   * @param now - current time, monotonic ms.
   * @returns The grant's number, which the daemon's load reports refer to.
   */
  grant(daemon: string, life: string, now: number): number {
    this.lastNumber += 1;
    const grants = this.byDaemon.get(daemon) ?? [];
    grants.push({ number: this.lastNumber, life, at: now });
    this.byDaemon.set(daemon, grants);
    this.outstanding.set(life, this.outstandingOf(life) + 1);
    return this.lastNumber;
  }

  /**
   * Drops the grants that a daemon's load reports include from now on.
   *
   * @param daemon - name of the reporting daemon.
   * @param number - its latest grant that the load report includes.
   */
  acknowledge(daemon: string, number: number): void {
    this.drop(daemon, (grant) => grant.number <= number);
  }

  /**
   * Drops grants that their daemons never reported.
   *
   * @param now - current time, monotonic ms.
   */
  expire(now: number): void {
    for (const daemon of this.byDaemon.keys()) {
      this.drop(daemon, ({ at }) => now - at > GRANT_LIFETIME_MILLISECONDS);
    }
  }

  /**
   * Counts the outstanding grants of a runner.
   *
   * @param life - the runner's incarnation.
   * @returns Requests assigned to the runner that no load report includes yet.
   */
  outstandingOf(life: string): number {
    return this.outstanding.get(life) ?? 0;
  }

  private drop(daemon: string, isEnded: (grant: Grant) => boolean): void {
    const grants = this.byDaemon.get(daemon);
    if (!grants) return;
    const kept = grants.filter((grant) => !isEnded(grant));
    for (const grant of grants) if (isEnded(grant)) this.release(grant.life);
    if (kept.length > 0) this.byDaemon.set(daemon, kept);
    else this.byDaemon.delete(daemon);
  }

  private release(life: string): void {
    const total = this.outstandingOf(life) - 1;
    if (total === 0) this.outstanding.delete(life);
    else this.outstanding.set(life, total);
  }
}
