/**
 * Keeps a bounded number of a document's latest changes, so that peers can be sent only those they lack.
 */
import type { JsonObject } from '@bufbuild/protobuf';

/** Maximum number of changes that are kept. */
export const MAXIMUM_LOGGED_CHANGES = 2000;

/** Maximum total length of the kept changes in JSON, in characters. */
export const MAXIMUM_LOGGED_CHARACTERS = 1_000_000;

interface LoggedChange {
  readonly revision: number;
  readonly change: JsonObject;
  readonly characters: number;
}

/** Bounded log of changes; drops the oldest ones first. */
export class ChangeLog {
  private changes: LoggedChange[] = [];

  private characters = 0;

  /** Lowest revision from which the kept changes lead to the newest one. */
  private oldestBase = 0;

  /**
   * Drops all changes. The next change follows the given revision.
   *
   * @param revision - the revision of the whole document that was applied.
   */
  restart(revision: number): void {
    this.changes = [];
    this.characters = 0;
    this.oldestBase = revision;
  }

  /**
   * Appends a change and drops the oldest ones above the limits.
   *
   * @param revision - the revision that the change led to; not lower than that of earlier changes.
   * @param change - the change in JSON.
   */
  add(revision: number, change: JsonObject): void {
    const { length: characters } = JSON.stringify(change);
    this.changes.push({ revision, change, characters });
    this.characters += characters;
    while (
      this.changes.length > MAXIMUM_LOGGED_CHANGES ||
      this.characters > MAXIMUM_LOGGED_CHARACTERS
    ) {
      const dropped = this.changes.shift()!;
      this.characters -= dropped.characters;
      this.oldestBase = dropped.revision;
    }
  }

  /**
   * @param revision - the revision that the recipient has.
   * @returns All later changes in order, or `undefined` if some of them are no longer kept.
   */
  since(revision: number): JsonObject[] | undefined {
    if (revision < this.oldestBase) return undefined;
    return this.changes
      .filter((logged) => logged.revision > revision)
      .map((logged) => logged.change);
  }
}
