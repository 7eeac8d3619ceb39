/**
 * The requests in flight at this daemon, by what they have in common.
 */
import type { CrashSubject } from './quarantineTypes.js';

/** Called when an in-flight request may have to end because a verdict concerns one of its subjects. */
export type QuarantineListener = () => void;

/** Keeps the listeners of the requests. */
export class InFlightSubjects {
  private readonly listeners = new Map<string, Set<QuarantineListener>>();

  /**
   * @param subjects - subjects of a request that is about to be sent to runners.
   * @param listener - called when it may have to end.
   */
  add(subjects: readonly CrashSubject[], listener: QuarantineListener): void {
    for (const { digest } of subjects) {
      const listeners = this.listeners.get(digest) ?? new Set();
      listeners.add(listener);
      this.listeners.set(digest, listeners);
    }
  }

  /**
   * @param subjects - subjects of a request that has ended.
   * @param listener - the one that was added.
   */
  delete(subjects: readonly CrashSubject[], listener: QuarantineListener): void {
    for (const { digest } of subjects) {
      const listeners = this.listeners.get(digest);
      listeners?.delete(listener);
      if (listeners?.size === 0) this.listeners.delete(digest);
    }
  }

  /**
   * @param digest - digest of a subject.
   * @returns Number of requests with it.
   */
  countOf(digest: string): number {
    return this.listeners.get(digest)?.size ?? 0;
  }

  /**
   * Calls the listeners of all requests with a subject.
   *
   * @param digest - its digest.
   */
  notify(digest: string): void {
    for (const listener of [...(this.listeners.get(digest) ?? [])]) listener();
  }
}
