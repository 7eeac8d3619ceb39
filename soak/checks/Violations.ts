/**
 * Promises that were broken in a soak.
 */

/** One broken promise. */
export interface Violation {
  /** Name of the promise. */
  readonly promise: string;
  /** What was observed. */
  readonly text: string;
  /** Id of the request, if it concerns one. */
  readonly request?: string;
  /** When it was found, monotonic ms. */
  readonly at: number;
}

/** Collects violations and counts the checks; a promise that was never checked is not proved. */
export class Violations {
  readonly all: Violation[] = [];

  readonly checked = new Map<string, number>();

  /** Figures for the report that are too small to judge in one soak, but can be added up over many. */
  readonly figures: string[] = [];

  /** Number of requests that a fault excused from a promise. */
  excused = 0;

  /**
   * @param promise - name of the promise that was checked.
   * @param holds - whether it is kept.
   * @param text - returns what was observed.
   * @param request - id of the request, if it concerns one.
   */
  check(promise: string, holds: boolean, text: () => string, request?: string): void {
    this.checked.set(promise, (this.checked.get(promise) ?? 0) + 1);
    if (holds) return;
    const at = performance.now();
    this.all.push({ promise, text: text(), at, ...(request !== undefined && { request }) });
  }
}
