/**
 * Reports each undecodable entry of the store only once. An entry that another writer rewrites every second would
 * otherwise fill the log.
 */

/** Most keys that are remembered as reported. With more unreadable entries at once, some are reported again. */
const MAXIMUM_REPORTED = 500;

/** Characters of a key that are kept and reported; another writer may choose a key of any length. */
const KEPT_CHARACTERS = 200;

/** Called with the key of an entry that could not be decoded, and the reason. */
export type UnreadableListener = (key: string, message: string) => void;

/** Remembers the keys of the entries that were reported. */
export class UnreadableEntries {
  private readonly reported = new Set<string>();

  private readonly listener: UnreadableListener;

  /**
   * @param listener - called once for each unreadable entry.
   */
  constructor(listener: UnreadableListener) {
    this.listener = listener;
  }

  /**
   * Reports an entry unless it was reported before.
   *
   * @param key - key of the entry.
   * @param message - what is wrong with it.
   */
  report(key: string, message: string): void {
    const kept = key.slice(0, KEPT_CHARACTERS);
    if (this.reported.has(kept)) return;
    if (this.reported.size >= MAXIMUM_REPORTED) this.reported.clear();
    this.reported.add(kept);
    this.listener(kept, message);
  }

  /**
   * Forgets an entry that is readable again or was removed, so that it is reported again if it becomes unreadable.
   *
   * @param key - key of the entry.
   */
  clear(key: string): void {
    this.reported.delete(key.slice(0, KEPT_CHARACTERS));
  }
}
