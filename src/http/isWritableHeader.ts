/**
 * Tells whether Node.js writes a header. Its parser accepts names that are empty or have spaces; to write them throws.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http';

/**
 * @param name - name of a header.
 * @param value - its value.
 * @returns Whether a message with this header can be written.
 */
export function isWritableHeader(name: string, value: string): boolean {
  try {
    validateHeaderName(name);
    validateHeaderValue(name, value);
    return true;
  } catch {
    return false;
  }
}
