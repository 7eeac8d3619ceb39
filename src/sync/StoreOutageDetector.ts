/**
 * Detects whether the store was recently unavailable for all daemons, so that missing entries may only have lapsed.
 *
 * A daemon that is cut off, or that the store refuses, sees the same as in an outage of the store: its calls fail. If it
 * took that for an outage, it would keep runners that left in the meantime as lapsed, and send them requests for seconds.
 * Whether other daemons have had answers from the store distinguishes the two cases.
 */

/** Shortest outage in which entries may lapse, in ms. */
const OUTAGE_MILLISECONDS = 1_000;

/**
 * How long missing entries may come back after an outage, in ms. Runners whose entries lapsed register again within about
 * two seconds of the store's return.
 */
export const LAPSE_GRACE_MILLISECONDS = 2_300;

/**
 * How long an entry that is missing after a restore of the store is waited for at most, in ms. Daemons that read the store
 * learn from a full read after the grace period which entries are gone, and tell the others.
 */
const RESTORE_WAIT_MILLISECONDS = 7_000;

/** Derives outages of the store from the answers that this daemon and others got, and gives the grace period. */
export class StoreOutageDetector {
  /** Latest time at which the store is known to have answered this daemon or another one, monotonic ms. */
  private answeredAt = Number.NEGATIVE_INFINITY;

  /** Whether a call of this daemon has failed since then. */
  private hasFailed = false;

  private graceUntil = Number.NEGATIVE_INFINITY;

  /** Until when to wait for entries that go missing in the grace period, monotonic ms. */
  private waitUntil = Number.NEGATIVE_INFINITY;

  /** Records that a call of this daemon failed. */
  failed(): void {
    this.hasFailed = true;
  }

  /**
   * Records that the store has answered this daemon or another one. If calls of this daemon have failed and no daemon is
   * known to have had an answer for long enough, the store may have been unavailable.
   *
   * @param at - when, monotonic milliseconds.
   */
  recordAnswer(at: number): void {
    if (at <= this.answeredAt) return;
    if (this.hasFailed && at - this.answeredAt > OUTAGE_MILLISECONDS) this.suspect(at);
    this.answeredAt = at;
    this.hasFailed = false;
  }

  /**
   * Starts the grace period: this daemon or another one suspects that the store was unavailable until now.
   *
   * @param now - monotonic milliseconds.
   */
  suspect(now: number): void {
    this.graceUntil = Math.max(this.graceUntil, now + LAPSE_GRACE_MILLISECONDS);
    this.waitUntil = Math.max(this.waitUntil, this.graceUntil);
  }

  /**
   * Starts the grace period because the store has been restored from an older copy, which lacks the latest entries.
   *
   * @param now - monotonic milliseconds.
   */
  restored(now: number): void {
    this.suspect(now);
    this.waitUntil = now + RESTORE_WAIT_MILLISECONDS;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Time since the latest known answer of the store to any daemon, in ms.
   */
  silentMilliseconds(now: number): number {
    return now - this.answeredAt;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Until when to wait for an entry that is missing now, monotonic ms; `undefined` outside a grace period, when
   *   a missing entry has been removed for good.
   */
  graceDeadline(now: number): number | undefined {
    return now < this.graceUntil ? this.waitUntil : undefined;
  }
}
