/**
 * Decides whether a request is retried after a failed attempt.
 */
import type { CallKind } from '../routes/routeTypes.js';
import type { AttemptFailure } from './RunnerAttempt.js';

/** `retry` at another runner; `refuse`: the request has not run; `fail`: it is not known whether it has run. */
export type RetryVerdict = 'retry' | 'refuse' | 'fail';

/** Why a request is not retried. */
export type NoRetryReason =
  | 'no_time'
  | 'too_many_not_run'
  | 'not_repeatable'
  | 'suspect'
  | 'attempts_used_up'
  | 'budget_empty';

/** The verdict and, unless it is `retry`, the reason. */
export interface RetryDecision {
  readonly verdict: RetryVerdict;
  readonly reason?: NoRetryReason;
}

/** `wait`: another attempt is in progress; `cut`: part of this answer has already been sent to the caller. */
export interface AttemptVerdict {
  readonly verdict: RetryVerdict | 'wait' | 'cut';
  readonly reason?: NoRetryReason;
}

/** Input of {@link decideRetry}. */
export interface RetryInput {
  readonly kind: CallKind;
  readonly resumable: boolean;
  readonly failure: AttemptFailure;
  /** Number of failed attempts that may have run, including this one. */
  readonly mayHaveRun: number;
  /** Number of attempts that reached no runner or were refused, including this one. */
  readonly notRun: number;
  /** How many of those the hosts of the runners refused, since no process listened there. */
  readonly notConnected: number;
  /** Maximum number of runners that may run the request. */
  readonly maximumAttempts: number;
  /** Whether a runner's server error can be sent to the caller instead. */
  readonly hasFallback?: boolean;
  /** Whether more than one runner has crashed while it was running the request. */
  readonly isSuspect?: boolean;
  /** Time left until the caller's deadline, in ms. */
  readonly remainingMilliseconds: number;
  /** Takes a retry from the fleet's budget and returns whether there was one; called only if nothing else prevents the retry. */
  readonly takeBudget: () => boolean;
}

/** Minimum time left for a retry, in ms; no runner answers faster. */
const MINIMUM_REMAINING_MILLISECONDS = 12;

/**
 * Number of attempts that reached no runner or were refused after which a request is ended. Another attempt is unlikely
 * to succeed, and the caller still has time to retry.
 */
const MAXIMUM_NOT_RUN = 6;

/**
 * Number of attempts whose connection was refused after which a request is ended. They take a round trip each, and say
 * nothing of the runners that are up.
 */
const MAXIMUM_NOT_CONNECTED = 16;

/**
 * Returns whether too many runners were unreachable or refused the request.
 *
 * A request that may have run and reached no runner is exempt, unless it has a fallback: it cannot be refused any more,
 * so it is retried until its deadline. Otherwise a stream that may have run would end without an answer after half a
 * second, because no runner accepts a connection while this daemon's network link is saturated.
 */
function hasExhaustedRunners(question: RetryInput): boolean {
  const { failure, mayHaveRun, notRun, notConnected, hasFallback = false } = question;
  const isSlowOrFull = notRun - notConnected >= MAXIMUM_NOT_RUN;
  if (!isSlowOrFull && notConnected < MAXIMUM_NOT_CONNECTED) return false;
  return failure === 'refused' || mayHaveRun === 0 || hasFallback;
}

/**
 * @param kind - kind of the call.
 * @param resumable - whether another runner may resume the stream.
 * @returns Whether a request that may have run may run again.
 */
export function isRepeatable(kind: CallKind, resumable: boolean): boolean {
  return kind === 'idempotent' || (kind === 'stream' && resumable);
}

function noRetryReason(question: RetryInput): NoRetryReason | undefined {
  const { kind, resumable, failure, mayHaveRun, maximumAttempts } = question;
  if (question.remainingMilliseconds < MINIMUM_REMAINING_MILLISECONDS) return 'no_time';
  if (hasExhaustedRunners(question)) return 'too_many_not_run';
  if (failure === 'not_connected' || failure === 'connect_timeout') return undefined;
  if (failure !== 'refused') {
    if (!isRepeatable(kind, resumable)) return 'not_repeatable';
    if (question.isSuspect) return 'suspect';
    if (mayHaveRun >= maximumAttempts) return 'attempts_used_up';
  }
  return question.takeBudget() ? undefined : 'budget_empty';
}

/** Input of {@link decideRetryAfterError}. */
export type ErrorRetryInput = Pick<
  RetryInput,
  'kind' | 'resumable' | 'mayHaveRun' | 'maximumAttempts' | 'remainingMilliseconds' | 'takeBudget'
>;

function noErrorRetryReason(question: ErrorRetryInput): NoRetryReason | undefined {
  if (!isRepeatable(question.kind, question.resumable)) return 'not_repeatable';
  if (question.mayHaveRun >= question.maximumAttempts) return 'attempts_used_up';
  if (question.remainingMilliseconds <= 0) return 'no_time';
  return question.takeBudget() ? undefined : 'budget_empty';
}

/**
 * @param question - request that a runner has answered with a server error.
 * @returns Whether to retry the request at another runner, and if not, why.
 */
export function decideRetryAfterError(question: ErrorRetryInput): RetryDecision {
  const reason = noErrorRetryReason(question);
  return reason === undefined ? { verdict: 'retry' } : { verdict: 'fail', reason };
}

/**
 * @param question - request and the failure of its last attempt.
 * @returns Whether to retry the request, and if not, why.
 */
export function decideRetry(question: RetryInput): RetryDecision {
  const reason = noRetryReason(question);
  if (reason === undefined) return { verdict: 'retry' };
  return { verdict: question.mayHaveRun > 0 ? 'fail' : 'refuse', reason };
}
