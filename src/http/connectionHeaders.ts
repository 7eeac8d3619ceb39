/**
 * Hop-by-hop headers, which a proxy must not forward, and header lists as pairs.
 */

/** Pairs of header name and value, in the order of the message. */
export type HeaderList = readonly (readonly [string, string])[];

/** Headers that apply to a single connection (RFC 9110, section 7.6.1), in lower case. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * @param rawHeaders - alternating names and values, as `node:http` gives them.
 * @returns Pairs of name and value, in the same order.
 */
export function headerPairs(rawHeaders: readonly string[]): [string, string][] {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    pairs.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '']);
  }
  return pairs;
}
