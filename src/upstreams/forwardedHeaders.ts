/**
 * Selects the headers that are forwarded between a caller and a runner.
 */
import { HOP_BY_HOP_HEADERS, headerPairs } from '../http/connectionHeaders.js';
import type { HeaderList } from '../http/connectionHeaders.js';
import {
  ATTEMPT_ID_HEADER,
  CACHED_TOKENS_HEADER,
  CHAT_HEADER,
  DEADLINE_HEADER,
  NOT_STARTED_HEADER,
  PRIORITY_HEADER,
} from './runnerProtocol.js';

/**
 * Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1) and those that this program sets itself.
 */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  'host',
  'content-length',
  'expect',
  // Contains the key of the client account, which a runner must not receive.
  'authorization',
  ATTEMPT_ID_HEADER,
  CACHED_TOKENS_HEADER,
  CHAT_HEADER,
  DEADLINE_HEADER,
  NOT_STARTED_HEADER,
  PRIORITY_HEADER,
]);

/** Further headers of an answer that are not forwarded, because this program sets its own. */
const UNFORWARDED_ANSWER_HEADERS: ReadonlySet<string> = new Set(['date', 'server']);

/**
 * Selects the headers of a request that are sent to the runner.
 *
 * @param headers - the headers that the caller sent.
 * @returns The forwarded headers with lower-case names; a repeated name has all of its values.
 */
export function requestHeaders(headers: HeaderList): Record<string, string | string[]> {
  const forwarded = new Map<string, string[]>();
  for (const [name, value] of headers) {
    const lower = name.toLowerCase();
    if (UNFORWARDED_HEADERS.has(lower)) continue;
    forwarded.set(lower, [...(forwarded.get(lower) ?? []), value]);
  }
  return Object.fromEntries(
    [...forwarded].map(([name, values]) => [name, values.length === 1 ? values[0]! : values]),
  );
}

/**
 * Selects the headers of an answer that are sent to the caller.
 *
 * @param rawHeaders - alternating names and values, as in `rawHeaders` of `node:http`.
 * @returns The forwarded headers with lower-case names.
 */
export function answerHeaders(rawHeaders: readonly string[]): (readonly [string, string])[] {
  return headerPairs(rawHeaders)
    .map(([name, value]) => [name.toLowerCase(), value] as const)
    .filter(([name]) => !UNFORWARDED_HEADERS.has(name) && !UNFORWARDED_ANSWER_HEADERS.has(name));
}
