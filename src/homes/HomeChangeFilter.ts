/**
 * Filters out changes that a home knows well enough already. Each answer makes its chat's prefix a little
 * longer, and a call for each of them would cost more than the gossip of the whole fleet. So this daemon
 * remembers what it sent to which home.
 */
import murmurhash from 'murmurhash';

import type { HomeChange } from '../generated/baobabdock/v1/peers_pb.js';

/** Options of {@link HomeChangeFilter}. */
export interface HomeChangeFilterOptions {
  /** Most pairs of chat and runner that are remembered; the change of a removed one is sent once more. */
  maximumPlaces?: number;
  /** Age after which an unchanged entry is sent again, in ms; shorter than the age at which homes remove it. */
  repeatAfterMilliseconds?: number;
}

/**
 * `known`: the home needs no message; `new`: it lacks the entry; `changed`: its number of cached tokens is out
 * of date.
 */
export type ChangeNovelty = 'known' | 'new' | 'changed';

interface SentChange {
  readonly home: string;
  readonly cachedTokens: number;
  readonly sentAt: number;
}

/** Twice the number of chats that are cached behind one daemon's gates at 7.1 million chats and 390 daemons. */
const DEFAULT_MAXIMUM_PLACES = 36_000;
const DEFAULT_REPEAT_AFTER_MILLISECONDS = 2 * 60 * 60 * 1_000;

/**
 * A change is sent if the prefix has grown or shrunk by these factors. The choice of a runner weighs the cached
 * share of the prompt. With a growth factor of one and a half that share is off by a third at most, and a chat
 * of 30 equal turns is sent 8 times.
 */
const SIGNIFICANT_GROWTH = 1.5;
const SIGNIFICANT_SHRINKING = 0.75;

const SECOND_SEED = 0x9e37;
const HALF_RANGE = 2 ** 21;

/**
 * Hashes the names to 53 bits, which take a tenth of the memory of the names. If two collide, a change is sent
 * late or not at all, which costs cache reuse for one chat.
 */
function keyOf({ chat, service, runnerId }: HomeChange): number {
  const text = `${service}\n${chat}\n${runnerId}`;
  return murmurhash.v3(text) * HALF_RANGE + (murmurhash.v3(text, SECOND_SEED) % HALF_RANGE);
}

/** Remembers the changes sent to homes and classifies new ones; removes the one sent longest ago when full. */
export class HomeChangeFilter {
  private readonly maximumPlaces: number;

  private readonly repeatAfterMilliseconds: number;

  private readonly sentChanges = new Map<number, SentChange>();

  /**
   * @param options - the size and the age of repeats.
   */
  constructor({
    maximumPlaces = DEFAULT_MAXIMUM_PLACES,
    repeatAfterMilliseconds = DEFAULT_REPEAT_AFTER_MILLISECONDS,
  }: HomeChangeFilterOptions = {}) {
    this.maximumPlaces = maximumPlaces;
    this.repeatAfterMilliseconds = repeatAfterMilliseconds;
  }

  /** @returns The number of remembered pairs of chat and runner. */
  get size(): number {
    return this.sentChanges.size;
  }

  /**
   * Classifies a change, and remembers it as sent unless the home knows it.
   *
   * @param now - monotonic milliseconds.
   * @param home - the home's name with its incarnation, because a restarted or another home has no entries.
   * @param change - the change that a gate reports.
   * @returns Whether the home knows the change, lacks the entry, or has an outdated one.
   */
  classify(now: number, home: string, change: HomeChange): ChangeNovelty {
    const key = keyOf(change);
    const { cachedTokens } = change;
    const news = this.noveltyOf(now, home, cachedTokens, this.sentChanges.get(key));
    if (news === 'known') return news;
    this.sentChanges.delete(key);
    if (cachedTokens > 0) this.sentChanges.set(key, { home, cachedTokens, sentAt: now });
    if (this.sentChanges.size > this.maximumPlaces) this.forgetOldest();
    return news;
  }

  /**
   * Forgets a change whose message was lost. Without this the home would lack the entry until the chat has
   * grown by half.
   *
   * @param change - the change that was not delivered.
   */
  forgetChange(change: HomeChange): void {
    this.sentChanges.delete(keyOf(change));
  }

  private noveltyOf(
    now: number,
    home: string,
    cachedTokens: number,
    previous?: SentChange,
  ): ChangeNovelty {
    if (cachedTokens === 0) return 'changed';
    if (previous?.home !== home) return 'new';
    if (now - previous.sentAt >= this.repeatAfterMilliseconds) return 'new';
    const growth = cachedTokens / previous.cachedTokens;
    const isSignificant = growth >= SIGNIFICANT_GROWTH || growth <= SIGNIFICANT_SHRINKING;
    return isSignificant ? 'changed' : 'known';
  }

  private forgetOldest(): void {
    const oldest = this.sentChanges.keys().next();
    if (!oldest.done) this.sentChanges.delete(oldest.value);
  }
}
