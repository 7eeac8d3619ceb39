/**
 * The set of listed daemons that are unavailable, from this daemon's own findings and from the broadcasts of others.
 */
import { UnresponsiveBroadcasts } from './UnresponsiveBroadcasts.js';
import type { LivenessAction } from './livenessTypes.js';
import type { WatchedDaemon } from './WatchedDaemon.js';

/** What the set is computed from. */
export interface UnavailableDaemonsInput {
  /** Names of the listed daemons. */
  readonly listed: readonly string[];
  /** The daemons that this one watches itself, by name. */
  readonly watched: ReadonlyMap<string, WatchedDaemon>;
  /** Silence after which a daemon is suspected, in ms. */
  readonly quietMilliseconds: number;
}

/** Maintains the set and reports how it changes. */
export class UnavailableDaemons {
  /** How often the set has changed. */
  changes = 0;

  private names: ReadonlySet<string> = new Set();

  private readonly told = new UnresponsiveBroadcasts();

  /** Whether something has happened that may change the set. */
  private isStale = false;

  /** @returns Names of the unavailable daemons. */
  get all(): ReadonlySet<string> {
    return this.names;
  }

  /** Marks the set as stale, so that the next update computes it anew. */
  markStale(): void {
    this.isStale = true;
  }

  /**
   * Takes a broadcast of unresponsive daemons.
   *
   * @param broadcaster - name of the broadcaster, which watches all other daemons.
   * @param silent - hashes of the names of the daemons that it found unresponsive.
   * @param now - monotonic milliseconds.
   */
  takeBroadcast(broadcaster: string, silent: readonly number[], now: number): void {
    if (this.told.take(broadcaster, silent, now)) this.isStale = true;
  }

  /**
   * Computes the set anew if it is stale.
   *
   * @param question - the current inputs.
   * @param now - monotonic milliseconds.
   * @returns A `changed` action with the difference since the last update; empty if there is none.
   */
  update(question: UnavailableDaemonsInput, now: number): LivenessAction[] {
    if (this.told.expire(now)) this.isStale = true;
    if (!this.isStale) return [];
    this.isStale = false;
    const before = this.names;
    const names = question.listed.filter((name) => this.isUnavailable(name, question, now));
    this.names = new Set(names);
    const silent = names.filter((name) => !before.has(name));
    const back = [...before].filter((name) => !this.names.has(name));
    if (silent.length + back.length === 0) return [];
    this.changes += 1;
    return [{ kind: 'changed', silent, back }];
  }

  private isUnavailable(name: string, question: UnavailableDaemonsInput, now: number): boolean {
    const { watched, quietMilliseconds } = question;
    const daemon = watched.get(name);
    if (daemon?.isUnavailable) return true;
    // What this daemon has heard itself takes precedence over broadcasts.
    return !daemon?.isHeard(now, quietMilliseconds) && this.told.has(name);
  }
}
