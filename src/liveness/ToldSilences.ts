/**
 * Which daemons others have found silent: in a large fleet a few watch all, and tell everybody.
 */
import murmurhash from 'murmurhash';

/**
 * A word that is not repeated for this long is forgotten, in ms: who told it may have died, or this daemon may be cut
 * off, and would send callers to too few.
 */
const LIFE_MILLISECONDS = 3_000;

interface Told {
  readonly at: number;
  readonly hashes: ReadonlySet<number>;
}

/**
 * @param name - of a daemon.
 * @returns Stands for it in messages: three hundred daemons fit into one datagram.
 */
export function livenessHash(name: string): number {
  return murmurhash.v3(name);
}

/** Keeps the latest word of each daemon that tells. */
export class ToldSilences {
  private readonly byTeller = new Map<string, Told>();

  /**
   * @param teller - name of the daemon that tells.
   * @param silent - hashes of all that it has found silent; those of its earlier words are good no more.
   * @param now - monotonic milliseconds.
   * @returns Whether this differs from its word before.
   */
  take(teller: string, silent: readonly number[], now: number): boolean {
    const before = this.byTeller.get(teller)?.hashes ?? new Set();
    this.byTeller.set(teller, { at: now, hashes: new Set(silent) });
    return before.size !== silent.length || silent.some((hash) => !before.has(hash));
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Whether a word has been forgotten.
   */
  expire(now: number): boolean {
    const before = this.byTeller.size;
    for (const [teller, { at }] of this.byTeller) {
      if (now - at >= LIFE_MILLISECONDS) this.byTeller.delete(teller);
    }
    return this.byTeller.size < before;
  }

  /**
   * @param name - of a daemon.
   * @returns Whether somebody has found it silent.
   */
  has(name: string): boolean {
    if (this.isEmpty) return false;
    const hash = livenessHash(name);
    return [...this.byTeller.values()].some(({ hashes }) => hashes.has(hash));
  }

  /** Whether nobody has found anybody silent. */
  private get isEmpty(): boolean {
    return [...this.byTeller.values()].every(({ hashes }) => hashes.size === 0);
  }
}
