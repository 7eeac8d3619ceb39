/**
 * Broadcasts of unresponsive daemons that other daemons have sent: in a large fleet a few daemons watch all others,
 * and broadcast what they find to the rest.
 */
import murmurhash from 'murmurhash';

/**
 * A broadcast that is not repeated for this long is forgotten, in ms. Its sender may have died, or this daemon may be
 * cut off; with an outdated list it would send callers to too few daemons.
 */
const EXPIRY_MILLISECONDS = 3_000;

interface Broadcast {
  readonly at: number;
  readonly hashes: ReadonlySet<number>;
}

/**
 * Hashes a daemon's name, so that three hundred daemons fit into one datagram.
 *
 * @param name - name of a daemon.
 * @returns The hash that stands for it in messages.
 */
export function livenessHash(name: string): number {
  return murmurhash.v3(name);
}

/** Keeps the latest broadcast of each broadcaster. */
export class UnresponsiveBroadcasts {
  private readonly byBroadcaster = new Map<string, Broadcast>();

  /**
   * Replaces the earlier broadcast of the same broadcaster.
   *
   * @param broadcaster - name of the broadcaster.
   * @param silent - hashes of the names of all daemons that it found unresponsive.
   * @param now - monotonic milliseconds.
   * @returns Whether the list differs from the earlier one.
   */
  take(broadcaster: string, silent: readonly number[], now: number): boolean {
    const before = this.byBroadcaster.get(broadcaster)?.hashes ?? new Set();
    this.byBroadcaster.set(broadcaster, { at: now, hashes: new Set(silent) });
    return before.size !== silent.length || silent.some((hash) => !before.has(hash));
  }

  /**
   * Forgets broadcasts that are too old.
   *
   * @param now - monotonic milliseconds.
   * @returns Whether any was forgotten.
   */
  expire(now: number): boolean {
    const before = this.byBroadcaster.size;
    for (const [broadcaster, { at }] of this.byBroadcaster) {
      if (now - at >= EXPIRY_MILLISECONDS) this.byBroadcaster.delete(broadcaster);
    }
    return this.byBroadcaster.size < before;
  }

  /**
   * @param name - name of a daemon.
   * @returns Whether any broadcaster found it unresponsive.
   */
  has(name: string): boolean {
    if (this.isEmpty) return false;
    const hash = livenessHash(name);
    return [...this.byBroadcaster.values()].some(({ hashes }) => hashes.has(hash));
  }

  /** Whether no broadcast names any daemon. */
  private get isEmpty(): boolean {
    return [...this.byBroadcaster.values()].every(({ hashes }) => hashes.size === 0);
  }
}
