/**
 * The headers that callers and this interface exchange beyond those of HTTP, and the check of them.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { match } from 'ts-pattern';

import type { Findings } from '../findings/Findings.js';
import type { Priority } from '../gates/gateTypes.js';
import { PRIORITIES } from '../gates/gateTypes.js';

/** Header names, in lower case as Node.js gives them. */
export const CALLER_HEADERS = {
  /** The caller's own id of the request; made here when it is missing. */
  requestId: 'x-request-id',
  /** Name of the chat within the account. */
  chat: 'x-chat',
  /** `urgent`, `standard` or `background`. */
  priority: 'x-priority',
  /** How long the caller still waits, in milliseconds. */
  deadline: 'x-deadline-milliseconds',
  /** `true` or `false`: whether the request may be repeated. */
  idempotent: 'x-idempotent',
  /** Binding token of a non-idempotent request. */
  binding: 'x-binding',
  /** Event id after which a stream goes on. */
  lastEventId: 'last-event-id',
  /** In answers: the runner that gave it. */
  runner: 'x-runner',
  /** In answers: prompt tokens that were found in the runner's cache. */
  cachedTokens: 'x-cached-tokens',
} as const;

const REQUEST_ID = /^[A-Za-z0-9._:-]{1,128}$/u;
const CHAT = /^[\u0021-\u007e]{1,200}$/u;
const WHOLE_NUMBER = /^[0-9]{1,10}$/u;
const TOKEN = /^[A-Za-z0-9._~+/=-]{1,4096}$/u;

/** What the headers say of a request; missing fields were not sent. */
export interface CallerHeaders {
  readonly requestId?: string;
  readonly chat?: string;
  readonly priority?: Priority;
  readonly deadlineMilliseconds?: number;
  readonly idempotent?: boolean;
  readonly binding?: string;
  readonly lastEventId?: string;
}

/**
 * Reads one header that may stand only once.
 *
 * @param headers - as Node.js parsed them.
 * @param name - in lower case.
 * @returns The trimmed value, or `undefined`.
 */
export function singleHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(', ') : value?.trim();
}

/**
 * Checks the form of a chat's name.
 *
 * @param name - as the caller gave it.
 * @returns Whether it may be used.
 */
export function isChatName(name: string): boolean {
  return CHAT.test(name);
}

function readPriority(headers: IncomingHttpHeaders, findings: Findings): Priority | undefined {
  const value = singleHeader(headers, CALLER_HEADERS.priority);
  if (value === undefined) return undefined;
  const priority = PRIORITIES.find((name) => name === value);
  if (priority === undefined) {
    const expected = `must be one of ${PRIORITIES.join(', ')}`;
    findings.add({ field: `header ${CALLER_HEADERS.priority}` }, expected);
  }
  return priority;
}

function readBoolean(
  headers: IncomingHttpHeaders,
  name: string,
  findings: Findings,
): boolean | undefined {
  return match(singleHeader(headers, name))
    .with(undefined, () => undefined)
    .with('true', () => true)
    .with('false', () => false)
    .otherwise(() => {
      findings.add({ field: `header ${name}` }, 'must be true or false');
      return undefined;
    });
}

/**
 * Checks all headers of a request and collects every mistake.
 *
 * @param headers - as Node.js parsed them.
 * @param findings - receives the mistakes, with the header's name as their field.
 * @returns What the valid ones say.
 */
export function readCallerHeaders(headers: IncomingHttpHeaders, findings: Findings): CallerHeaders {
  const matching = (name: string, pattern: RegExp, expected: string): string | undefined => {
    const value = singleHeader(headers, name);
    if (value === undefined) return undefined;
    if (pattern.test(value)) return value;
    findings.add({ field: `header ${name}` }, `must be ${expected}`);
    return undefined;
  };
  const deadline = matching(
    CALLER_HEADERS.deadline,
    WHOLE_NUMBER,
    'a whole number of milliseconds, at most ten digits',
  );
  if (deadline !== undefined && Number(deadline) === 0) {
    findings.add({ field: `header ${CALLER_HEADERS.deadline}` }, 'must be at least 1');
  }
  return {
    requestId: matching(
      CALLER_HEADERS.requestId,
      REQUEST_ID,
      '1 to 128 letters, digits, dots, underscores, colons or hyphens',
    ),
    chat: matching(CALLER_HEADERS.chat, CHAT, '1 to 200 printable ASCII characters without spaces'),
    priority: readPriority(headers, findings),
    deadlineMilliseconds: deadline === undefined ? undefined : Number(deadline),
    idempotent: readBoolean(headers, CALLER_HEADERS.idempotent, findings),
    binding: matching(CALLER_HEADERS.binding, TOKEN, 'a token that locate handed out'),
    lastEventId: matching(CALLER_HEADERS.lastEventId, TOKEN, 'an id of an event of the stream'),
  };
}
