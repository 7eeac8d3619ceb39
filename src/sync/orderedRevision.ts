/**
 * Revisions of the store that only grow, also when the store is restored from an older copy.
 *
 * A restored store gives revisions out again. It counts its restores, and this count, its epoch, is the high part of an
 * ordered revision; the store's own revision is the low part. Any two ordered revisions compare as numbers, in memory and
 * in messages between daemons.
 */

/** Number of revisions in an epoch: enough for 400 writes a second over 20 years. */
const REVISIONS_PER_EPOCH = 2 ** 38;

/** Largest epoch for which an ordered revision is an exact number. */
export const LARGEST_EPOCH = 2 ** 15 - 1;

/** A position in the history of the store. */
export interface StorePosition {
  /** Number of times that the store has been restored. */
  readonly epoch: number;
  /** The store's own revision within the epoch. */
  readonly revision: number;
}

/**
 * @param position - epoch and revision of the store.
 * @returns The ordered revision.
 */
export function orderedRevisionOf({ epoch, revision }: StorePosition): number {
  return epoch * REVISIONS_PER_EPOCH + revision;
}

/**
 * @param ordered - an ordered revision.
 * @returns Its epoch.
 */
export function epochOf(ordered: number): number {
  return Math.floor(ordered / REVISIONS_PER_EPOCH);
}

/**
 * @param ordered - an ordered revision.
 * @returns The epoch, and the store's own revision as its operators see it.
 */
export function storePositionOf(ordered: number): StorePosition {
  return { epoch: epochOf(ordered), revision: ordered % REVISIONS_PER_EPOCH };
}

/**
 * @param ordered - an ordered revision.
 * @returns Fields of log lines: the store's own revision, and its epoch if it has been restored.
 */
export function revisionFields(ordered: number): { revision: number; epoch?: number } {
  const { epoch, revision } = storePositionOf(ordered);
  return epoch > 0 ? { epoch, revision } : { revision };
}
