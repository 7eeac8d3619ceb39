/**
 * Tells that a request gets no answer. Where the connection is closed after an answer that switches protocols, the HTTP
 * library reports no error, and whoever waits for the answer waits for good.
 */
import type { ClientRequest } from 'node:http';

/**
 * @param request - a request without an answer so far.
 * @param listener - called once its connection has ended without one, after the error if there is one.
 */
export function onceUnanswered(request: ClientRequest, listener: () => void): void {
  let isAnswered = false;
  request.once('response', () => {
    isAnswered = true;
  });
  request.once('close', () => {
    if (!isAnswered) listener();
  });
}
