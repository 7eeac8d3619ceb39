/**
 * Selects the headers that are forwarded to a runner and back to the caller.
 *
 * Hop-by-hop headers must not be forwarded: with a forwarded `Transfer-Encoding` or `Connection`, two ends can
 * disagree about where a message ends, and one caller would read the rest of another caller's answer.
 */
import { HOP_BY_HOP_HEADERS, headerPairs } from '../http/connectionHeaders.js';
import type { HeaderList } from '../http/connectionHeaders.js';
import { isWritableHeader } from '../http/isWritableHeader.js';
import { CALLER_HEADERS } from './callerHeaders.js';

/** Request headers for this program only; above all the account's key, which a runner must not see. */
const UNFORWARDED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'host',
  'content-length',
  'expect',
  ...Object.values(CALLER_HEADERS),
]);

/** Answer headers of a runner that are replaced by those of this program's own answer. */
const UNFORWARDED_ANSWER_HEADERS: ReadonlySet<string> = new Set([
  'date',
  'server',
  'content-length',
  ...Object.values(CALLER_HEADERS),
]);

/** Names of the headers that a `Connection` header declares as hop-by-hop. */
function connectionOptions(headers: HeaderList): ReadonlySet<string> {
  const values = headers.filter(([name]) => name.toLowerCase() === 'connection');
  const names = values.flatMap(([, value]) => value.split(','));
  return new Set(names.map((name) => name.trim().toLowerCase()));
}

function withoutHeaders(headers: HeaderList, dropped: ReadonlySet<string>): [string, string][] {
  const hopByHopNames = connectionOptions(headers);
  return headers
    .map(([name, value]): [string, string] => [name.toLowerCase(), value])
    .filter(
      ([name]) => !HOP_BY_HOP_HEADERS.has(name) && !hopByHopNames.has(name) && !dropped.has(name),
    );
}

/**
 * Selects the headers of a request that are forwarded to the runner.
 *
 * @param rawHeaders - names and values alternating, as Node.js received them.
 * @param requestId - the request id to forward, so that the logs of caller, router and runner can be correlated.
 * @param dropped - names of additional headers not to forward, in lower case.
 * @returns Headers for the runner, names in lower case.
 */
export function headersForRunner(
  rawHeaders: readonly string[],
  requestId: string,
  dropped: ReadonlySet<string> = new Set(),
): HeaderList {
  return [
    ...withoutHeaders(
      headerPairs(rawHeaders),
      new Set([...UNFORWARDED_REQUEST_HEADERS, ...dropped]),
    ),
    [CALLER_HEADERS.requestId, requestId],
  ];
}

/**
 * Selects the headers of a runner's answer that are forwarded to the caller. A header that HTTP does not allow is
 * dropped, because writing it would throw in the middle of the answer.
 *
 * @param headers - the headers that the runner sent.
 * @returns Headers for the caller by name; several values are kept separate, as `Set-Cookie` requires.
 */
export function headersForCaller(headers: HeaderList): Map<string, string[]> {
  const byName = new Map<string, string[]>();
  for (const [name, value] of withoutHeaders(headers, UNFORWARDED_ANSWER_HEADERS)) {
    if (!isWritableHeader(name, value)) continue;
    byName.set(name, [...(byName.get(name) ?? []), value]);
  }
  return byName;
}
