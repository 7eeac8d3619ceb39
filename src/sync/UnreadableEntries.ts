/**
 * Reports each entry that cannot be read once: one that another writer renews each second would otherwise fill the log.
 */

/** Entries that are remembered as reported; more of them at once are reported again. */
const MAXIMUM_REPORTED = 500;

/** Hears of an entry that could not be read. */
export type UnreadableListener = (key: string, message: string) => void;

/** Remembers what was reported. */
export class UnreadableEntries {
  private readonly reported = new Set<string>();

  private readonly listener: UnreadableListener;

  /**
   * @param listener - hears of each one once.
   */
  constructor(listener: UnreadableListener) {
    this.listener = listener;
  }

  /**
   * @param key - of the entry.
   * @param message - what is wrong with it.
   */
  report(key: string, message: string): void {
    if (this.reported.has(key)) return;
    if (this.reported.size >= MAXIMUM_REPORTED) this.reported.clear();
    this.reported.add(key);
    this.listener(key, message);
  }

  /**
   * @param key - of an entry that is right again, or gone.
   */
  clear(key: string): void {
    this.reported.delete(key);
  }
}
