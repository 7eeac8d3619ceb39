/**
 * Tracks which chats are in a runner's prefix cache, from answers and from cache events that arrive late and
 * with gaps. Does no input or output: takes events and returns changes for the homes of chats.
 */
import type { CacheEvent } from '../upstreams/Upstream.js';

/** A chat whose cached tokens at this runner changed. */
export interface CacheChange {
  readonly chat: string;
  /** 0 means that the chat is no longer cached. */
  readonly cachedTokens: number;
}

/** The result of applying a series of cache events. */
export interface AppliedCacheEvents {
  readonly changes: readonly CacheChange[];
  /** Number of events that were missing from the series. */
  readonly lost: number;
}

/** Options of a {@link GateTaskPrefixCacheIndex}. */
export interface GateTaskPrefixCacheIndexOptions {
  maximumChats?: number;
  /** Number of the last event that the previous holder of the gate has read. */
  lastNumber?: number;
}

const DEFAULT_MAXIMUM_CHATS = 20_000;

/** An index of the chats that are probably cached at one runner, the least recently used first. */
export class GateTaskPrefixCacheIndex {
  private readonly maximumChats: number;

  private readonly tokensByChat = new Map<string, number>();

  private last: number;

  /**
   * @param options - the maximum number of chats, and the event number to continue after.
   */
  constructor({
    maximumChats = DEFAULT_MAXIMUM_CHATS,
    lastNumber = 0,
  }: GateTaskPrefixCacheIndexOptions = {}) {
    this.maximumChats = maximumChats;
    this.last = lastNumber;
  }

  /** @returns The number of the last event that was applied. */
  get lastNumber(): number {
    return this.last;
  }

  /**
   * Continues after the last event that the previous holder of the gate has read.
   *
   * @param number - the number of that event; ignored if a later event was applied already.
   */
  continueAfter(number: number): void {
    this.last = Math.max(this.last, number);
  }

  /** @returns Known chats, the most recently used first. */
  recentChats(): CacheChange[] {
    return [...this.tokensByChat].map(([chat, cachedTokens]) => ({ chat, cachedTokens })).reverse();
  }

  /**
   * Looks up a chat.
   *
   * @param chat - the chat.
   * @returns Its number of tokens that are probably cached; 0 when it is not in the index.
   */
  tokensOf(chat: string): number {
    return this.tokensByChat.get(chat) ?? 0;
  }

  /**
   * Records that a chat was used.
   *
   * @param chat - the chat.
   * @param cachedTokens - its number of tokens that are cached now.
   * @returns The change for the chat's home; none if the number is the same as before.
   */
  recordUse(chat: string, cachedTokens: number): CacheChange[] {
    const before = this.tokensByChat.get(chat);
    this.tokensByChat.delete(chat);
    if (cachedTokens === 0) return before === undefined ? [] : [{ chat, cachedTokens }];
    this.tokensByChat.set(chat, cachedTokens);
    this.evictOverLimit();
    return before === cachedTokens ? [] : [{ chat, cachedTokens }];
  }

  /**
   * Applies cache events in the order of their numbers; events that were applied already are skipped.
   *
   * @param events - the events as the runner returned them.
   * @returns The changes for the homes of chats, and the number of missing events.
   */
  applyEvents(events: readonly CacheEvent[]): AppliedCacheEvents {
    const changes: CacheChange[] = [];
    let lost = 0;
    for (const event of events) {
      if (event.number <= this.last) continue;
      // Before the first event there is no earlier event that could be missing.
      const missing = this.last === 0 ? 0 : event.number - this.last - 1;
      if (missing > 0) {
        lost += missing;
        changes.push(...this.forgetOldest(missing));
      }
      this.last = event.number;
      changes.push(...this.apply(event));
    }
    return { changes, lost };
  }

  /**
   * Clears the index after a restart of the runner: its cache is empty and its events are numbered from the
   * start again.
   *
   * @returns The changes for the homes of chats.
   */
  reset(): CacheChange[] {
    this.last = 0;
    return this.forgetOldest(this.tokensByChat.size);
  }

  private apply({ kind, chat, cachedTokens }: CacheEvent): CacheChange[] {
    if (kind === 'cleared') return this.forgetOldest(this.tokensByChat.size);
    if (chat === undefined) return [];
    return this.recordUse(chat, kind === 'evicted' ? 0 : cachedTokens);
  }

  /**
   * Removes the least recently used chats. Each missing event may have been an eviction, and engines evict the
   * least recently used chat; so one chat is removed for each missing event. If evicted chats stayed in the
   * index, their requests would return to a runner that no longer has them, visible as answers with fewer
   * cached tokens than expected. Removing all chats would lose far more cache reuse.
   */
  private forgetOldest(count: number): CacheChange[] {
    const oldest = [...this.tokensByChat.keys()].slice(0, count);
    for (const chat of oldest) this.tokensByChat.delete(chat);
    return oldest.map((chat) => ({ chat, cachedTokens: 0 }));
  }

  private evictOverLimit(): void {
    if (this.tokensByChat.size <= this.maximumChats) return;
    const [oldest] = this.tokensByChat.keys();
    if (oldest !== undefined) this.tokensByChat.delete(oldest);
  }
}
