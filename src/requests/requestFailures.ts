/**
 * Chooses the last event for each way in which a request can end without a complete answer.
 */
import { match } from 'ts-pattern';

import type { RefusalReason } from '../gates/gateTypes.js';
import type { RequestFailure } from './requestDecisionTypes.js';
import type { OutcomeCode } from './requestTypes.js';

/** What is known about the execution of a request when it ends. */
export interface ExecutionStatus {
  /** Whether every attempt is known not to have run. */
  readonly notRun: boolean;
  readonly idempotent: boolean;
  /** Whether the caller has received a part of the answer. */
  readonly delivered: boolean;
}

/** Retry-After when neither gate nor chooser computed one, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000;

/**
 * Chooses the code of a failure whose outcome may be unknown: for a non-idempotent request that
 * may have run, the code must not read as if the request had failed.
 *
 * @param knowledge - what is known about the execution.
 * @param code - the code to use if repeating the request does no harm.
 * @returns The code, or `outcome_unknown`.
 */
function codeUnlessUnknown(knowledge: ExecutionStatus, code: OutcomeCode): OutcomeCode {
  return knowledge.notRun || knowledge.idempotent ? code : 'outcome_unknown';
}

function codeOfRefusal(reason: RefusalReason): OutcomeCode {
  return match<RefusalReason, OutcomeCode>(reason)
    .with('above_bound', 'queue_full', () => 'overloaded')
    .with('deadline_unreachable', () => 'deadline_exceeded')
    .with('account_limit', () => 'account_limit')
    .with('cancelled', () => 'cancelled')
    .with('draining', 'runner_leaving', 'runner_down', 'runner_refused', () => 'not_run')
    .with('gate_not_here', 'gate_opening', () => 'not_run')
    .exhaustive();
}

/**
 * Failure after a gate's refusal, when no other runner is tried.
 *
 * @param knowledge - what is known about the execution.
 * @param reason - the last refusal.
 * @param retryAfterMilliseconds - as computed by the gate, in milliseconds; 0 if it computed
 *   none.
 * @returns The last event.
 */
export function refusedFailure(
  knowledge: ExecutionStatus,
  reason: RefusalReason,
  retryAfterMilliseconds: number,
): RequestFailure {
  const code = codeOfRefusal(reason);
  // If an earlier attempt of the request was lost, this refusal doesn't mean that the request did
  // not run.
  const reportedCode = code === 'not_run' && !knowledge.notRun ? 'upstream_error' : code;
  return {
    code: codeUnlessUnknown(knowledge, reportedCode),
    notRun: knowledge.notRun,
    message: `The gate refused: ${reason}.`,
    retryAfterMilliseconds: retryAfterMilliseconds || DEFAULT_RETRY_AFTER_MILLISECONDS,
  };
}

/**
 * Failure when no runner could be chosen.
 *
 * @param knowledge - what is known about the execution.
 * @param message - why no runner could be chosen.
 * @param retryAfterMilliseconds - when the caller may retry, in milliseconds.
 * @returns The last event.
 */
export function noRunnerFailure(
  knowledge: ExecutionStatus,
  message: string,
  retryAfterMilliseconds: number,
): RequestFailure {
  return {
    code: knowledge.notRun ? 'not_run' : codeUnlessUnknown(knowledge, 'upstream_error'),
    notRun: knowledge.notRun,
    message,
    retryAfterMilliseconds: retryAfterMilliseconds || DEFAULT_RETRY_AFTER_MILLISECONDS,
  };
}

/**
 * Failure when the deadline has passed.
 *
 * @param knowledge - what is known about the execution.
 * @returns The last event.
 */
export function deadlineFailure(knowledge: ExecutionStatus): RequestFailure {
  return {
    code: codeUnlessUnknown(knowledge, 'deadline_exceeded'),
    notRun: knowledge.notRun,
    message: 'The deadline passed.',
  };
}

/**
 * Failure when the caller cancelled or disconnected.
 *
 * @param knowledge - what is known about the execution.
 * @returns The last event.
 */
export function cancelledFailure(knowledge: ExecutionStatus): RequestFailure {
  return { code: 'cancelled', notRun: knowledge.notRun, message: 'The request was cancelled.' };
}

/**
 * Failure when a stream broke and could not be resumed in time, or an attempt was lost.
 *
 * @param knowledge - what is known about the execution.
 * @param message - what broke.
 * @param resumable - whether the caller may resume the stream with `Last-Event-ID`.
 * @returns The last event.
 */
export function cutFailure(
  knowledge: ExecutionStatus,
  message: string,
  resumable: boolean,
): RequestFailure {
  if (!knowledge.delivered) {
    return {
      code: codeUnlessUnknown(knowledge, 'upstream_error'),
      notRun: knowledge.notRun,
      message,
      retryAfterMilliseconds: DEFAULT_RETRY_AFTER_MILLISECONDS,
    };
  }
  return {
    code: 'stream_cut',
    notRun: false,
    message,
    resumable,
    retryAfterMilliseconds: DEFAULT_RETRY_AFTER_MILLISECONDS,
  };
}

/**
 * Failure when a caller resumes an answer that no runner has any more. Reported as another cut,
 * it would make the caller resume for ever.
 *
 * @param message - the message of the gate.
 * @returns The last event.
 */
export function cannotResumeFailure(message: string): RequestFailure {
  return { code: 'cannot_resume', notRun: false, message, resumable: false };
}

/**
 * Failure that the gate reported after the attempt reached the runner.
 *
 * @param knowledge - what is known about the execution.
 * @param code - the code of the gate.
 * @param message - the message of the gate.
 * @param retryAfterMilliseconds - as computed by the gate, in milliseconds; 0 if it computed
 *   none.
 * @returns The last event.
 */
export function reportedFailure(
  knowledge: ExecutionStatus,
  code: OutcomeCode,
  message: string,
  retryAfterMilliseconds: number,
): RequestFailure {
  const reportedCode = code === 'not_run' && !knowledge.notRun ? 'upstream_error' : code;
  return {
    code:
      knowledge.delivered || reportedCode === 'cancelled'
        ? reportedCode
        : codeUnlessUnknown(knowledge, reportedCode),
    notRun: knowledge.notRun,
    message,
    ...(retryAfterMilliseconds > 0 && { retryAfterMilliseconds }),
  };
}
