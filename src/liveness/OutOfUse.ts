/**
 * Which listed daemons are out of use, by what this daemon has found out and what others tell.
 */
import { ToldSilences } from './ToldSilences.js';
import type { LivenessAction } from './livenessTypes.js';
import type { WatchedDaemon } from './WatchedDaemon.js';

/** What the set follows from. */
export interface OutOfUseQuestion {
  /** Names of the listed daemons. */
  readonly listed: readonly string[];
  /** Those that this daemon watches itself, by name. */
  readonly watched: ReadonlyMap<string, WatchedDaemon>;
  /** Silence from which on something is wrong, in ms. */
  readonly quietMilliseconds: number;
}

/** Keeps the set, and says how it changes. */
export class OutOfUse {
  /** How often it has changed. */
  changes = 0;

  private names: ReadonlySet<string> = new Set();

  private readonly told = new ToldSilences();

  /** Whether something has happened that may change it. */
  private isStale = false;

  /** @returns Names of the daemons in it. */
  get all(): ReadonlySet<string> {
    return this.names;
  }

  /** What it follows from has changed. */
  touch(): void {
    this.isStale = true;
  }

  /**
   * @param teller - a daemon that watches all others.
   * @param silent - hashes of those that it has found silent.
   * @param now - monotonic milliseconds.
   */
  takeTold(teller: string, silent: readonly number[], now: number): void {
    if (this.told.take(teller, silent, now)) this.isStale = true;
  }

  /**
   * @param question - as things are now.
   * @param now - monotonic milliseconds.
   * @returns What has changed since the last time; nothing where nothing has.
   */
  update(question: OutOfUseQuestion, now: number): LivenessAction[] {
    if (this.told.expire(now)) this.isStale = true;
    if (!this.isStale) return [];
    this.isStale = false;
    const before = this.names;
    const names = question.listed.filter((name) => this.isOut(name, question, now));
    this.names = new Set(names);
    const silent = names.filter((name) => !before.has(name));
    const back = [...before].filter((name) => !this.names.has(name));
    if (silent.length + back.length === 0) return [];
    this.changes += 1;
    return [{ kind: 'changed', silent, back }];
  }

  private isOut(name: string, question: OutOfUseQuestion, now: number): boolean {
    const { watched, quietMilliseconds } = question;
    const daemon = watched.get(name);
    if (daemon?.isOut) return true;
    // What this daemon hears itself goes before what others tell.
    return !daemon?.isHeard(now, quietMilliseconds) && this.told.has(name);
  }
}
