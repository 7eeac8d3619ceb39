/**
 * Converts the failures of an exchange into the last event of an attempt. It is `not_run` only if no byte of the
 * request can have been sent or the runner itself states that it did not start the attempt; otherwise it is `failed`.
 */
import type { IncomingMessage } from 'node:http';

import { match } from 'ts-pattern';

import type { BodyError } from './readBody.js';
import type { ExchangeResult } from './RunnerConnection.js';
import { ATTEMPT_ID_HEADER, NOT_STARTED_HEADER } from './runnerProtocol.js';
import type { UpstreamEvent } from './Upstream.js';

/** Statuses with which a runner can refuse an attempt before the start: too many requests, service unavailable. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/**
 * Converts the failure of an exchange without an answer.
 *
 * @param result - the result of the exchange.
 * @param resumable - whether the runner keeps the stream.
 * @returns The last event of the attempt.
 */
export function exchangeFailure(
  result: Exclude<ExchangeResult, { kind: 'response' }>,
  resumable: boolean,
): UpstreamEvent {
  const { kind, reason, message } = result;
  if (kind === 'unreached') return { kind: 'not_run', reason: 'unreachable', message };
  if (reason === 'timeout') return { kind: 'failed', reason: 'timeout', message, resumable };
  return {
    kind: 'failed',
    reason: 'cut',
    message,
    resumable: resumable && reason !== 'aborted',
  };
}

/**
 * Converts the failure to read a body.
 *
 * @param error - why the body could not be read whole.
 * @param resumable - whether the runner keeps the stream.
 * @returns The last event of the attempt.
 */
export function bodyFailure({ fault, message }: BodyError, resumable: boolean): UpstreamEvent {
  return match(fault)
    .with('cut', () => ({ kind: 'failed', reason: 'cut', message, resumable }) as const)
    .with('aborted', () => ({ kind: 'failed', reason: 'cut', message, resumable: false }) as const)
    .with('idle', () => ({ kind: 'failed', reason: 'timeout', message, resumable }) as const)
    .with('timeout', () => ({ kind: 'failed', reason: 'timeout', message, resumable }) as const)
    .with(
      'too_large',
      () => ({ kind: 'failed', reason: 'malformed', message, resumable: false }) as const,
    )
    .exhaustive();
}

/**
 * Result of comparing the attempt id in an answer's headers with the requested one; `crossed` means another attempt.
 */
export type AttemptIdComparison = 'own' | 'missing' | 'crossed';

/**
 * Compares the attempt id that an answer echoes with the requested one.
 *
 * @param response - the answer.
 * @param attemptId - the id of the requested attempt.
 * @returns Whether the ids agree, differ, or the answer has none.
 */
export function compareAttemptId(
  response: IncomingMessage,
  attemptId: string,
): AttemptIdComparison {
  const echoed = response.headers[ATTEMPT_ID_HEADER];
  if (echoed === undefined) return 'missing';
  return echoed === attemptId ? 'own' : 'crossed';
}

/**
 * Checks for a refusal before the start.
 *
 * @param response - the answer. Its attempt id must have been compared already, since a refusal can belong to another
 *   attempt as well.
 * @returns Whether the runner states that it did not start the attempt.
 */
export function isRefusalBeforeStart(response: IncomingMessage): boolean {
  const { statusCode = 0, headers } = response;
  return REFUSAL_STATUSES.has(statusCode) && headers[NOT_STARTED_HEADER] === 'true';
}

/**
 * Creates the failure for an answer that belongs to another attempt.
 *
 * @param message - what shows that the answer belongs to another attempt.
 * @param resumable - whether the runner keeps the stream.
 * @returns The last event of the attempt.
 */
export function crossedFailure(message: string, resumable: boolean): UpstreamEvent {
  return { kind: 'failed', reason: 'crossed', message, resumable };
}

/**
 * Creates the failure for an answer that violates the protocol.
 *
 * @param message - how the answer violates the protocol.
 * @returns The last event of the attempt.
 */
export function malformedFailure(message: string): UpstreamEvent {
  return { kind: 'failed', reason: 'malformed', message, resumable: false };
}
