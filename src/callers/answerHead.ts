/**
 * Headers of an answer that forwards a runner's answer.
 */
import type { StartedEvent } from './Answer.js';
import { CALLER_HEADERS } from './callerHeaders.js';
import { answerHeadersFrom } from './forwardedHeaders.js';

/**
 * Creates the headers of the answer to the caller.
 *
 * @param started - status and headers of the runner's answer.
 * @returns The runner's headers that are forwarded, the runner's id and its number of cached prompt tokens.
 */
export function answerHead(started: StartedEvent): Map<string, string[]> {
  const headers = answerHeadersFrom(started.headers);
  headers.set(CALLER_HEADERS.runner, [started.runnerId]);
  headers.set(CALLER_HEADERS.cachedTokens, [String(started.cachedTokens)]);
  return headers;
}
