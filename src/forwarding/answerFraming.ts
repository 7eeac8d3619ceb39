/**
 * Tells how the end of an answer's body is recognized.
 */
import type { IncomingMessage } from 'node:http';

/**
 * `length`: after the number of bytes that its head names; `chunked`: by a last chunk; `until_close`: by the end of its
 * connection, which looks the same when the sender crashes.
 */
export type AnswerFraming = 'length' | 'chunked' | 'until_close';

/**
 * @param answer - head of an answer with a body.
 * @returns How the end of the body is recognized.
 */
export function framingOf({ headers }: Pick<IncomingMessage, 'headers'>): AnswerFraming {
  if (headers['transfer-encoding'] !== undefined) return 'chunked';
  return headers['content-length'] === undefined ? 'until_close' : 'length';
}
