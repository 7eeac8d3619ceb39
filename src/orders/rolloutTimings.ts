/**
 * Timings and limits of the roll-out's work on runners.
 */

/** Timings and limits of a roll-out. */
export interface RolloutTimings {
  /** Interval between state reads of a runner that is not being changed. */
  readonly steadyReadMilliseconds: number;
  /** Interval between state reads of a runner that is being changed or is unresponsive. */
  readonly activeReadMilliseconds: number;
  /** After this time a drain counts as in force, even if a daemon has not confirmed its revision. */
  readonly drainPatienceMilliseconds: number;
  /** Time after a drain came into force within which requests already sent to the runner arrive. */
  readonly drainMarginMilliseconds: number;
  /** Requests in progress that last longer than this halt the roll-out. They are not aborted. */
  readonly longestDrainMilliseconds: number;
  /** An unresponsive runner counts as unavailable after this time. */
  readonly silencePatienceMilliseconds: number;
  /** An unresponsive runner that was drained for the roll-out halts it after this time. */
  readonly longestSilenceMilliseconds: number;
  /** A load may take this multiple of its duration at the pool's full rate from the weight store ... */
  readonly loadSlowness: number;
  /** ... plus this time. */
  readonly loadAllowanceMilliseconds: number;
  /** How often the same order is issued in a row to a runner on which it has no effect. */
  readonly orderAttempts: number;
  /** Changes of the configuration are batched for this long, because each costs the platform a write. */
  readonly gatherMilliseconds: number;
  /** Wait before a failed change is retried. */
  readonly changeRetryMilliseconds: number;
}

/** Defaults where the settings give no value. */
export const DEFAULT_ROLLOUT_TIMINGS: RolloutTimings = {
  steadyReadMilliseconds: 30_000,
  activeReadMilliseconds: 2_000,
  drainPatienceMilliseconds: 10_000,
  drainMarginMilliseconds: 2_000,
  longestDrainMilliseconds: 600_000,
  silencePatienceMilliseconds: 10_000,
  longestSilenceMilliseconds: 60_000,
  loadSlowness: 3,
  loadAllowanceMilliseconds: 60_000,
  orderAttempts: 3,
  gatherMilliseconds: 2_000,
  changeRetryMilliseconds: 5_000,
};
