/**
 * When requests were last answered by a runner: what has been answered does not crash runners.
 */

/** Some minutes of a daemon's requests. */
const MAXIMUM_ENTRIES = 2_048;

/** Keeps the latest ones. */
export class RecentAnswers {
  /** By digest, the oldest first. */
  private readonly answeredAt = new Map<string, number>();

  /**
   * @param digest - of a request that a runner has answered.
   * @param now - monotonic ms.
   */
  record(digest: string, now: number): void {
    this.answeredAt.delete(digest);
    this.answeredAt.set(digest, now);
    if (this.answeredAt.size <= MAXIMUM_ENTRIES) return;
    const [oldest] = this.answeredAt.keys();
    if (oldest !== undefined) this.answeredAt.delete(oldest);
  }

  /**
   * @param digest - of a request.
   * @returns When a runner last answered it, monotonic ms; `undefined` where nothing is known of that.
   */
  of(digest: string): number | undefined {
    return this.answeredAt.get(digest);
  }
}
