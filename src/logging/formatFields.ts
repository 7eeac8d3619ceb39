/**
 * Formats the fields of a log line as `key=value` pairs, for people.
 */

/** Values that can be written without quotes, since no character of them makes the line ambiguous. */
const PLAIN_VALUE = /^[\w.:/@+-]+$/u;

function formatValue(value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(value);
}

/**
 * @param fields - the fields; those with the value `undefined` are left out.
 * @returns The pairs on one line, separated by spaces.
 */
export function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ');
}
