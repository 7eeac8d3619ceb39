/**
 * Crashes of runners, and what the requests that were running there have in common.
 */

/** What a crash may be due to: a whole request, or a part of prompts that requests share. */
export interface CrashSubject {
  /** Identifies it; the same for each arrival, at any daemon. */
  readonly digest: string;
  /** Service and id of a part, for operators; `undefined` for a whole request. */
  readonly part?: string | undefined;
}

/** A crash of one incarnation of a runner. */
export interface RunnerCrash {
  /** Hash of the name of the incarnation. */
  readonly life: number;
  /** When it crashed, in monotonic ms. */
  readonly at: number;
  /** Hash of the version of its software; 0 or missing if it has none. */
  readonly versionHash?: number | undefined;
  /** Whether it crashed because it had to reject too many requests, so that no request is to blame. */
  readonly isOverload?: boolean;
}

/** An answer of a runner. */
export interface VersionAnswer {
  /** Hash of the version of its software. */
  readonly versionHash: number;
  /** Up to when crashes of runners of this version do not count, in monotonic ms. */
  readonly at: number;
}

/** Crashes that occurred while requests with a given subject were running, as daemons exchange them. */
export interface CrashSummary extends CrashSubject {
  readonly crashes: readonly RunnerCrash[];
  /** When the subject was last released, in monotonic ms; `undefined` if it never was. */
  readonly clearedAt: number | undefined;
  /** The latest answer of each software version. */
  readonly answers?: readonly VersionAnswer[] | undefined;
}

/**
 * State of a subject:
 * - `sound`: no crash counts against it.
 * - `suspect`: runners have crashed while running it, but fewer than the quarantine requires.
 * - `quarantined`: it explains several crashes, possibly together with others that were always beside it.
 */
export type SubjectState = 'sound' | 'suspect' | 'quarantined';
