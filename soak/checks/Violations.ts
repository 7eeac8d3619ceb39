/**
 * Promises that were broken in a run of the soak.
 */

/** One of them. */
export interface Violation {
  /** Which promise. */
  readonly promise: string;
  /** What was seen. */
  readonly text: string;
  /** The request, where there is one. */
  readonly request?: string;
  /** Monotonic ms. */
  readonly at: number;
}

/** Collects them, and counts what was looked at: a check that never had anything to look at proves nothing. */
export class Violations {
  readonly all: Violation[] = [];

  readonly looked = new Map<string, number>();

  /** Figures too small to judge in one play, which can be added up over many. */
  readonly figures: string[] = [];

  /** Requests that a fault excused from a promise. */
  excused = 0;

  /**
   * @param promise - that was looked at.
   * @param holds - whether it is kept.
   * @param text - what was seen.
   * @param request - the request's id, where there is one.
   */
  check(promise: string, holds: boolean, text: () => string, request?: string): void {
    this.looked.set(promise, (this.looked.get(promise) ?? 0) + 1);
    if (holds) return;
    const at = performance.now();
    this.all.push({ promise, text: text(), at, ...(request !== undefined && { request }) });
  }
}
