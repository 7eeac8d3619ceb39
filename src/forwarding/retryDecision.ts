/**
 * What becomes of a request whose attempt has failed.
 */
import type { CallKind } from '../routes/routeTypes.js';
import type { AttemptFailure } from './RunnerAttempt.js';

/** Retry at another runner, refuse with "not run", or fail with an outcome that is not known. */
export type RetryVerdict = 'retry' | 'refuse' | 'fail';

/** Why a request is not sent once more. */
export type NoRetryReason =
  | 'no_time'
  | 'too_many_not_run'
  | 'not_repeatable'
  | 'suspect'
  | 'attempts_used_up'
  | 'budget_empty';

/** The verdict, and why not `retry` where it is another one. */
export interface RetryDecision {
  readonly verdict: RetryVerdict;
  readonly reason?: NoRetryReason;
}

/** `wait`: another attempt is under way; `cut`: part of this answer is with the caller already. */
export interface AttemptVerdict {
  readonly verdict: RetryVerdict | 'wait' | 'cut';
  readonly reason?: NoRetryReason;
}

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
  /** Whether runners have crashed under the request before. */
  readonly isSuspect?: boolean;
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

function reasonAgainst(question: RetryQuestion): NoRetryReason | undefined {
  const { kind, resumable, failure, mayHaveRun, maximumAttempts } = question;
  if (question.remainingMilliseconds < MINIMUM_REMAINING_MILLISECONDS) return 'no_time';
  if (hasTriedEnough(question)) return 'too_many_not_run';
  if (failure === 'not_connected' || failure === 'connect_timeout') return undefined;
  if (failure !== 'refused') {
    if (!isRepeatable(kind, resumable)) return 'not_repeatable';
    if (question.isSuspect) return 'suspect';
    if (mayHaveRun >= maximumAttempts) return 'attempts_used_up';
  }
  return question.takeBudget() ? undefined : 'budget_empty';
}

/** What the verdict on a runner's own error depends on. */
export type ErrorQuestion = Pick<
  RetryQuestion,
  'kind' | 'resumable' | 'mayHaveRun' | 'maximumAttempts' | 'remainingMilliseconds' | 'takeBudget'
>;

function reasonAgainstSecondOpinion(question: ErrorQuestion): NoRetryReason | undefined {
  if (!isRepeatable(question.kind, question.resumable)) return 'not_repeatable';
  if (question.mayHaveRun >= question.maximumAttempts) return 'attempts_used_up';
  if (question.remainingMilliseconds <= 0) return 'no_time';
  return question.takeBudget() ? undefined : 'budget_empty';
}

/**
 * @param question - a request that a runner has answered with an error of its own.
 * @returns Whether another runner is asked.
 */
export function decideSecondOpinion(question: ErrorQuestion): RetryDecision {
  const reason = reasonAgainstSecondOpinion(question);
  return reason === undefined ? { verdict: 'retry' } : { verdict: 'fail', reason };
}

/**
 * @param question - the request and its failure.
 * @returns What to do now.
 */
export function decideRetry(question: RetryQuestion): RetryDecision {
  const reason = reasonAgainst(question);
  if (reason === undefined) return { verdict: 'retry' };
  return { verdict: question.mayHaveRun > 0 ? 'fail' : 'refuse', reason };
}
