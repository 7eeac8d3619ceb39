/**
 * Decides what a failure at the runner means for the owner of the request: whether to resume, and which
 * outcome code to report. Pure functions.
 */
import type { OutcomeCode } from '../requests/requestTypes.js';
import type { UpstreamEvent } from '../upstreams/Upstream.js';

/** Why an answer is incomplete. */
export type AttemptFailure = Pick<
  Extract<UpstreamEvent, { kind: 'failed' }>,
  'reason' | 'message' | 'resumable'
>;

/** The input of {@link attemptFailureCode}. */
export interface FailureCodeInput {
  readonly failure: AttemptFailure;
  /** Why this daemon stopped the attempt, if it did. */
  readonly stopReason: 'cancelled' | 'deadline' | undefined;
  /** Whether the attempt was resumed, that is, the runner was asked for the rest of an answer. */
  readonly resumed: boolean;
  /** Whether the answer had begun. */
  readonly begun: boolean;
  readonly streaming: boolean;
  readonly idempotent: boolean;
}

/** Failure reasons after which a resume helps, because they concern the connection and not the answer. */
const RESUMED_REASONS: ReadonlySet<AttemptFailure['reason']> = new Set([
  'cut',
  'crossed',
  'timeout',
]);

/**
 * Decides whether to resume an attempt after a failure.
 *
 * @param failure - why the answer is incomplete.
 * @returns Whether to ask the runner for the rest of the answer.
 */
export function shouldResume({ reason, resumable }: AttemptFailure): boolean {
  return resumable && RESUMED_REASONS.has(reason);
}

/**
 * Finds the outcome code of a failed attempt.
 *
 * @param attempt - the failure and the state of the attempt.
 * @returns The code that the owner of the request receives.
 */
export function attemptFailureCode({
  failure,
  stopReason,
  resumed,
  begun,
  streaming,
  idempotent,
}: FailureCodeInput): OutcomeCode {
  const isGone = resumed && failure.reason === 'unknown_attempt';
  if (isGone && stopReason === undefined) return 'cannot_resume';
  // A request that is not idempotent may have run, whatever stopped it; no other code may suggest a retry.
  if (!idempotent) return 'outcome_unknown';
  if (stopReason === 'cancelled') return 'cancelled';
  if (stopReason === 'deadline') return 'deadline_exceeded';
  if (failure.reason === 'malformed') return 'upstream_error';
  return begun && streaming ? 'stream_cut' : 'outcome_unknown';
}
