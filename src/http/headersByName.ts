/**
 * Looks up headers that are kept as a list.
 */
import type { IncomingHttpHeaders } from 'node:http';

/**
 * @param headers - list of alternating names and values.
 * @returns The values by name in lower case; several of one name are joined.
 */
export function headersByName(headers: readonly string[]): IncomingHttpHeaders {
  const byName: Record<string, string> = {};
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]?.toLowerCase() ?? '';
    const value = headers[index + 1] ?? '';
    byName[name] = byName[name] === undefined ? value : `${byName[name]}, ${value}`;
  }
  return byName;
}
