/**
 * A fake model engine: one continuous batch with a step time, and a prefix cache of limited memory.
 */

/** An attempt in the batch. */
export interface EngineAttempt {
  readonly attemptId: string;
  readonly chat: string;
  readonly promptTokens: number;
  /** Tokens that it will generate before it ends. */
  readonly answerTokens: number;
  /** Declared maximum number of tokens, which is all that is known before the request ends. */
  readonly maximumTokens: number;
  /** Called at each step of the fake with all tokens so far. */
  readonly onProgress: (generatedTokens: number) => void;
  readonly onEnd: () => void;
}

interface Running {
  readonly attempt: EngineAttempt;
  promptLeft: number;
  generated: number;
}

/** Options of a {@link FakeEngine}. */
export interface FakeEngineOptions {
  readonly id: string;
  readonly cacheTokens: number;
  /** Called with the chats that are evicted from the cache. */
  readonly onEvicted: (chat: string) => void;
}

/** Duration of a step of an empty batch in ms, from the requirements; it grows with the batch. */
const STEP_MILLISECONDS = 4;
const STEP_MILLISECONDS_PER_SEQUENCE = 0.4;

/** Prompt tokens that the engine processes in a ms beside its batch. */
const PROMPT_TOKENS_PER_MILLISECOND = 10;

/** One engine. */
export class FakeEngine {
  readonly id: string;

  private readonly cacheTokens: number;

  private readonly onEvicted: (chat: string) => void;

  private readonly batch = new Map<string, Running>();

  /** The chat used longest ago first. */
  private readonly cache = new Map<string, number>();

  private cachedTotal = 0;

  /**
   * @param options - name, memory and listener.
   */
  constructor({ id, cacheTokens, onEvicted }: FakeEngineOptions) {
    this.id = id;
    this.cacheTokens = cacheTokens;
    this.onEvicted = onEvicted;
  }

  /** @returns Requests in the batch. */
  get count(): number {
    return this.batch.size;
  }

  /** @returns Tokens of work: prompt not yet processed, and declared tokens not yet generated. */
  get work(): number {
    let work = 0;
    for (const { attempt, promptLeft, generated } of this.batch.values())
      work += promptLeft + Math.max(0, attempt.maximumTokens - generated);
    return work;
  }

  /** @returns Tokens a second that a full batch gets through. */
  get tokensPerSecond(): number {
    return (this.batch.size * 1_000) / this.stepMilliseconds();
  }

  /**
   * @param attempt - joins the batch.
   * @returns Prompt tokens that were cached.
   */
  start(attempt: EngineAttempt): number {
    const cached = Math.min(this.cache.get(attempt.chat) ?? 0, attempt.promptTokens);
    this.remember(attempt.chat, attempt.promptTokens);
    this.batch.set(attempt.attemptId, {
      attempt,
      promptLeft: attempt.promptTokens - cached,
      generated: 0,
    });
    return cached;
  }

  /**
   * Lets the batch run.
   *
   * @param milliseconds - how long.
   */
  advance(milliseconds: number): void {
    const tokens = milliseconds / this.stepMilliseconds();
    let promptBudget = milliseconds * PROMPT_TOKENS_PER_MILLISECOND;
    for (const running of this.batch.values()) {
      const processed = Math.min(running.promptLeft, promptBudget);
      running.promptLeft -= processed;
      promptBudget -= processed;
      if (running.promptLeft > 0) continue;
      running.generated += tokens;
      this.tell(running);
    }
  }

  private tell({ attempt, generated }: Running): void {
    if (generated < attempt.answerTokens) {
      attempt.onProgress(Math.floor(generated));
      return;
    }
    this.batch.delete(attempt.attemptId);
    this.remember(attempt.chat, attempt.promptTokens + attempt.answerTokens);
    attempt.onEnd();
  }

  private stepMilliseconds(): number {
    return STEP_MILLISECONDS + STEP_MILLISECONDS_PER_SEQUENCE * this.batch.size;
  }

  private remember(chat: string, tokens: number): void {
    const known = this.cache.get(chat) ?? 0;
    this.cache.delete(chat);
    this.cache.set(chat, Math.max(known, tokens));
    this.cachedTotal += Math.max(known, tokens) - known;
    while (this.cachedTotal > this.cacheTokens) this.evictOldest();
  }

  private evictOldest(): void {
    const [chat, tokens] = this.cache.entries().next().value as [string, number];
    this.cache.delete(chat);
    this.cachedTotal -= tokens;
    this.onEvicted(chat);
  }
}
