/**
 * Tells the status of an answer from a number that is none. The parser of Node.js accepts any three digits.
 */

/** First and last status of a final answer (RFC 9110, section 15). */
const FIRST_STATUS = 200;
const LAST_STATUS = 599;

/**
 * @param status - number in the status line of an answer.
 * @returns Whether it is the status of a final answer, which a caller can get.
 */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_STATUS && status <= LAST_STATUS;
}
