/**
 * Errors in answers to callers: one JSON format, and one HTTP status for each error code.
 */
import VError from 'verror';

import type { Finding } from '../findings/Findings.js';
import type { CallerEvent, OutcomeCode } from '../requests/requestTypes.js';

/** Last event of a request that has no complete answer. */
export type FailedEvent = Extract<CallerEvent, { kind: 'failed' }>;

/** 499 is not a registered status, but proxies commonly use it for a request that its caller cancelled. */
const CALLER_CLOSED_REQUEST = 499;

const STATUS_BY_CODE: Readonly<Record<OutcomeCode, number>> = {
  not_run: 503,
  outcome_unknown: 502,
  binding_required: 428,
  invalid_request: 400,
  unauthenticated: 401,
  forbidden: 403,
  unknown_model: 404,
  unknown_service: 404,
  unknown_resource: 404,
  request_too_large: 413,
  account_limit: 429,
  overloaded: 503,
  deadline_exceeded: 504,
  cancelled: CALLER_CLOSED_REQUEST,
  stream_cut: 502,
  cannot_resume: 410,
  upstream_error: 502,
  draining: 503,
  internal: 500,
};

const MILLISECONDS_IN_SECOND = 1000;

/** Findings beyond this number are only counted in the answer, because nobody reads a longer list. */
const MAXIMUM_LISTED_FINDINGS = 50;

/** Content of a {@link CallerError}. */
export interface CallerErrorOptions {
  code: OutcomeCode;
  message: string;
  /** HTTP status, where the default status of the code is too general; for example 405. */
  status?: number;
  /**
   * Whether the request provably did not run. When missing, the answer says "not run", because such errors
   * arise before the request is handed to its owner; `Exchange` makes an exception for requests that may
   * have run through an earlier attempt.
   */
  notRun?: boolean;
  retryAfterMilliseconds?: number;
  findings?: readonly Finding[];
  binding?: { readonly token: string; readonly address: string };
  resumable?: boolean;
  /** Further headers of the answer, for example `Allow`. */
  headers?: Readonly<Record<string, string>>;
  cause?: Error;
}

/** Error that a route throws to answer its request with a JSON error document. */
export class CallerError extends VError {
  readonly options: Readonly<CallerErrorOptions>;

  /**
   * @param options - the code, the message and the optional details for the caller.
   */
  constructor(options: CallerErrorOptions) {
    super({ cause: options.cause, name: 'CallerError' }, '%s', options.message);
    this.options = options;
  }

  /** @returns The HTTP status of the answer. */
  get status(): number {
    return this.options.status ?? STATUS_BY_CODE[this.options.code];
  }
}

/**
 * Converts the failure event of a request into an error.
 *
 * @param event - the event that the owner of the request sent.
 * @returns The error to answer with.
 */
export function errorFromEvent(event: FailedEvent): CallerError {
  const { code, message, notRun, retryAfterMilliseconds, binding, resumable } = event;
  return new CallerError({ code, message, notRun, retryAfterMilliseconds, binding, resumable });
}

/**
 * Creates the JSON body of an error answer.
 *
 * @param error - the error to describe.
 * @param requestId - the id of the request.
 * @param notRun - whether the request provably did not run.
 * @returns The JSON document.
 */
export function errorDocument(error: CallerError, requestId: string, notRun: boolean): object {
  const {
    code,
    message,
    retryAfterMilliseconds,
    findings = [],
    binding,
    resumable,
  } = error.options;
  const unlisted = findings.length - MAXIMUM_LISTED_FINDINGS;
  return {
    error: {
      code,
      message,
      not_run: notRun,
      request_id: requestId,
      retry_after_milliseconds: retryAfterMilliseconds,
      resumable,
      binding,
      findings: findings
        .slice(0, MAXIMUM_LISTED_FINDINGS)
        .map((finding) => ({ ...finding.place, message: finding.message })),
      unlisted_findings: unlisted > 0 ? unlisted : undefined,
    },
  };
}

/**
 * Creates the headers that tell a caller whether and when to retry. Common clients of model engines read
 * `retry-after-ms` and `x-should-retry`; without the latter they would retry every 5xx on their own.
 *
 * @param error - the error of the answer.
 * @returns Headers for the answer.
 */
export function retryHeaders(error: CallerError): Record<string, string> {
  const { retryAfterMilliseconds } = error.options;
  if (retryAfterMilliseconds === undefined) return { 'x-should-retry': 'false' };
  const seconds = Math.max(1, Math.ceil(retryAfterMilliseconds / MILLISECONDS_IN_SECOND));
  return {
    'retry-after': String(seconds),
    'retry-after-ms': String(Math.max(1, Math.ceil(retryAfterMilliseconds))),
    'x-should-retry': 'true',
  };
}
