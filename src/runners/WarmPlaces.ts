/**
 * Remembers which runners have cached a shared part of prompts, as far as this daemon has sent it there or has learnt
 * of it.
 *
 * What goes wrong without it: a runner that joins takes over its share of the keys by hashing, and runners read
 * prompts again that others still have cached, after each scale-out. Instead, a key stays with its runner as long as
 * that runner is listed and has room. Hashing decides for new keys only, so that all daemons start with the same
 * choice.
 */

import { heapShare } from '../memory/heapShare.js';
import { boundedId } from '../prompts/promptSegments.js';

/** Maximum number of keys, more than the shared prompts of a large site. */
const MAXIMUM_KEYS = 20_000;

/** Share of the heap that all keys and places may take. */
const HEAP_SHARE = 1 / 24;

/** Memory of a key and of a place besides their characters, in bytes. */
const KEY_BYTES = 160;
const PLACE_BYTES = 24;

/** Longest name of an incarnation that is remembered, in characters. */
const MAXIMUM_LIFE_LENGTH = 256;

/**
 * Maximum number of places of one key: its first runner, and those that took over when that was full or unavailable.
 */
const MAXIMUM_PLACES = 12;

/** A key with the runners that have it cached. */
export interface WarmPlace {
  readonly key: string;
  /** Incarnations of the runners, the first place first. */
  readonly lives: readonly string[];
}

/** Options of {@link WarmPlaces}. */
export interface WarmPlacesOptions {
  /** Bound of all keys and places, in bytes. */
  maximumBytes?: number;
}

function bytesOf(key: string, lives: readonly string[]): number {
  return lives.reduce((sum, life) => sum + PLACE_BYTES + life.length, KEY_BYTES + key.length);
}

/** An LRU cache of places by key. */
export class WarmPlaces {
  private readonly maximumBytes: number;

  /** Estimated memory of the keys and places. */
  private bytes = 0;

  private readonly places = new Map<string, readonly string[]>();

  /** How often this daemon has used each key, for as long as the key is remembered. */
  private readonly uses = new Map<string, number>();

  /**
   * @param options - the bound.
   */
  constructor({ maximumBytes = heapShare(HEAP_SHARE) }: WarmPlacesOptions = {}) {
    this.maximumBytes = maximumBytes;
  }

  /**
   * Looks up the places of a key.
   *
   * @param key - the shared parts of a prompt.
   * @returns Incarnations of the runners, the first place first.
   */
  livesOf(key: string): readonly string[] {
    return this.places.get(key) ?? [];
  }

  /**
   * Adds a place to a key and marks the key as recently used.
   *
   * @param key - the shared parts of a prompt.
   * @param life - incarnation of the runner that a request with them was sent to.
   * @returns Whether the place is new.
   */
  remember(key: string, life: string): boolean {
    const known = this.places.get(key) ?? [];
    const isNew = !known.includes(life) && known.length < MAXIMUM_PLACES;
    this.set(key, isNew ? [...known, life] : known, { isUsed: true });
    while (this.places.size > MAXIMUM_KEYS || this.bytes > this.maximumBytes) {
      const [oldest] = this.places.keys();
      if (oldest === undefined) break;
      this.forget(oldest);
    }
    return isNew;
  }

  /**
   * Counts a request for which this daemon has chosen a runner.
   *
   * @param key - the shared parts of its prompt.
   */
  countUse(key: string): void {
    this.uses.set(key, this.usesOf(key) + 1);
  }

  /**
   * @param key - the shared parts of a prompt.
   * @returns How often this daemon has chosen a runner for it.
   */
  usesOf(key: string): number {
    return this.uses.get(key) ?? 0;
  }

  /**
   * Adds a place that another daemon has reported, behind the places that are already known.
   *
   * @param key - the shared parts of a prompt.
   * @param life - incarnation of the runner that the other daemon sent a request to.
   */
  learn(key: string, life: string): void {
    if (life.length <= MAXIMUM_LIFE_LENGTH) this.remember(boundedId(key), life);
  }

  /**
   * Drops the places of a key whose runners are no longer listed.
   *
   * @param key - the shared parts of a prompt.
   * @param isListed - whether an incarnation is still listed.
   */
  prune(key: string, isListed: (life: string) => boolean): void {
    const known = this.places.get(key);
    if (!known || known.every(isListed)) return;
    this.set(key, known.filter(isListed));
  }

  /**
   * Drops all places of a runner that is gone. An entry that returns under the same id may belong to a restarted
   * runner; on platforms that do not report a runner's start, chats would continue at a runner that has none of them
   * cached.
   *
   * @param life - incarnation of the runner.
   */
  forgetRunner(life: string): void {
    for (const [key, lives] of this.places) {
      if (lives.includes(life)) {
        this.set(
          key,
          lives.filter((one) => one !== life),
        );
      }
    }
  }

  /**
   * Exports the most recently used keys for storage.
   *
   * @param maximumKeys - how many keys to export at most.
   * @returns The keys with their places.
   */
  export(maximumKeys: number): WarmPlace[] {
    const all = [...this.places].slice(-maximumKeys);
    return all.map(([key, lives]) => ({ key, lives }));
  }

  /**
   * Imports stored places of keys that have none yet, as a daemon that has just started knows no places.
   *
   * @param stored - the result of {@link export}, from any daemon.
   */
  import(stored: readonly WarmPlace[]): void {
    for (const { key, lives } of stored) {
      if (!this.places.has(boundedId(key))) for (const id of lives) this.learn(key, id);
    }
  }

  /** The least recently used key is dropped first, so a key that is used goes to the end. */
  private set(key: string, lives: readonly string[], { isUsed = false } = {}): void {
    const known = this.places.get(key);
    if (known) this.bytes -= bytesOf(key, known);
    if (isUsed) this.places.delete(key);
    this.places.set(key, lives);
    this.bytes += bytesOf(key, lives);
  }

  private forget(key: string): void {
    this.bytes -= bytesOf(key, this.livesOf(key));
    this.places.delete(key);
    this.uses.delete(key);
  }
}
