/**
 * What is known of requests under which runners have crashed.
 */

/** The end of one life of one runner. */
export interface RunnerCrash {
  /** Hash of the runner's life. */
  readonly life: number;
  /** Monotonic ms. */
  readonly at: number;
}

/** What one daemon tells another of a request. */
export interface CrashNews {
  /** Of the request. */
  readonly digest: string;
  readonly crashes: readonly RunnerCrash[];
  /** When it was last answered or released, monotonic ms; `undefined` where it never was. */
  readonly clearedAt: number | undefined;
}

/**
 * `sound`: nothing speaks against it; `suspect`: runners have crashed under it, fewer than it takes; `quarantined`: it
 * is sent to no runner.
 */
export type RequestStanding = 'sound' | 'suspect' | 'quarantined';
