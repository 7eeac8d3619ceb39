/**
 * Remembers for a while which software version began each stream.
 */

/**
 * Maximum number of streams in each of the two generations: as many as a daemon hears of in half a minute when it
 * serves 3,000 a second. A record takes about 150 bytes.
 */
const MAXIMUM_STREAMS = 100_000;

/** Records in two generations; the older one is dropped as a whole. */
export class StreamRecords {
  private recent = new Map<bigint, string>();

  private older: ReadonlyMap<bigint, string> = new Map();

  private turnedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param stream - key of a stream.
   * @returns The software version that began it, or `undefined` if it is not known.
   */
  versionOf(stream: bigint): string | undefined {
    return this.recent.get(stream) ?? this.older.get(stream);
  }

  /**
   * @param stream - key of a stream.
   * @param softwareVersion - version that began it.
   */
  record(stream: bigint, softwareVersion: string): void {
    if (this.recent.size >= MAXIMUM_STREAMS) this.turn();
    this.recent.set(stream, softwareVersion);
  }

  /** @returns All records, the older ones first. */
  *entries(): Generator<readonly [bigint, string]> {
    yield* this.older;
    yield* this.recent;
  }

  /**
   * Drops what is too old.
   *
   * @param now - monotonic ms.
   * @param retentionMilliseconds - how long each record has to be kept; it is dropped after twice that time.
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
