/**
 * Which last event a caller gets for each way in which a request can end without its answer.
 */
import { match } from 'ts-pattern';

import type { RefusalReason } from '../gates/gateTypes.js';
import type { RequestFailure } from './requestDecisionTypes.js';
import type { OutcomeCode } from './requestTypes.js';

/** What is known of a request when it ends. */
export interface RequestKnowledge {
  /** No attempt that could have reached a runner is left unexplained. */
  readonly notRun: boolean;
  readonly idempotent: boolean;
  /** The caller has seen a part of the answer. */
  readonly delivered: boolean;
}

/** When to come back if nobody worked out a better time, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000;

/**
 * The code for a failure whose end is not known: a non-idempotent request must not read as if it failed.
 *
 * @param knowledge - what is known.
 * @param code - the code when repeating does no harm.
 * @returns The code to use.
 */
function unlessUnknown(knowledge: RequestKnowledge, code: OutcomeCode): OutcomeCode {
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
 * A gate refused and nobody else is asked.
 *
 * @param knowledge - what is known.
 * @param reason - the last refusal.
 * @param retryAfterMilliseconds - as the gate worked it out; 0 when it did not.
 * @returns The last event.
 */
export function refusedFailure(
  knowledge: RequestKnowledge,
  reason: RefusalReason,
  retryAfterMilliseconds: number,
): RequestFailure {
  const code = codeOfRefusal(reason);
  // An earlier attempt of the same request was lost: then this refusal does not speak for the request.
  const told = code === 'not_run' && !knowledge.notRun ? 'upstream_error' : code;
  return {
    code: unlessUnknown(knowledge, told),
    notRun: knowledge.notRun,
    message: `The gate refused: ${reason}.`,
    retryAfterMilliseconds: retryAfterMilliseconds || DEFAULT_RETRY_AFTER_MILLISECONDS,
  };
}

/**
 * Nobody could be chosen.
 *
 * @param knowledge - what is known.
 * @param message - why.
 * @param retryAfterMilliseconds - when to come back.
 * @returns The last event.
 */
export function nobodyFailure(
  knowledge: RequestKnowledge,
  message: string,
  retryAfterMilliseconds: number,
): RequestFailure {
  return {
    code: knowledge.notRun ? 'not_run' : unlessUnknown(knowledge, 'upstream_error'),
    notRun: knowledge.notRun,
    message,
    retryAfterMilliseconds: retryAfterMilliseconds || DEFAULT_RETRY_AFTER_MILLISECONDS,
  };
}

/**
 * The deadline passed.
 *
 * @param knowledge - what is known.
 * @returns The last event.
 */
export function deadlineFailure(knowledge: RequestKnowledge): RequestFailure {
  return {
    code: unlessUnknown(knowledge, 'deadline_exceeded'),
    notRun: knowledge.notRun,
    message: 'The deadline passed.',
  };
}

/**
 * The caller cancelled or went away.
 *
 * @param knowledge - what is known.
 * @returns The last event.
 */
export function cancelledFailure(knowledge: RequestKnowledge): RequestFailure {
  return { code: 'cancelled', notRun: knowledge.notRun, message: 'The request was cancelled.' };
}

/**
 * A stream broke and could not be resumed in time, or an attempt was lost.
 *
 * @param knowledge - what is known.
 * @param message - what broke.
 * @param resumable - whether the caller may come back with `Last-Event-ID`.
 * @returns The last event.
 */
export function cutFailure(
  knowledge: RequestKnowledge,
  message: string,
  resumable: boolean,
): RequestFailure {
  if (!knowledge.delivered) {
    return {
      code: unlessUnknown(knowledge, 'upstream_error'),
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
 * The caller came back for the rest of an answer, and no runner has it any more. Called one more cut, it would
 * bring the caller back for ever.
 *
 * @param message - the gate's words.
 * @returns The last event.
 */
export function restGoneFailure(message: string): RequestFailure {
  return { code: 'cannot_resume', notRun: false, message, resumable: false };
}

/**
 * The gate reported a failure after the attempt reached the runner.
 *
 * @param knowledge - what is known.
 * @param code - the gate's code.
 * @param message - the gate's words.
 * @param retryAfterMilliseconds - as the gate worked it out; 0 when it did not.
 * @returns The last event.
 */
export function reportedFailure(
  knowledge: RequestKnowledge,
  code: OutcomeCode,
  message: string,
  retryAfterMilliseconds: number,
): RequestFailure {
  const told = code === 'not_run' && !knowledge.notRun ? 'upstream_error' : code;
  return {
    code: knowledge.delivered || told === 'cancelled' ? told : unlessUnknown(knowledge, told),
    notRun: knowledge.notRun,
    message,
    ...(retryAfterMilliseconds > 0 && { retryAfterMilliseconds }),
  };
}
