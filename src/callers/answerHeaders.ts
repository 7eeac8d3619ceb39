/**
 * Headers of an answer that forwards a runner's answer.
 */
import type { StartedEvent } from './AnswerWriter.js';
import { CALLER_HEADERS } from './callerHeaders.js';
import { headersForCaller } from './forwardedHeaders.js';

/**
 * Creates the headers of the answer to the caller.
 *
 * @param started - status and headers of the runner's answer.
 * @returns The runner's headers that are forwarded, the runner's id and its number of cached prompt tokens.
 */
export function answerHeaders(started: StartedEvent): Map<string, string[]> {
  const headers = headersForCaller(started.headers);
  headers.set(CALLER_HEADERS.runner, [started.runnerId]);
  headers.set(CALLER_HEADERS.cachedTokens, [String(started.cachedTokens)]);
  return headers;
}
