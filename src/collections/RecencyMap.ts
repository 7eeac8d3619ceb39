/**
 * A map in order of last use that knows how much memory its entries take.
 */

/** Options of a {@link RecencyMap}. */
export interface RecencyMapOptions<Value> {
  /** Estimated memory of an entry, in bytes. */
  bytesOf: (key: string, value: Value) => number;
}

/** Entries by key, the least recently used one first. */
export class RecencyMap<Value> {
  /** Estimated memory of all entries, in bytes. */
  bytes = 0;

  private readonly entries = new Map<string, Value>();

  private readonly bytesOf: (key: string, value: Value) => number;

  /**
   * @param options - estimates the memory of an entry.
   */
  constructor({ bytesOf }: RecencyMapOptions<Value>) {
    this.bytesOf = bytesOf;
  }

  /** @returns Number of entries. */
  get size(): number {
    return this.entries.size;
  }

  /** @returns The least recently used key; `undefined` if there is none. */
  get oldestKey(): string | undefined {
    const [oldest] = this.entries.keys();
    return oldest;
  }

  /**
   * @param key - key of an entry.
   * @returns Its value, `undefined` if there is none.
   */
  get(key: string): Value | undefined {
    return this.entries.get(key);
  }

  /**
   * Replaces a value; a new key counts as used.
   *
   * @param key - key of the entry.
   * @param value - its new value.
   */
  set(key: string, value: Value): void {
    const known = this.entries.get(key);
    if (known !== undefined) this.bytes -= this.bytesOf(key, known);
    this.entries.set(key, value);
    this.bytes += this.bytesOf(key, value);
  }

  /**
   * @param key - key of the entry to remove, if there is one.
   */
  delete(key: string): void {
    const known = this.entries.get(key);
    if (known === undefined) return;
    this.bytes -= this.bytesOf(key, known);
    this.entries.delete(key);
  }

  /** @returns All entries, the least recently used one first. */
  toArray(): [string, Value][] {
    return [...this.entries];
  }
}
