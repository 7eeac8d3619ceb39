/**
 * Timings of a lease. They bound the rate of calls to the platform's store. Only the holder and the first two
 * daemons in rendezvous order make calls.
 */

/** Timings of a lease. */
export interface LeaseTimings {
  /** How long the platform keeps a lease without renewal. */
  readonly timeToLiveMilliseconds: number;
  /** Longest time from sending an order to its effect on the engine. */
  readonly longestOrderMilliseconds: number;
  /** Share of the time to live by which the clocks of this daemon and the platform may drift apart. */
  readonly clockDriftShare: number;
  /** First wait after a failed call; doubles with each failure, up to the time to live. */
  readonly retryMilliseconds: number;
  /** A call without an answer for this long counts as failed. */
  readonly callTimeoutMilliseconds: number;
}

/** Defaults where the settings give no value. */
export const DEFAULT_LEASE_TIMINGS: LeaseTimings = {
  timeToLiveMilliseconds: 30_000,
  longestOrderMilliseconds: 15_000,
  clockDriftShare: 0.05,
  retryMilliseconds: 1_000,
  callTimeoutMilliseconds: 5_000,
};

/** Renewals per time to live: two may fail before the lease expires. */
export const RENEWALS_PER_TIME_TO_LIVE = 3;

/** Reads of the own key per time to live: one may fail before the lease expires. */
export const KEY_READS_PER_TIME_TO_LIVE = 2;

/** Interval, in times to live, at which the second daemon in rendezvous order reads the key. */
export const STANDBY_TIMES_TO_LIVE = 3;

/** Number of daemons in rendezvous order that try to acquire a lease. More would cost calls without benefit. */
export const CANDIDATE_COUNT = 2;

/**
 * How long a new holder waits before it gives orders to engines that ignore the fencing token. The old
 * holder's key may have been deleted while its lease remained valid, and its last order may still be on its
 * way.
 *
 * @param timings - timings of the lease.
 * @returns Milliseconds from the moment at which the lease was acquired.
 */
export function settlingMilliseconds(timings: LeaseTimings): number {
  return timings.timeToLiveMilliseconds + timings.longestOrderMilliseconds;
}

/**
 * Rate of calls to the platform for one lease when nothing fails.
 *
 * @param timings - timings of the lease.
 * @returns Calls per second of the holder and the standby daemons together.
 */
export function leaseCallsPerSecond({ timeToLiveMilliseconds }: LeaseTimings): number {
  const ofHolder = RENEWALS_PER_TIME_TO_LIVE + KEY_READS_PER_TIME_TO_LIVE;
  const ofStandby = 1 + 1 / STANDBY_TIMES_TO_LIVE;
  return ((ofHolder + ofStandby) * 1000) / timeToLiveMilliseconds;
}
