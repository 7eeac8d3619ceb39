/**
 * Status codes of success.
 */
const SUCCESS = 200;
const REDIRECT = 300;

/**
 * @param status - status code of an answer.
 * @returns Whether it says that the request has succeeded (RFC 9110, section 15.3).
 */
export function isSuccess(status: number): boolean {
  return status >= SUCCESS && status < REDIRECT;
}
