/**
 * The daemon's own answer to a request that no runner has answered.
 */
import type { Unavailability } from '../runners/unavailability.js';
import type { OwnAnswer } from './AnswerRelay.js';
import type { AttemptFailure } from './RunnerAttempt.js';

/** Runners free a place within about this time, in seconds. */
const REFUSED_RETRY_SECONDS = 0.25;

/** Callers are told tenths of a second. */
const STEP_MILLISECONDS = 100;
const STEPS_PER_SECOND = 10;

/** What the answer depends on. */
export interface OwnAnswerQuestion {
  /** `refuse`: no runner has run the request, and none will; `fail`: one may have. */
  readonly verdict: 'refuse' | 'fail';
  /** Of the last attempt; `undefined` where no runner was left for another one. */
  readonly failure?: AttemptFailure | undefined;
  /** Whether the caller's deadline has passed. */
  readonly isLate: boolean;
  /** What keeps the service's runners from the request. */
  readonly unavailability: Unavailability;
}

/**
 * @param question - how the request stands.
 * @returns What the caller gets.
 */
export function ownAnswerFor(question: OwnAnswerQuestion): OwnAnswer {
  const { verdict, failure, isLate, unavailability } = question;
  const { reason: unavailable, pauseMilliseconds = 0 } = unavailability;
  const reason = failure ?? unavailable;
  if (verdict === 'refuse') {
    const pauseSeconds = Math.ceil(pauseMilliseconds / STEP_MILLISECONDS) / STEPS_PER_SECOND;
    const retryAfterSeconds = Math.max(REFUSED_RETRY_SECONDS, pauseSeconds);
    return { status: 503, reason, retryAfterSeconds };
  }
  return { status: isLate ? 504 : 502, reason };
}
