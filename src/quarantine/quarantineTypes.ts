/**
 * Crashes of runners, and the requests that were running there.
 */

/** A crash of one incarnation of a runner. */
export interface RunnerCrash {
  /** Hash of the name of the incarnation. */
  readonly life: number;
  /** When it crashed, in monotonic ms. */
  readonly at: number;
  /** Whether it crashed because it had to reject too many requests, so that no request is to blame. */
  readonly isOverload?: boolean;
}

/** Crashes that occurred while a given request was running, as daemons exchange them. */
export interface CrashSummary {
  /** Digest of the request. */
  readonly digest: string;
  readonly crashes: readonly RunnerCrash[];
  /**
   * When the request was last answered or released, in monotonic ms; `undefined` if it never was.
   */
  readonly clearedAt: number | undefined;
}

/**
 * State of a request:
 * - `sound`: no crash counts against it.
 * - `suspect`: runners have crashed while running it, but fewer than the quarantine requires.
 * - `quarantined`: it is sent to no runner.
 */
export type RequestState = 'sound' | 'suspect' | 'quarantined';
