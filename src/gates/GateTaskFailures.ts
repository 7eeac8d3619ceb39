/**
 * What a fault at the runner means for the attempt's owner. Pure.
 */
import type { OutcomeCode } from '../requests/requestTypes.js';
import type { UpstreamEvent } from '../upstreams/Upstream.js';

/** Why an answer is not whole. */
export type AttemptFailure = Pick<
  Extract<UpstreamEvent, { kind: 'failed' }>,
  'reason' | 'message' | 'resumable'
>;

/** What has to be known to name a failure. */
export interface FailedAttempt {
  readonly failure: AttemptFailure;
  /** Whether this side stopped it. */
  readonly stopReason: 'cancelled' | 'deadline' | undefined;
  /** Whether the runner was asked for the rest of an answer rather than for the whole. */
  readonly resumed: boolean;
  /** Whether the answer had begun. */
  readonly begun: boolean;
  readonly streaming: boolean;
  readonly idempotent: boolean;
}

/** Faults of the way rather than of the answer. */
const TAKEN_UP_AGAIN: ReadonlySet<AttemptFailure['reason']> = new Set([
  'cut',
  'crossed',
  'timeout',
]);

/**
 * @param failure - why an answer is not whole.
 * @returns Whether to ask the runner for the rest.
 */
export function canTakeUpAgain({ reason, resumable }: AttemptFailure): boolean {
  return resumable && TAKEN_UP_AGAIN.has(reason);
}

/**
 * @param attempt - how it failed.
 * @returns The code that the owner of the request sees.
 */
export function attemptFailureCode({
  failure,
  stopReason,
  resumed,
  begun,
  streaming,
  idempotent,
}: FailedAttempt): OutcomeCode {
  const isGone = resumed && failure.reason === 'unknown_attempt';
  if (isGone && stopReason === undefined) return 'cannot_resume';
  // Whatever stopped it: what may not run twice may have run, and the caller must not be led to repeat it.
  if (!idempotent) return 'outcome_unknown';
  if (stopReason === 'cancelled') return 'cancelled';
  if (stopReason === 'deadline') return 'deadline_exceeded';
  if (failure.reason === 'malformed') return 'upstream_error';
  return begun && streaming ? 'stream_cut' : 'outcome_unknown';
}
