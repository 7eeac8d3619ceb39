/**
 * Tracks a restore of the store from an older copy: what was known before, and when a full read decides what was lost.
 */
import { epochOf } from './orderedRevision.js';
import { LAPSE_GRACE_MILLISECONDS } from './StoreOutageDetector.js';

/** Holds the latest restore until it has been reported and confirmed by a full read. */
export class StoreRestoreTracker {
  /** Ordered revision that was known before a restore that has not been reported yet. */
  private unreportedFrom: number | undefined;

  /** When a full read is due, monotonic ms. */
  private confirmAt = Number.POSITIVE_INFINITY;

  /**
   * Compares the epoch of a state that is about to be applied with what is known.
   *
   * @param known - ordered revision that is known; 0 before the first read.
   * @param revision - ordered revision of the new state.
   * @param now - monotonic milliseconds.
   * @returns Whether the store has been restored in between.
   */
  detect(known: number, revision: number, now: number): boolean {
    if (known === 0 || epochOf(revision) <= epochOf(known)) return false;
    this.unreportedFrom = known;
    this.confirmAt = now + LAPSE_GRACE_MILLISECONDS;
    return true;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Whether a full read is due: runners and operators had time to write again what the copy lacks.
   */
  isFullReadDue(now: number): boolean {
    return now >= this.confirmAt;
  }

  /**
   * Records a full read.
   *
   * @param now - monotonic milliseconds.
   */
  recordFullRead(now: number): void {
    if (this.isFullReadDue(now)) this.confirmAt = Number.POSITIVE_INFINITY;
  }

  /** @returns The ordered revision known before a restore that has not been returned yet; `undefined` if there is none. */
  takeUnreported(): number | undefined {
    const revision = this.unreportedFrom;
    this.unreportedFrom = undefined;
    return revision;
  }
}
