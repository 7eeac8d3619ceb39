/**
 * Prefix cache of an engine stand-in: limited memory, least recently used chat first out, numbered events.
 */
import type { CacheEvent } from '../../src/upstreams/Upstream.js';

/** Options of a {@link PrefixCache}. */
export interface PrefixCacheOptions {
  /** Tokens that fit. */
  capacityTokens?: number;
  /** Milliseconds until an event can be read. */
  eventLagMilliseconds?: number;
  /** Says whether an event is lost; its number is then missing. */
  loses?: () => boolean;
  /** Monotonic milliseconds. */
  now?: () => number;
}

const DEFAULT_CAPACITY_TOKENS = 1_000_000;

/** Events that an engine keeps; older ones are gone, which readers see as a gap. */
const MAXIMUM_KEPT_EVENTS = 5_000;

/** Remembers how many tokens of each chat are cached. */
export class PrefixCache {
  private readonly capacityTokens: number;

  private readonly eventLagMilliseconds: number;

  private readonly loses: () => boolean;

  private readonly now: () => number;

  /** In the order of use, the oldest first. */
  private readonly tokensByChat = new Map<string, number>();

  private readonly events: { readonly at: number; readonly event: CacheEvent }[] = [];

  private usedTokens = 0;

  private lastNumber = 0;

  /**
   * @param options - size, lag and losses.
   */
  constructor({
    capacityTokens = DEFAULT_CAPACITY_TOKENS,
    eventLagMilliseconds = 0,
    loses = () => false,
    now = () => performance.now(),
  }: PrefixCacheOptions = {}) {
    this.capacityTokens = capacityTokens;
    this.eventLagMilliseconds = eventLagMilliseconds;
    this.loses = loses;
    this.now = now;
  }

  /**
   * @param chat - whose prefix is looked up; this counts as a use.
   * @param promptTokens - tokens of the prompt.
   * @returns How many of them are cached.
   */
  look(chat: string, promptTokens: number): number {
    const cached = this.tokensByChat.get(chat);
    if (cached === undefined) return 0;
    this.tokensByChat.delete(chat);
    this.tokensByChat.set(chat, cached);
    return Math.min(cached, promptTokens);
  }

  /**
   * @param chat - whose prefix it is.
   * @returns Cached tokens, without counting as a use.
   */
  peek(chat: string): number {
    return this.tokensByChat.get(chat) ?? 0;
  }

  /**
   * @param chat - whose prefix is stored.
   * @param tokens - its length; more than the capacity is not stored.
   */
  store(chat: string, tokens: number): void {
    if (tokens > this.capacityTokens) return;
    this.usedTokens += tokens - this.peek(chat);
    this.tokensByChat.delete(chat);
    this.tokensByChat.set(chat, tokens);
    this.append({ kind: 'stored', chat, cachedTokens: tokens });
    this.evict();
  }

  /** Forgets everything, as after a change of version. */
  clear(): void {
    this.tokensByChat.clear();
    this.usedTokens = 0;
    this.append({ kind: 'cleared', cachedTokens: 0 });
  }

  /**
   * @param number - the last event that was seen.
   * @returns Later events that are old enough to be read.
   */
  eventsAfter(number: number): CacheEvent[] {
    const readable = this.now() - this.eventLagMilliseconds;
    return this.events
      .filter(({ at, event }) => at <= readable && event.number > number)
      .map(({ event }) => event);
  }

  private evict(): void {
    for (const [chat, tokens] of this.tokensByChat) {
      if (this.usedTokens <= this.capacityTokens) return;
      this.tokensByChat.delete(chat);
      this.usedTokens -= tokens;
      this.append({ kind: 'evicted', chat, cachedTokens: 0 });
    }
  }

  private append(event: Omit<CacheEvent, 'number'>): void {
    this.lastNumber += 1;
    if (this.loses()) return;
    this.events.push({ at: this.now(), event: { number: this.lastNumber, ...event } });
    if (this.events.length > MAXIMUM_KEPT_EVENTS) this.events.shift();
  }
}
