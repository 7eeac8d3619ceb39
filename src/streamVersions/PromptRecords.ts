/**
 * Remembers for a while at which software versions runners have prompts cached. The last part of a prompt belongs to one
 * request or its session, so it is cached where the stream of that request has begun.
 */
import { GenerationMap } from '../collections/GenerationMap.js';

/** Maximum number of prompts in each of the two generations. */
const MAXIMUM_PROMPTS = 100_000;

/** Records in two generations; the older one is dropped as a whole. */
export class PromptRecords {
  private readonly versions = new GenerationMap<bigint, readonly string[]>(MAXIMUM_PROMPTS);

  /** @returns Number of prompts, some of them counted twice. */
  get size(): number {
    return this.versions.size;
  }

  /**
   * @param prompt - key of a prompt, see `promptKeyOf`.
   * @returns All versions whose runners have it cached, as far as is known.
   */
  versionsOf(prompt: bigint): readonly string[] {
    const [recent = [], older = []] = this.versions.generationsOf(prompt);
    return [...new Set([...recent, ...older])];
  }

  /**
   * @param prompt - key of a prompt.
   * @param softwareVersion - version of a runner that has it cached.
   */
  record(prompt: bigint, softwareVersion: string): void {
    const [recent = []] = this.versions.generationsOf(prompt);
    if (!recent.includes(softwareVersion)) this.versions.set(prompt, [...recent, softwareVersion]);
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
