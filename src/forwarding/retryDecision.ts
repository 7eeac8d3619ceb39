/**
 * What becomes of a request whose attempt has failed.
 */
import type { CallKind } from '../routes/routeTypes.js';
import type { AttemptFailure } from './RunnerAttempt.js';

/** Retry at another runner, refuse with "not run", or fail with an outcome that is not known. */
export type RetryVerdict = 'retry' | 'refuse' | 'fail';

/** What the verdict depends on. */
export interface RetryQuestion {
  readonly kind: CallKind;
  readonly resumable: boolean;
  readonly failure: AttemptFailure;
  /** Attempts that may have run, with this one. */
  readonly mayHaveRun: number;
  /** Attempts that reached no runner or were refused, with this one. */
  readonly notRun: number;
  /** Runners that may run the request. */
  readonly maximumAttempts: number;
  /** Whether the caller can be given a runner's own error instead. */
  readonly hasFallback?: boolean;
  /** Until the caller's deadline, in ms. */
  readonly remainingMilliseconds: number;
  /** Whether the fleet's retry budget has room; asked only where it matters. */
  readonly takeBudget: () => boolean;
}

/** Less than this is not enough for any runner to answer, in ms. */
const MINIMUM_REMAINING_MILLISECONDS = 12;

/** A request that this many runners did not take finds no other that does, and is refused while its caller has time. */
const MAXIMUM_NOT_RUN = 6;

/**
 * What goes wrong otherwise: a stream that may have run is ended without an answer after half a second, because no
 * runner accepts a connection while this daemon's link is full. It cannot be refused, so it goes on while it has time.
 */
function hasTriedEnough(question: RetryQuestion): boolean {
  const { failure, mayHaveRun, notRun, hasFallback = false } = question;
  if (notRun < MAXIMUM_NOT_RUN) return false;
  return failure === 'refused' || mayHaveRun === 0 || hasFallback;
}

/**
 * @param kind - what may be repeated.
 * @param resumable - whether a stream may go on elsewhere.
 * @returns Whether a request that may have run may run again.
 */
export function isRepeatable(kind: CallKind, resumable: boolean): boolean {
  return kind === 'idempotent' || (kind === 'stream' && resumable);
}

/**
 * @param question - the request and its failure.
 * @returns What to do now.
 */
export function decideRetry(question: RetryQuestion): RetryVerdict {
  const { kind, resumable, failure, mayHaveRun, maximumAttempts } = question;
  const otherwise = mayHaveRun > 0 ? 'fail' : 'refuse';
  if (question.remainingMilliseconds < MINIMUM_REMAINING_MILLISECONDS) return otherwise;
  if (hasTriedEnough(question)) return otherwise;
  if (failure === 'not_connected' || failure === 'connect_timeout') return 'retry';
  if (failure === 'refused') return question.takeBudget() ? 'retry' : otherwise;
  if (!isRepeatable(kind, resumable) || mayHaveRun >= maximumAttempts) return otherwise;
  return question.takeBudget() ? 'retry' : otherwise;
}
