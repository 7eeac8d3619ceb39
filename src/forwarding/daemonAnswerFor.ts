/**
 * Builds the daemon's error answer to a request that no runner has answered.
 */
import type { SelectionRefusal } from '../runners/RunnerSelector.js';
import type { Unavailability } from '../runners/unavailability.js';
import type { DaemonAnswer } from './AnswerRelay.js';
import type { AttemptFailure } from './RunnerAttempt.js';

/** Minimum `Retry-After`, in seconds; a slot at a runner becomes free within about this time. */
const REFUSED_RETRY_SECONDS = 0.25;

/** `Retry-After` is rounded up to tenths of a second; in ms. */
const ROUNDING_MILLISECONDS = 100;
const ROUNDING_STEPS_PER_SECOND = 10;

const MILLISECONDS_PER_SECOND = 1_000;

/** Input of {@link daemonAnswerFor}. */
export interface DaemonAnswerInput {
  /** `refuse`: no runner has run the request, and none will; `fail`: a runner may have run it. */
  readonly verdict: 'refuse' | 'fail';
  /**
   * Failure of the last attempt, or `no_path` if neither this daemon nor another one reached a runner; `undefined` if no
   * runner was left for another attempt.
   */
  readonly failure?: AttemptFailure | 'no_path' | undefined;
  /** Whether the caller's deadline has passed. */
  readonly isLate: boolean;
  /** Why no runner of the service can take the request. */
  readonly unavailability: Unavailability;
}

/** Retries come back at the rate that can be served, so they are spread more finely than other ones; in ms. */
const SPREAD_MILLISECONDS = 10;

/**
 * @param refusal - the service has no capacity to serve the request in time.
 * @returns Answer for the caller.
 */
export function refusedAnswer({ reason, retryAfterMilliseconds }: SelectionRefusal): DaemonAnswer {
  const steps = Math.ceil(retryAfterMilliseconds / SPREAD_MILLISECONDS);
  const retryAfterSeconds = (steps * SPREAD_MILLISECONDS) / MILLISECONDS_PER_SECOND;
  return { status: 503, reason, retryAfterSeconds };
}

/**
 * @param question - state of the request.
 * @returns Answer for the caller.
 */
export function daemonAnswerFor(question: DaemonAnswerInput): DaemonAnswer {
  const { verdict, failure, isLate, unavailability } = question;
  const { reason: unavailable, pauseMilliseconds = 0 } = unavailability;
  const reason = failure ?? unavailable;
  if (verdict === 'refuse' && unavailable === 'no_runner_of_version') {
    // Coming back later changes nothing: a version that has left does not return.
    return { status: 503, reason };
  }
  if (verdict === 'refuse') {
    const pauseSeconds =
      Math.ceil(pauseMilliseconds / ROUNDING_MILLISECONDS) / ROUNDING_STEPS_PER_SECOND;
    const retryAfterSeconds = Math.max(REFUSED_RETRY_SECONDS, pauseSeconds);
    return { status: 503, reason, retryAfterSeconds };
  }
  return { status: isLate ? 504 : 502, reason };
}
