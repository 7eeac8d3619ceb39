/**
 * How much of one prompt each runner has cached, and which of them can copy it to others.
 */
import { promptTokensOf } from '../capacity/capacityTypes.js';
import type { RequestWork } from '../capacity/capacityTypes.js';
import { prefixKeys } from '../prompts/prefixKeys.js';
import type { WarmPlaces } from '../runners/WarmPlaces.js';

/** Copying a cached prompt takes about a tenth of the time of reading it. */
const COPY_SHARE = 0.1;

/** Options of a {@link CachedPrompt}. */
export interface CachedPromptOptions {
  work: RequestWork;
  /** Ids of the shared parts that count; the others are read anew. */
  sharedParts: readonly string[];
  warmPlaces: WarmPlaces;
  /** Whether a runner can copy its cache to others, by its incarnation. */
  canCopy: (life: string) => boolean;
}

/** The cached prefixes of one prompt. */
export class CachedPrompt {
  /** Tokens of the whole prompt. */
  readonly tokens: number;

  /** Cached tokens by incarnation of the runner. */
  private readonly cached = new Map<string, number>();

  /** Largest number of tokens that some runner can copy. */
  private readonly copyable: number;

  /** Incarnations of the runners that have cached all shared parts. */
  private readonly complete: readonly string[];

  /**
   * @param options - the prompt and the places where its parts are cached.
   */
  constructor({ work, sharedParts, warmPlaces, canCopy }: CachedPromptOptions) {
    this.tokens = promptTokensOf(work);
    let tokens = 0;
    let copyable = 0;
    let lives: readonly string[] = [];
    for (const [index, key] of prefixKeys(sharedParts).entries()) {
      tokens += work.parts[index]?.tokens ?? 0;
      lives = warmPlaces.livesOf(key);
      for (const life of lives) this.cached.set(life, tokens);
      if (lives.some(canCopy)) copyable = tokens;
    }
    this.copyable = copyable;
    this.complete = lives;
  }

  /** @returns Whether some runner has cached all shared parts. */
  get isCachedSomewhere(): boolean {
    return this.complete.length > 0;
  }

  /**
   * @param life - incarnation of a runner.
   * @returns Tokens that it has cached.
   */
  cachedTokens(life: string): number {
    return this.cached.get(life) ?? 0;
  }

  /**
   * @param life - incarnation of a runner.
   * @returns Tokens that it would have to read; those that it can copy count for the time that copying takes.
   */
  unreadTokens(life: string): number {
    const own = this.cachedTokens(life);
    const copied = Math.max(0, this.copyable - own);
    return this.tokens - own - copied + copied * COPY_SHARE;
  }

  /**
   * @param life - incarnation of a runner.
   * @returns Whether it has cached all parts that other requests share.
   */
  hasAllShared(life: string): boolean {
    return this.complete.includes(life);
  }

  /** @returns Incarnations of all runners that have cached a part. */
  get lives(): Iterable<string> {
    return this.cached.keys();
  }
}
