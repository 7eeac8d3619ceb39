/**
 * The latest changes of who is there, for daemons that learn of them from this one.
 */
import type { StoreFact } from './FleetStore.js';

/** A change with its revision. */
export interface LoggedChange {
  readonly fact: StoreFact;
  /** The store's revision at which this daemon believed it. */
  readonly revision: number;
}

/** Changes that reach back to a revision. */
export interface RecentChanges {
  /** All changes after this revision are there. */
  readonly sinceRevision: number;
  readonly changes: readonly LoggedChange[];
}

/**
 * Each change is told with the next ones for this long, so that a lost datagram is made good without a question;
 * in ms.
 */
const TOLD_MILLISECONDS = 2_500;

/** Changes told at most; in more than that within a few seconds it is cheaper to read the store. */
const MAXIMUM_TOLD = 40;

interface Entry extends LoggedChange {
  readonly at: number;
}

/** Keeps what is still told. */
export class ChangeLog {
  private entries: Entry[] = [];

  private sinceRevision = 0;

  /**
   * @param fact - what has changed.
   * @param revision - of the change.
   * @param now - monotonic milliseconds.
   */
  append(fact: StoreFact, revision: number, now: number): void {
    this.entries.push({ fact, revision, at: now });
  }

  /**
   * Everything was read anew: what went before is not known change by change.
   *
   * @param revision - of the read.
   */
  restart(revision: number): void {
    this.entries = [];
    this.sinceRevision = revision;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns The latest changes.
   */
  recent(now: number): RecentChanges {
    const fresh = this.entries.filter(({ at }) => now - at <= TOLD_MILLISECONDS);
    // What is taken from a list, or given up late, comes with the revision at which it was so.
    fresh.sort((a, b) => a.revision - b.revision);
    const kept = fresh.slice(-MAXIMUM_TOLD);
    const told = new Set(kept);
    const dropped = this.entries.filter((entry) => !told.has(entry));
    this.sinceRevision = Math.max(this.sinceRevision, ...dropped.map(({ revision }) => revision));
    this.entries = kept;
    return { sinceRevision: this.sinceRevision, changes: kept };
  }
}
