/**
 * Whether an answer that has ended may be only the beginning of one.
 */
import type { IncomingMessage } from 'node:http';

import { isSuccess } from '../http/isSuccess.js';
import { framingOf } from './answerFraming.js';
import { isEventStream } from './StreamedAnswer.js';

/** No content, and not modified: answers without a body. */
const BODILESS: ReadonlySet<number> = new Set([204, 304]);

/** What is known of the request of an answer that has ended. */
export interface EndedRequest {
  method: string;
  /** Whether any byte of the answer's body has arrived. */
  hasBytes: boolean;
  /** Whether all of the request has been handed to the operating system. */
  isRequestWritten: boolean;
}

/**
 * Only a length or the last chunk proves that an answer is whole; where the end of the connection ends it, two signs tell
 * that its runner gave up: the request was still being written, or a success has a head and nothing of its body. Nothing may
 * be left of a stream that goes on, so that an empty body is no evidence about streams.
 *
 * @param answer - answer that has ended.
 * @param request - its request.
 * @returns Whether the answer must not be taken for a whole one.
 */
export function mayBeCutOff(answer: IncomingMessage, request: EndedRequest): boolean {
  if (!answer.complete) return true;
  const { statusCode = 0 } = answer;
  const hasBody = request.method !== 'HEAD' && !BODILESS.has(statusCode);
  if (!hasBody || framingOf(answer) !== 'until_close') return false;
  if (!request.isRequestWritten) return true;
  return !request.hasBytes && isSuccess(statusCode) && !isEventStream(answer);
}
