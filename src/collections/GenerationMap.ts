/**
 * A map that drops its older entries all at once, so that no entry needs a time of its own.
 */

/** Keeps entries in two generations. */
export class GenerationMap<Key, Value> {
  private recent = new Map<Key, Value>();

  private older: ReadonlyMap<Key, Value> = new Map();

  private turnedAt = Number.NEGATIVE_INFINITY;

  private readonly maximum: number;

  /**
   * @param maximum - maximum number of entries in each of the two generations; the older one is dropped sooner above it.
   */
  constructor(maximum: number) {
    this.maximum = maximum;
  }

  /** @returns Number of entries; one that was set in both generations is counted twice. */
  get size(): number {
    return this.recent.size + this.older.size;
  }

  /**
   * @param key - key of an entry.
   * @returns Its value as it was set last, or `undefined`.
   */
  get(key: Key): Value | undefined {
    return this.recent.get(key) ?? this.older.get(key);
  }

  /**
   * @param key - key of an entry.
   * @returns Its values in the recent and in the older generation, where it has been set.
   */
  generationsOf(key: Key): readonly [Value | undefined, Value | undefined] {
    return [this.recent.get(key), this.older.get(key)];
  }

  /**
   * @param key - key of the entry.
   * @param value - its value.
   */
  set(key: Key, value: Value): void {
    if (this.recent.size >= this.maximum) this.turn();
    this.recent.set(key, value);
  }

  /** @returns All entries, the older ones first. */
  *entries(): Generator<readonly [Key, Value]> {
    yield* this.older;
    yield* this.recent;
  }

  /**
   * Drops what is too old.
   *
   * @param now - monotonic ms.
   * @param retentionMilliseconds - how long each entry has to be kept; it is dropped after twice that time.
   */
  expire(now: number, retentionMilliseconds: number): void {
    if (now - this.turnedAt < retentionMilliseconds) return;
    this.turnedAt = now;
    this.turn();
  }

  private turn(): void {
    this.older = this.recent;
    this.recent = new Map();
  }
}
