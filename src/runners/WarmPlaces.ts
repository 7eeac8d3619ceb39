/**
 * Remembers on which runners a shared part of prompts is cached, as far as this daemon has sent it there.
 *
 * What goes wrong without it: a runner that joins takes over its share of the keys by hashing, and runners
 * read again what others still hold. One would see prompts being read again after each scale-out. A key stays
 * where it went as long as that runner is there and has room; hashing decides for new keys only, so that all
 * daemons begin with the same choice.
 */

/** Keys remembered; more than the shared prompts of a large site. The one unused for longest is forgotten. */
const MAXIMUM_KEYS = 20_000;

/** Places of one key: its first, and those that took over when that was full or away. */
const MAXIMUM_PLACES = 12;

/** A key with its places. */
export interface WarmPlace {
  readonly key: string;
  /** Lives of runners, the first place first. */
  readonly lives: readonly string[];
}

/** Least recently used keys go first. */
export class WarmPlaces {
  private readonly places = new Map<string, readonly string[]>();

  /** Keys that this daemon has used, with how often; as long as the key is remembered. */
  private readonly uses = new Map<string, number>();

  /**
   * @param key - the shared parts of a prompt.
   * @returns Lives of runners, the first place first.
   */
  of(key: string): readonly string[] {
    return this.places.get(key) ?? [];
  }

  /**
   * @param key - the shared parts of a prompt.
   * @param life - where a request with them was sent.
   * @returns Whether that place was not known before.
   */
  remember(key: string, life: string): boolean {
    const known = this.places.get(key) ?? [];
    const isNew = !known.includes(life) && known.length < MAXIMUM_PLACES;
    this.places.delete(key);
    this.places.set(key, isNew ? [...known, life] : known);
    if (this.places.size > MAXIMUM_KEYS) {
      const [oldest] = this.places.keys();
      if (oldest !== undefined) this.forget(oldest);
    }
    return isNew;
  }

  /**
   * @param key - the shared parts of a prompt that this daemon has chosen a runner for.
   */
  countUse(key: string): void {
    this.uses.set(key, this.usesOf(key) + 1);
  }

  /**
   * @param key - the shared parts of a prompt.
   * @returns How often this daemon has chosen a runner for it.
   */
  usesOf(key: string): number {
    return this.uses.get(key) ?? 0;
  }

  /**
   * Takes what another daemon tells; what this daemon found itself stays first.
   *
   * @param key - the shared parts of a prompt.
   * @param life - where another daemon sent a request with them.
   */
  learn(key: string, life: string): void {
    this.remember(key, life);
  }

  /**
   * @param key - the shared parts of a prompt.
   * @param isListed - whether a runner is still there.
   */
  prune(key: string, isListed: (life: string) => boolean): void {
    const known = this.places.get(key);
    if (!known || known.every(isListed)) return;
    this.places.set(key, known.filter(isListed));
  }

  /**
   * Forgets what a runner has cached. An entry that comes back under the same id may be of a runner that has started
   * again; on platforms that do not tell its start, chats would go on to a runner that holds nothing of them.
   *
   * @param life - of a runner that is gone.
   */
  forgetRunner(life: string): void {
    for (const [key, lives] of this.places) {
      if (lives.includes(life)) {
        this.places.set(
          key,
          lives.filter((one) => one !== life),
        );
      }
    }
  }

  /**
   * @param maximumKeys - the most recently used ones are given.
   * @returns Keys with their places, as they can be stored.
   */
  export(maximumKeys: number): WarmPlace[] {
    const all = [...this.places].slice(-maximumKeys);
    return all.map(([key, lives]) => ({ key, lives }));
  }

  /**
   * Takes what was stored, for keys that have no place here yet: a daemon that has just started knows none.
   *
   * @param stored - from {@link export}, of any daemon.
   */
  import(stored: readonly WarmPlace[]): void {
    for (const { key, lives } of stored) {
      if (!this.places.has(key)) for (const id of lives) this.learn(key, id);
    }
  }

  private forget(key: string): void {
    this.places.delete(key);
    this.uses.delete(key);
  }
}
