/**
 * Timeouts, pauses and limits of one request.
 */

/** Timeouts, pauses and limits of one request; all times are in milliseconds. */
export interface RequestTimings {
  /** Timeout for the answer of the chat's home. */
  readonly homeTimeoutMilliseconds: number;
  /**
   * Subtracted from the deadline at each hop, so that the inner side refuses before the outer one
   * gives up.
   */
  readonly hopReserveMilliseconds: number;
  /**
   * Maximum number of attempts of one request: the first, placement steps, retries and hedges
   * together.
   */
  readonly maximumAttempts: number;
  /** Delay after which an idempotent request that has not started is hedged; 0 disables hedging. */
  readonly hedgeAfterMilliseconds: number;
  /** Pause before the second consecutive resume; doubles for each further one. */
  readonly resumePauseMilliseconds: number;
  /** Maximum pause between resumes. */
  readonly maximumResumePauseMilliseconds: number;
  /**
   * Maximum number of consecutive resumes without a new chunk; after that the stream counts as
   * cut.
   */
  readonly maximumResumesInARow: number;
  /** Maximum number of resumes of one request. */
  readonly maximumResumes: number;
  /** Time without an event after which the daemon that a reading goes through is looked up. */
  readonly gateCheckMilliseconds: number;
  /** Time without an event after which a started stream is resumed. */
  readonly streamIdleMilliseconds: number;
}

/** Defaults; `docs/design/retries.md` gives the reasons. */
export const DEFAULT_REQUEST_TIMINGS: RequestTimings = Object.freeze({
  homeTimeoutMilliseconds: 50,
  hopReserveMilliseconds: 10,
  maximumAttempts: 5,
  hedgeAfterMilliseconds: 0,
  resumePauseMilliseconds: 50,
  maximumResumePauseMilliseconds: 1_000,
  maximumResumesInARow: 12,
  maximumResumes: 50,
  gateCheckMilliseconds: 1_000,
  streamIdleMilliseconds: 15_000,
});
