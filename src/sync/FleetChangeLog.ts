/**
 * The latest changes of listed runners, daemons and evacuations, which this daemon relays to daemons that do not read
 * the store themselves.
 */
import type { StoreFact } from './FleetStore.js';

/** A change with the store revision that it belongs to. */
export interface LoggedChange {
  readonly fact: StoreFact;
  /** The store's revision at which this daemon applied the change. */
  readonly revision: number;
}

/** The retained changes, complete back to a revision. */
export interface RecentChanges {
  /** No change after this revision is missing from `changes`. */
  readonly sinceRevision: number;
  readonly changes: readonly LoggedChange[];
}

/**
 * How long a change is sent again along with later ones, in ms. A receiver that lost a datagram gets the change with a
 * later one and does not need to ask for it.
 */
const RELAY_MILLISECONDS = 2_500;

/** Most changes that are relayed; for more than that within a few seconds, reading the store is cheaper. */
const MAXIMUM_RELAYED = 40;

interface Entry extends LoggedChange {
  readonly at: number;
}

/** Holds the changes that are still relayed. */
export class FleetChangeLog {
  private entries: Entry[] = [];

  private sinceRevision = 0;

  /**
   * Adds a change.
   *
   * @param fact - what has changed.
   * @param revision - store revision of the change.
   * @param now - monotonic milliseconds.
   */
  append(fact: StoreFact, revision: number, now: number): void {
    this.entries.push({ fact, revision, at: now });
  }

  /**
   * Clears the log after a full read: the individual changes before it are not known.
   *
   * @param revision - store revision of the full read.
   */
  restart(revision: number): void {
    this.entries = [];
    this.sinceRevision = revision;
  }

  /**
   * Discards changes that are too old or too many, and returns the others.
   *
   * @param now - monotonic milliseconds.
   * @returns The latest changes, ordered by revision.
   */
  recent(now: number): RecentChanges {
    const fresh = this.entries.filter(({ at }) => now - at <= RELAY_MILLISECONDS);
    // Changes may be appended out of order: one that comes from a snapshot, or a lapsed entry that is dropped after its
    // grace period, carries the earlier revision at which the entry changed.
    fresh.sort((a, b) => a.revision - b.revision);
    const kept = fresh.slice(-MAXIMUM_RELAYED);
    const keptEntries = new Set(kept);
    const dropped = this.entries.filter((entry) => !keptEntries.has(entry));
    this.sinceRevision = Math.max(this.sinceRevision, ...dropped.map(({ revision }) => revision));
    this.entries = kept;
    return { sinceRevision: this.sinceRevision, changes: kept };
  }
}
