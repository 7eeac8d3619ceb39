/**
 * Remembers which runners have cached a shared part of prompts, as far as this daemon has sent it there or has learnt
 * of it.
 *
 * What goes wrong without it: a runner that joins takes over its share of the keys by hashing, and runners read
 * prompts again that others still have cached, after each scale-out. Instead, a key stays with its runner as long as
 * that runner is listed and has room. Hashing decides for new keys only, so that all daemons start with the same
 * choice.
 */

import { RecencyMap } from '../collections/RecencyMap.js';
import { heapShare } from '../memory/heapShare.js';
import { boundedId } from '../prompts/promptSegments.js';

/** Maximum number of keys, more than the shared prompts of a large site. */
const MAXIMUM_KEYS = 20_000;

/** Share of the heap that all keys and places may take. */
const HEAP_SHARE = 1 / 24;

/** Share of the bound that keys of a single use keep, so that a new key is still there when it is used again. */
const SINGLE_USE_SHARE = 1 / 4;

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

/** Places of a key, and how often this daemon has chosen a runner for it. */
interface KeyUse {
  readonly lives: readonly string[];
  readonly uses: number;
}

/** A place to add, and the segment that holds its key from then on. */
interface PlaceOptions {
  key: string;
  life: string;
  segment: RecencyMap<KeyUse>;
}

function bytesOf(key: string, { lives }: KeyUse): number {
  return lives.reduce((sum, life) => sum + PLACE_BYTES + life.length, KEY_BYTES + key.length);
}

/**
 * A cache of places by key, in two segments. Keys of a single use are dropped first, so that a client whose prompts are all
 * different does not displace what the others come back to.
 */
export class WarmPlaces {
  private readonly maximumBytes: number;

  /** Keys that this daemon has used once, or has only learnt of. */
  private readonly single = new RecencyMap<KeyUse>({ bytesOf });

  /** Keys that this daemon has used again. */
  private readonly repeated = new RecencyMap<KeyUse>({ bytesOf });

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
    return this.useOf(key)?.lives ?? [];
  }

  /**
   * Adds a place to a key and marks the key as recently used.
   *
   * @param key - the shared parts of a prompt.
   * @param life - incarnation of the runner that a request with them was sent to.
   * @returns Whether the place is new.
   */
  remember(key: string, life: string): boolean {
    const isKnown = this.useOf(key) !== undefined;
    return this.add({ key, life, segment: isKnown ? this.repeated : this.single });
  }

  /**
   * Counts a request for which this daemon has chosen a runner.
   *
   * @param key - the shared parts of its prompt.
   */
  countUse(key: string): void {
    const known = this.useOf(key);
    if (known) this.segmentOf(key).set(key, { ...known, uses: known.uses + 1 });
  }

  /**
   * @param key - the shared parts of a prompt.
   * @returns How often this daemon has chosen a runner for it.
   */
  usesOf(key: string): number {
    return this.useOf(key)?.uses ?? 0;
  }

  /**
   * Adds a place that another daemon has reported, behind the places that are already known.
   *
   * @param key - the shared parts of a prompt.
   * @param life - incarnation of the runner that the other daemon sent a request to.
   */
  learn(key: string, life: string): void {
    if (life.length > MAXIMUM_LIFE_LENGTH) return;
    const bounded = boundedId(key);
    this.add({ key: bounded, life, segment: this.segmentOf(bounded) });
  }

  /**
   * Drops the places of a key whose runners are no longer listed.
   *
   * @param key - the shared parts of a prompt.
   * @param isListed - whether an incarnation is still listed.
   */
  prune(key: string, isListed: (life: string) => boolean): void {
    const known = this.useOf(key);
    if (!known || known.lives.every(isListed)) return;
    this.segmentOf(key).set(key, { ...known, lives: known.lives.filter(isListed) });
  }

  /**
   * Drops all places of a runner that is gone. An entry that returns under the same id may belong to a restarted
   * runner; on platforms that do not report a runner's start, chats would continue at a runner that has none of them
   * cached.
   *
   * @param life - incarnation of the runner.
   */
  forgetRunner(life: string): void {
    for (const segment of [this.single, this.repeated]) {
      for (const [key, use] of segment.toArray()) {
        if (use.lives.includes(life)) {
          segment.set(key, { ...use, lives: use.lives.filter((one) => one !== life) });
        }
      }
    }
  }

  /**
   * Exports the most recently used keys for storage, those of repeated use before the others.
   *
   * @param maximumKeys - how many keys to export at most.
   * @returns The keys with their places.
   */
  export(maximumKeys: number): WarmPlace[] {
    const all = [...this.single.toArray(), ...this.repeated.toArray()].slice(-maximumKeys);
    return all.map(([key, { lives }]) => ({ key, lives }));
  }

  /**
   * Imports stored places of keys that have none yet, as a daemon that has just started knows no places.
   *
   * @param stored - the result of {@link export}, from any daemon.
   */
  import(stored: readonly WarmPlace[]): void {
    for (const { key, lives } of stored) {
      if (!this.useOf(boundedId(key))) for (const id of lives) this.learn(key, id);
    }
  }

  private useOf(key: string): KeyUse | undefined {
    return this.repeated.get(key) ?? this.single.get(key);
  }

  private segmentOf(key: string): RecencyMap<KeyUse> {
    return this.repeated.get(key) ? this.repeated : this.single;
  }

  private add({ key, life, segment }: PlaceOptions): boolean {
    const { lives, uses } = this.useOf(key) ?? { lives: [], uses: 0 };
    const isNew = !lives.includes(life) && lives.length < MAXIMUM_PLACES;
    // A key that is added again goes to the end of its segment.
    this.segmentOf(key).delete(key);
    segment.set(key, { lives: isNew ? [...lives, life] : lives, uses });
    this.dropOldest();
    return isNew;
  }

  private dropOldest(): void {
    const { single, repeated } = this;
    while (
      single.size + repeated.size > MAXIMUM_KEYS ||
      single.bytes + repeated.bytes > this.maximumBytes
    ) {
      const isSingleAtShare =
        single.bytes <= this.maximumBytes * SINGLE_USE_SHARE &&
        single.size <= MAXIMUM_KEYS * SINGLE_USE_SHARE;
      const segment = isSingleAtShare && repeated.size > 0 ? repeated : single;
      const oldest = segment.oldestKey;
      if (oldest === undefined) return;
      segment.delete(oldest);
    }
  }
}
