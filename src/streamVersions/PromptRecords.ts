/**
 * Remembers for a while at which software versions runners have prompts cached. The last part of a prompt belongs to one
 * request or its session, so it is cached where the stream of that request has begun.
 */

/** Maximum number of prompts in each of the two generations. */
const MAXIMUM_PROMPTS = 100_000;

const NONE: readonly string[] = [];

/** Records in two generations; the older one is dropped as a whole. */
export class PromptRecords {
  private recent = new Map<bigint, readonly string[]>();

  private older: ReadonlyMap<bigint, readonly string[]> = new Map();

  private turnedAt = Number.NEGATIVE_INFINITY;

  /** @returns Number of prompts, some of them counted twice. */
  get size(): number {
    return this.recent.size + this.older.size;
  }

  /**
   * @param prompt - key of a prompt, see `promptKeyOf`.
   * @returns All versions whose runners have it cached, as far as is known.
   */
  versionsOf(prompt: bigint): readonly string[] {
    return [...new Set([...this.inRecent(prompt), ...(this.older.get(prompt) ?? NONE)])];
  }

  /**
   * @param prompt - key of a prompt.
   * @param softwareVersion - version of a runner that has it cached.
   */
  record(prompt: bigint, softwareVersion: string): void {
    const known = this.inRecent(prompt);
    if (known.includes(softwareVersion)) return;
    if (this.recent.size >= MAXIMUM_PROMPTS) this.turn();
    this.recent.set(prompt, [...known, softwareVersion]);
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

  private inRecent(prompt: bigint): readonly string[] {
    return this.recent.get(prompt) ?? NONE;
  }

  private turn(): void {
    this.older = this.recent;
    this.recent = new Map();
  }
}
