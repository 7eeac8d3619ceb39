/**
 * Daemons that reach no runner, from what they say of themselves, and from what broadcasters of a large fleet pass on.
 */
import { livenessHash } from '../liveness/UnresponsiveBroadcasts.js';

/** A report that is not repeated for this long is forgotten, in ms. */
const EXPIRY_MILLISECONDS = 2_500;

/** Maximum number of daemons in one broadcast, which has to fit into a datagram; others follow in the next ones. */
const MAXIMUM_BROADCAST = 150;

/** Maximum number of cached hashes; a fleet has fewer daemons at a time. */
const MAXIMUM_HASHES = 2_000;

/** Keeps the latest report of each daemon that has no path. */
export class PathReports {
  private readonly reportedAt = new Map<string, number>();

  /** When broadcasters last named a daemon, by the hash of its name; monotonic ms. */
  private readonly broadcastAt = new Map<number, number>();

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
    if (hasNoPath) this.reportedAt.set(daemon, now);
    else this.reportedAt.delete(daemon);
  }

  /**
   * Records what a broadcaster passes on.
   *
   * @param hashes - hashes of the names of daemons that reach no runner.
   * @param now - monotonic ms.
   */
  recordBroadcast(hashes: readonly number[], now: number): void {
    for (const hash of hashes) this.broadcastAt.set(hash, now);
  }

  /**
   * @param now - monotonic ms.
   * @returns Hashes of the names of daemons without a path, for a broadcast; a part of them if they are many.
   */
  nextBroadcast(now: number): number[] {
    const names = [...this.reportedAt.keys()].filter((name) => this.isFresh(name, now));
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
    if (this.isFresh(daemon, now)) return true;
    if (this.broadcastAt.size === 0) return false;
    const at = this.broadcastAt.get(this.hashOf(daemon));
    return at !== undefined && now - at < EXPIRY_MILLISECONDS;
  }

  private hashOf(daemon: string): number {
    const hash = this.hashes.get(daemon) ?? livenessHash(daemon);
    if (this.hashes.size >= MAXIMUM_HASHES) this.hashes.clear();
    this.hashes.set(daemon, hash);
    return hash;
  }

  private isFresh(daemon: string, now: number): boolean {
    const at = this.reportedAt.get(daemon);
    return at !== undefined && now - at < EXPIRY_MILLISECONDS;
  }
}
