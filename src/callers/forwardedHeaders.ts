/**
 * Which headers go on to a runner and which come back from it.
 *
 * Headers of one connection must not reach the next one: a forwarded `Transfer-Encoding` or `Connection`
 * lets two ends disagree where a message stops, and one caller would read the rest of another's answer.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http';

import { HOP_BY_HOP_HEADERS, headerPairs } from '../http/connectionHeaders.js';
import type { HeaderList } from '../http/connectionHeaders.js';
import { CALLER_HEADERS } from './callerHeaders.js';

/** Meant for this program; above all the account's key, which is no business of a runner. */
const REQUEST_ONLY_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'host',
  'content-length',
  'expect',
  ...Object.values(CALLER_HEADERS),
]);

/** Written anew for the caller's connection. */
const ANSWER_ONLY_HEADERS: ReadonlySet<string> = new Set([
  'date',
  'server',
  'content-length',
  ...Object.values(CALLER_HEADERS),
]);

function namedByConnection(headers: HeaderList): ReadonlySet<string> {
  const values = headers.filter(([name]) => name.toLowerCase() === 'connection');
  const names = values.flatMap(([, value]) => value.split(','));
  return new Set(names.map((name) => name.trim().toLowerCase()));
}

function withoutHeaders(headers: HeaderList, dropped: ReadonlySet<string>): [string, string][] {
  const named = namedByConnection(headers);
  return headers
    .map(([name, value]): [string, string] => [name.toLowerCase(), value])
    .filter(([name]) => !HOP_BY_HOP_HEADERS.has(name) && !named.has(name) && !dropped.has(name));
}

/**
 * @param rawHeaders - names and values in turn, as Node.js received them.
 * @param requestId - goes on, so that the logs of caller, router and runner can be joined.
 * @param dropped - further names, in lower case, that stay here.
 * @returns Headers for the runner, names in lower case.
 */
export function requestHeadersFor(
  rawHeaders: readonly string[],
  requestId: string,
  dropped: ReadonlySet<string> = new Set(),
): HeaderList {
  return [
    ...withoutHeaders(headerPairs(rawHeaders), new Set([...REQUEST_ONLY_HEADERS, ...dropped])),
    [CALLER_HEADERS.requestId, requestId],
  ];
}

function isWritable(name: string, value: string): boolean {
  try {
    validateHeaderName(name);
    validateHeaderValue(name, value);
    return true;
  } catch {
    return false;
  }
}

/**
 * @param headers - as the runner sent them. One that HTTP does not allow is left out: writing it would
 *   throw in the middle of the answer.
 * @returns Headers for the caller by name; several values stay apart, as `Set-Cookie` needs.
 */
export function answerHeadersFrom(headers: HeaderList): Map<string, string[]> {
  const byName = new Map<string, string[]>();
  for (const [name, value] of withoutHeaders(headers, ANSWER_ONLY_HEADERS)) {
    if (!isWritable(name, value)) continue;
    byName.set(name, [...(byName.get(name) ?? []), value]);
  }
  return byName;
}
