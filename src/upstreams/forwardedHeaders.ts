/**
 * Which headers pass between a caller and a runner, and which belong to one connection only.
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

/** Headers of one connection (RFC 9110, section 7.6.1), and those that this program writes itself. */
const OWN_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  'host',
  'content-length',
  'expect',
  // The account's key is for this program; a runner has no business with it.
  'authorization',
  ATTEMPT_ID_HEADER,
  CACHED_TOKENS_HEADER,
  CHAT_HEADER,
  DEADLINE_HEADER,
  NOT_STARTED_HEADER,
  PRIORITY_HEADER,
]);

/** Headers of an answer that its next hop writes anew. */
const ANSWER_ONLY_HEADERS: ReadonlySet<string> = new Set(['date', 'server']);

/**
 * @param headers - as the caller sent them.
 * @returns Those that go to a runner, lower case; a name that came twice has both values.
 */
export function requestHeaders(headers: HeaderList): Record<string, string | string[]> {
  const forwarded = new Map<string, string[]>();
  for (const [name, value] of headers) {
    const lower = name.toLowerCase();
    if (OWN_HEADERS.has(lower)) continue;
    forwarded.set(lower, [...(forwarded.get(lower) ?? []), value]);
  }
  return Object.fromEntries(
    [...forwarded].map(([name, values]) => [name, values.length === 1 ? values[0]! : values]),
  );
}

/**
 * @param rawHeaders - names and values in turn, as `node:http` gives them.
 * @returns Those that go back to the caller, lower case.
 */
export function answerHeaders(rawHeaders: readonly string[]): (readonly [string, string])[] {
  return headerPairs(rawHeaders)
    .map(([name, value]) => [name.toLowerCase(), value] as const)
    .filter(([name]) => !OWN_HEADERS.has(name) && !ANSWER_ONLY_HEADERS.has(name));
}
