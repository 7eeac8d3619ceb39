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

/** Least recently used keys go first. */
export class WarmPlaces {
  private readonly places = new Map<string, readonly string[]>();

  /**
   * @param key - the shared parts of a prompt.
   * @returns Ids of runners, the first place first.
   */
  of(key: string): readonly string[] {
    return this.places.get(key) ?? [];
  }

  /**
   * @param key - the shared parts of a prompt.
   * @param runnerId - where a request with them was sent.
   * @returns Whether that place was not known before.
   */
  remember(key: string, runnerId: string): boolean {
    const known = this.places.get(key) ?? [];
    const isNew = !known.includes(runnerId) && known.length < MAXIMUM_PLACES;
    this.places.delete(key);
    this.places.set(key, isNew ? [...known, runnerId] : known);
    if (this.places.size > MAXIMUM_KEYS) {
      const [oldest] = this.places.keys();
      if (oldest !== undefined) this.places.delete(oldest);
    }
    return isNew;
  }

  /**
   * Takes what another daemon tells; what this daemon found itself stays first.
   *
   * @param key - the shared parts of a prompt.
   * @param runnerId - where another daemon sent a request with them.
   */
  learn(key: string, runnerId: string): void {
    this.remember(key, runnerId);
  }

  /**
   * @param key - the shared parts of a prompt.
   * @param isListed - whether a runner is still there.
   */
  prune(key: string, isListed: (runnerId: string) => boolean): void {
    const known = this.places.get(key);
    if (!known || known.every(isListed)) return;
    this.places.set(key, known.filter(isListed));
  }
}
