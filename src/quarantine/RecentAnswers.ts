/**
 * Times at which requests were last answered by a runner: a request that was answered does not crash runners.
 */

/** Maximum number of entries; holds some minutes of a daemon's requests. */
const MAXIMUM_ENTRIES = 2_048;

/** Keeps the latest answers. */
export class RecentAnswers {
  /** Time of the last answer by digest, in monotonic ms; the oldest first. */
  private readonly answeredAt = new Map<string, number>();

  /**
   * @param digest - digest of a request that a runner has answered.
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
   * @param digest - digest of a request.
   * @returns When a runner last answered it, in monotonic ms; `undefined` if no answer is known.
   */
  of(digest: string): number | undefined {
    return this.answeredAt.get(digest);
  }
}
