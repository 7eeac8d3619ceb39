/**
 * Remembers for a while which software version began each stream.
 */
import { GenerationMap } from '../collections/GenerationMap.js';

/**
 * Maximum number of streams in each of the two generations: as many as a daemon hears of in half a minute when it
 * serves 3,000 a second. A record takes about 150 bytes.
 */
const MAXIMUM_STREAMS = 100_000;

/** Records in two generations; the older one is dropped as a whole. */
export class StreamRecords {
  private readonly versions = new GenerationMap<bigint, string>(MAXIMUM_STREAMS);

  /**
   * @param stream - key of a stream.
   * @returns The software version that began it, or `undefined` if it is not known.
   */
  versionOf(stream: bigint): string | undefined {
    return this.versions.get(stream);
  }

  /**
   * @param stream - key of a stream.
   * @param softwareVersion - version that began it.
   */
  record(stream: bigint, softwareVersion: string): void {
    this.versions.set(stream, softwareVersion);
  }

  /** @returns All records, the older ones first. */
  entries(): Generator<readonly [bigint, string]> {
    return this.versions.entries();
  }

  /**
   * Drops what is too old.
   *
   * @param now - monotonic ms.
   * @param retentionMilliseconds - how long each record has to be kept; it is dropped after twice that time.
   */
  expire(now: number, retentionMilliseconds: number): void {
    this.versions.expire(now, retentionMilliseconds);
  }
}
