/**
 * Requests that this coordinator has given runners to and that their daemons do not count yet.
 *
 * What goes wrong without it: between a coordinator's answer and the asking daemon's next message the request is
 * counted nowhere. A burst of requests for one prompt within that time all go to the same runner; one would see a
 * runner with several times the mean just when a prompt becomes popular.
 */

/** A grant whose daemon never counts it: the answer came too late, or the daemon has died; in ms. */
const LIFE_MILLISECONDS = 1_000;

interface Grant {
  readonly number: number;
  readonly life: string;
  readonly at: number;
}

/** Grants by daemon, the oldest first. */
export class GrantLedger {
  private readonly byDaemon = new Map<string, Grant[]>();

  private readonly totals = new Map<string, number>();

  private lastNumber = 0;

  /**
   * @param daemon - that asked.
   * @param life - of the runner that it was told.
   * @param now - monotonic milliseconds.
   * @returns Names the grant in that daemon's news.
   */
  grant(daemon: string, life: string, now: number): number {
    this.lastNumber += 1;
    const grants = this.byDaemon.get(daemon) ?? [];
    grants.push({ number: this.lastNumber, life, at: now });
    this.byDaemon.set(daemon, grants);
    this.totals.set(life, this.of(life) + 1);
    return this.lastNumber;
  }

  /**
   * @param daemon - whose news count its requests from now on.
   * @param number - of the latest grant among them.
   */
  counted(daemon: string, number: number): void {
    this.drop(daemon, (grant) => grant.number <= number);
  }

  /**
   * Forgets grants that were never taken up.
   *
   * @param now - monotonic milliseconds.
   */
  expire(now: number): void {
    for (const daemon of this.byDaemon.keys()) {
      this.drop(daemon, ({ at }) => now - at > LIFE_MILLISECONDS);
    }
  }

  /**
   * @param life - of a runner.
   * @returns Requests given to it that nobody else counts.
   */
  of(life: string): number {
    return this.totals.get(life) ?? 0;
  }

  private drop(daemon: string, isOver: (grant: Grant) => boolean): void {
    const grants = this.byDaemon.get(daemon);
    if (!grants) return;
    const kept = grants.filter((grant) => !isOver(grant));
    for (const grant of grants) if (isOver(grant)) this.release(grant.life);
    if (kept.length > 0) this.byDaemon.set(daemon, kept);
    else this.byDaemon.delete(daemon);
  }

  private release(life: string): void {
    const total = this.of(life) - 1;
    if (total === 0) this.totals.delete(life);
    else this.totals.set(life, total);
  }
}
