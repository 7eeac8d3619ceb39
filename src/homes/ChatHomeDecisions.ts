/**
 * The directory of a chat home: each chat has one daemon as its home, which stores the few runners that have
 * the chat's prefix cached. A lost entry costs only cache reuse, so a full directory removes the chat that was
 * least recently looked up or updated.
 */
import { match } from 'ts-pattern';

import { Decisions } from '../decisions/Decisions.js';
import type { HomeAction, HomeMessage, WarmRunnerEntry } from './homeTypes.js';

/** Options of {@link ChatHomeDecisions}. */
export interface ChatHomeDecisionsOptions {
  /** Most chats that are stored. */
  maximumChats?: number;
  /** Most runners that are stored for a chat. */
  maximumRunners?: number;
  /** Age after which an entry is no longer returned, in ms: engines have evicted the prefix by then. */
  forgetAfterMilliseconds?: number;
}

interface WarmEntry {
  readonly runnerId: string;
  cachedTokens: number;
  reportedAt: number;
}

/**
 * Twice a daemon's share of 7.1 million chats over 390 daemons, so that the loss of some daemons costs no
 * entries.
 */
const DEFAULT_MAXIMUM_CHATS = 36_000;
const DEFAULT_MAXIMUM_RUNNERS = 8;
const DEFAULT_FORGET_AFTER_MILLISECONDS = 6 * 60 * 60 * 1_000;

/** The decisions of one daemon's directory: answers lookups and stores updates, without I/O. */
export class ChatHomeDecisions extends Decisions<HomeMessage, HomeAction> {
  private readonly maximumChats: number;

  private readonly maximumRunners: number;

  private readonly forgetAfterMilliseconds: number;

  /** In order of the last lookup or update, most recent last; a Map keeps insertion order. */
  private readonly chats = new Map<string, readonly WarmEntry[]>();

  /** Interned names, to save memory: each message creates its own string for a name. */
  private readonly runnerNames = new Map<string, string>();

  /**
   * @param options - the limits.
   */
  constructor({
    maximumChats = DEFAULT_MAXIMUM_CHATS,
    maximumRunners = DEFAULT_MAXIMUM_RUNNERS,
    forgetAfterMilliseconds = DEFAULT_FORGET_AFTER_MILLISECONDS,
  }: ChatHomeDecisionsOptions = {}) {
    super();
    this.maximumChats = maximumChats;
    this.maximumRunners = maximumRunners;
    this.forgetAfterMilliseconds = forgetAfterMilliseconds;
  }

  override decide(now: number, message: HomeMessage): readonly HomeAction[] {
    return match<HomeMessage, readonly HomeAction[]>(message)
      .with({ kind: 'ask' }, ({ question, service, chat }) => [
        { kind: 'answer', question, warm: this.lookUp(now, service, chat) },
      ])
      .with({ kind: 'tell' }, ({ service, chat, runnerId, cachedTokens }) => {
        this.store(now, service, chat, runnerId, cachedTokens);
        return [];
      })
      .with({ kind: 'runner_cleared' }, ({ runnerId }) => {
        this.clear(runnerId);
        return [];
      })
      .with({ kind: 'tick' }, () => [])
      .exhaustive();
  }

  override nextWake(): undefined {
    return undefined;
  }

  /** @returns The number of stored chats. */
  get size(): number {
    return this.chats.size;
  }

  private lookUp(now: number, service: string, chat: string): WarmRunnerEntry[] {
    const key = ChatHomeDecisions.keyOf(service, chat);
    const entries = this.chats.get(key) ?? [];
    this.markUsed(key, entries);
    return entries
      .filter(({ reportedAt }) => now - reportedAt < this.forgetAfterMilliseconds)
      .sort((a, b) => b.cachedTokens - a.cachedTokens || b.reportedAt - a.reportedAt)
      .map(({ runnerId, cachedTokens, reportedAt }) => ({
        runnerId,
        cachedTokens,
        ageMilliseconds: Math.round(now - reportedAt),
      }));
  }

  /**
   * Marks a chat as most recently used. Gates send only significant changes, so a chat in use may get no update
   * for long. Without this it would be removed before a chat that was not looked up since its last update.
   */
  private markUsed(key: string, entries: readonly WarmEntry[]): void {
    if (!this.chats.delete(key)) return;
    this.chats.set(key, entries);
  }

  private store(
    now: number,
    service: string,
    chat: string,
    runnerId: string,
    cachedTokens: number,
  ): void {
    const key = ChatHomeDecisions.keyOf(service, chat);
    const others = (this.chats.get(key) ?? []).filter((entry) => entry.runnerId !== runnerId);
    if (cachedTokens > 0) {
      if (others.length >= this.maximumRunners) others.splice(this.indexOfOldest(others), 1);
      others.push({ runnerId: this.intern(runnerId), cachedTokens, reportedAt: now });
    }
    this.chats.delete(key);
    if (others.length > 0) this.chats.set(key, others);
    if (this.chats.size > this.maximumChats) this.forgetOldest();
  }

  private indexOfOldest(entries: readonly WarmEntry[]): number {
    let oldest = 0;
    entries.forEach(({ reportedAt }, index) => {
      if (reportedAt < entries[oldest]!.reportedAt) oldest = index;
    });
    return oldest;
  }

  private forgetOldest(): void {
    const oldest = this.chats.keys().next();
    if (!oldest.done) this.chats.delete(oldest.value);
  }

  /**
   * Removes a runner from all chats. A restarted runner's cache is empty; its chats would miss it for hours.
   */
  private clear(runnerId: string): void {
    if (!this.runnerNames.has(runnerId)) return;
    this.runnerNames.delete(runnerId);
    for (const [key, entries] of this.chats) {
      if (!entries.some((entry) => entry.runnerId === runnerId)) continue;
      const others = entries.filter((entry) => entry.runnerId !== runnerId);
      if (others.length === 0) this.chats.delete(key);
      else this.chats.set(key, others);
    }
  }

  private intern(runnerId: string): string {
    const known = this.runnerNames.get(runnerId);
    if (known !== undefined) return known;
    this.runnerNames.set(runnerId, runnerId);
    return runnerId;
  }

  /** Two services may have a chat of the same name. Names contain no line feed, so keys can not collide. */
  private static keyOf(service: string, chat: string): string {
    return `${service}\n${chat}`;
  }
}
