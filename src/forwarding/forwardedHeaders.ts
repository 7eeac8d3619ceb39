/**
 * Selects the headers that the daemon forwards. Lists are flat, with alternating names and values, as Node.js reads and
 * accepts them; objects would need a copy of each header of each request.
 */
import { isWritableHeader } from '../http/isWritableHeader.js';

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and those that the daemon sets for its own message framing. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/** Returns the headers that the sender lists in `Connection`, which are hop-by-hop, too. */
function namedInConnection(rawHeaders: readonly string[]): string[] {
  const named: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'connection') {
      named.push(...(rawHeaders[index + 1] ?? '').toLowerCase().split(','));
    }
  }
  return named.map((name) => name.trim()).filter((name) => name !== '');
}

/**
 * Drops hop-by-hop headers, and those that cannot be written.
 *
 * @param rawHeaders - headers as received.
 * @param dropped - further headers that are not forwarded, in lower case.
 * @param essential - headers that are forwarded even if `Connection` lists them, in lower case.
 * @returns The forwarded headers, in the same order and spelling.
 */
export function passingHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
  essential: ReadonlySet<string> = new Set(),
): string[] {
  const hopByHop = namedInConnection(rawHeaders).filter((name) => !essential.has(name));
  const passing: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const value = rawHeaders[index + 1] ?? '';
    const lower = name.toLowerCase();
    const isDropped =
      CONNECTION_HEADERS.has(lower) || dropped.has(lower) || hopByHop.includes(lower);
    if (!isDropped && isWritableHeader(name, value)) passing.push(name, value);
  }
  return passing;
}

/**
 * @param headers - flat list of names and values.
 * @param replaced - name of the header, in lower case.
 * @param value - its only value from now on.
 * @returns The headers, with this one at the end.
 */
export function replaceHeader(
  headers: readonly string[],
  replaced: string,
  value: string,
): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() !== replaced) kept.push(name, headers[index + 1] ?? '');
  }
  return [...kept, replaced, value];
}
