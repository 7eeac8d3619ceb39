/**
 * Daemons that reach no runner, from what they say of themselves, and from what broadcasters of a large fleet pass on.
 */
import { livenessHash } from '../liveness/UnresponsiveBroadcasts.js';

/** A report that is not repeated for this long is forgotten, in ms. */
const EXPIRY_MILLISECONDS = 2_500;

/** A path counts as lost for good after this time, in ms; a saturated link is back sooner. */
const LASTING_MILLISECONDS = 1_000;

/** Maximum number of daemons in one broadcast, which has to fit into a datagram; others follow in the next ones. */
const MAXIMUM_BROADCAST = 150;

/** Maximum number of cached hashes; a fleet has fewer daemons at a time. */
const MAXIMUM_HASHES = 2_000;

interface Report {
  /** Time of the first report in a row, and of the last one; monotonic ms. */
  readonly since: number;
  readonly at: number;
}

function isFresh(report: Report | undefined, now: number): report is Report {
  return report !== undefined && now - report.at < EXPIRY_MILLISECONDS;
}

function repeat(before: Report | undefined, now: number): Report {
  return { since: isFresh(before, now) ? before.since : now, at: now };
}

/** Keeps the latest report of each daemon that has no path. */
export class PathReports {
  private readonly reports = new Map<string, Report>();

  /** What broadcasters pass on, by the hash of the daemon's name. */
  private readonly broadcasts = new Map<number, Report>();

  /** Hashes of names, which are looked up for each request that is handed over. */
  private readonly hashes = new Map<string, number>();

  /** Where the next broadcast begins in the list of daemons without a path. */
  private position = 0;

  /**
   * Records what a daemon says of itself.
   *
   * @param daemon - name of the daemon.
   * @param hasNoPath - whether it reaches no runner.
   * @param now - monotonic ms.
   */
  record(daemon: string, hasNoPath: boolean, now: number): void {
    if (hasNoPath) this.reports.set(daemon, repeat(this.reports.get(daemon), now));
    else this.reports.delete(daemon);
  }

  /**
   * Records what a broadcaster passes on.
   *
   * @param hashes - hashes of the names of daemons that reach no runner.
   * @param now - monotonic ms.
   */
  recordBroadcast(hashes: readonly number[], now: number): void {
    for (const hash of hashes) {
      this.broadcasts.set(hash, repeat(this.broadcasts.get(hash), now));
    }
  }

  /**
   * @param now - monotonic ms.
   * @returns Hashes of the names of daemons without a path, for a broadcast; a part of them if they are many.
   */
  nextBroadcast(now: number): number[] {
    const names = [...this.reports.keys()].filter((name) => isFresh(this.reports.get(name), now));
    const count = Math.min(names.length, MAXIMUM_BROADCAST);
    const from = this.position;
    this.position += count;
    return Array.from({ length: count }, (_, index) =>
      livenessHash(names[(from + index) % names.length] as string),
    );
  }

  /**
   * @param daemon - name of a daemon.
   * @param now - monotonic ms.
   * @returns Whether it said lately that it reaches no runner, here or to a broadcaster.
   */
  hasNoPath(daemon: string, now: number): boolean {
    return this.reportOf(daemon, now) !== undefined;
  }

  /**
   * @param daemon - name of a daemon.
   * @param now - monotonic ms.
   * @returns Whether it has been saying so for a while.
   */
  isPathLost(daemon: string, now: number): boolean {
    const report = this.reportOf(daemon, now);
    return report !== undefined && now - report.since >= LASTING_MILLISECONDS;
  }

  private reportOf(daemon: string, now: number): Report | undefined {
    const own = this.reports.get(daemon);
    if (isFresh(own, now)) return own;
    if (this.broadcasts.size === 0) return undefined;
    const passedOn = this.broadcasts.get(this.hashOf(daemon));
    return isFresh(passedOn, now) ? passedOn : undefined;
  }

  private hashOf(daemon: string): number {
    const hash = this.hashes.get(daemon) ?? livenessHash(daemon);
    if (this.hashes.size >= MAXIMUM_HASHES) this.hashes.clear();
    this.hashes.set(daemon, hash);
    return hash;
  }
}
