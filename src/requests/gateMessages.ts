/**
 * Converts gate events into messages for the decisions of a request, and the start of an answer
 * into the event for the caller.
 */
import { match, P } from 'ts-pattern';

import type { RefusalReason } from '../gates/gateTypes.js';
import type { ExecuteEvent, Started } from '../generated/baobabdock/v1/peers_pb.js';
import type { RequestMessage } from './requestDecisionTypes.js';
import type { CallerEvent, OutcomeCode } from './requestTypes.js';
import { OUTCOME_CODES } from './requestTypes.js';

const CODES: ReadonlySet<string> = new Set(OUTCOME_CODES);

/**
 * @param code - a code from another daemon, which may run another version.
 * @returns The code if it is known, otherwise `upstream_error`.
 */
export function outcomeCodeOf(code: string): OutcomeCode {
  return CODES.has(code) ? (code as OutcomeCode) : 'upstream_error';
}

/**
 * @param reading - number of the reading that delivered the event.
 * @param event - the event.
 * @returns The message, or `undefined` for an event that this version doesn't know.
 */
export function messageOfGateEvent(
  reading: number,
  { event }: ExecuteEvent,
): RequestMessage | undefined {
  // Nearly all events are chunks; matching them against the patterns below would cost time.
  if (event.case === 'chunk') {
    const { attemptId, sequence, data } = event.value;
    return { kind: 'chunk', reading, attemptId, sequence, bytes: data.byteLength };
  }
  return match(event)
    .returnType<RequestMessage | undefined>()
    .with({ case: 'refused' }, ({ value }) => ({
      kind: 'refused',
      reading,
      reason: value.reason as RefusalReason,
      retryAfterMilliseconds: value.retryAfterMilliseconds,
      load: value.load,
      mean: value.mean,
    }))
    .with({ case: 'started' }, ({ value: { attemptId, status } }) => ({
      kind: 'started',
      reading,
      attemptId,
      status,
    }))
    .with({ case: 'completed' }, ({ value }) => ({
      kind: 'completed',
      reading,
      attemptId: value.attemptId,
      lastSequence: value.lastSequence,
      promptTokens: value.promptTokens,
      generatedTokens: value.generatedTokens,
      cachedTokens: value.cachedTokens,
    }))
    .with({ case: 'failed' }, ({ value }) => ({
      kind: 'failed',
      reading,
      code: outcomeCodeOf(value.code),
      message: value.message,
      retryAfterMilliseconds: value.retryAfterMilliseconds,
      resumable: value.resumable,
    }))
    .with({ case: P.nullish }, () => undefined)
    .exhaustive();
}

/** HTTP status of a resumed stream: only an answer that started successfully can be resumed. */
const CONTINUED_STATUS = 200;

/**
 * @param head - the `started` event of the gate; a gate that resumes a stream may not have it any
 *   more.
 * @param runnerId - the runner of the answer.
 * @returns The event for the caller.
 */
export function startedEventOf(head: Started | undefined, runnerId: string): CallerEvent {
  return {
    kind: 'started',
    runnerId,
    status: head?.status ?? CONTINUED_STATUS,
    headers: head?.headers.map(({ name, value }) => [name, value] as const) ?? [],
    cachedTokens: head?.cachedTokens ?? 0,
  };
}
