/**
 * Requests of callers and the events of their answers, as exchanged by the callers' interface and
 * the owner of a request.
 */
import type { Priority } from '../gates/gateTypes.js';

/** Outcome codes of requests. Every error that a caller gets has one of them. */
export const OUTCOME_CODES = [
  'not_run',
  'outcome_unknown',
  'binding_required',
  'invalid_request',
  'unauthenticated',
  'forbidden',
  'unknown_model',
  'unknown_service',
  'unknown_resource',
  'request_too_large',
  'account_limit',
  'overloaded',
  'deadline_exceeded',
  'cancelled',
  'stream_cut',
  'cannot_resume',
  'upstream_error',
  'draining',
  'internal',
] as const;

/** See {@link OUTCOME_CODES}. */
export type OutcomeCode = (typeof OUTCOME_CODES)[number];

/** A validated and authenticated request. */
export interface CallerRequest {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly service: string;
  /** Name of the chat: explicit, or a hash of the client account and the start of the prompt. */
  readonly chat: string;
  readonly priority: Priority;
  /** How long the caller still waits, in milliseconds. */
  readonly deadlineMilliseconds: number;
  readonly idempotent: boolean;
  /** The binding token that the caller sent, if any. */
  readonly binding?: string;
  readonly promptTokens: number;
  readonly maximumTokens: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  readonly streaming: boolean;
}

/** Events that the owner of a request sends to the callers' interface, in order. */
export type CallerEvent =
  | {
      readonly kind: 'started';
      readonly runnerId: string;
      readonly status: number;
      readonly headers: readonly (readonly [string, string])[];
      readonly cachedTokens: number;
    }
  | {
      readonly kind: 'chunk';
      readonly data: Uint8Array;
      /** Opaque id for `Last-Event-ID`. */
      readonly eventId: string;
    }
  | {
      readonly kind: 'completed';
      readonly promptTokens: number;
      readonly generatedTokens: number;
      readonly cachedTokens: number;
    }
  | {
      readonly kind: 'failed';
      readonly code: OutcomeCode;
      /** Whether the request is known not to have run. */
      readonly notRun: boolean;
      readonly message: string;
      readonly retryAfterMilliseconds?: number;
      /**
       * With `binding_required`: the token, and the address of the daemon that may run the
       * request.
       */
      readonly binding?: { readonly token: string; readonly address: string };
      /** Whether the caller may resume the stream with `Last-Event-ID`. */
      readonly resumable?: boolean;
    };
