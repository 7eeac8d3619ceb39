/**
 * Writes the answer to a request that another daemon handed over. An error that means that no runner was reached is
 * marked, so that the other daemon can ask a third one.
 */
import type { ServerResponse } from 'node:http';

import type { DaemonAnswer } from '../forwarding/AnswerRelay.js';
import { AnswerRelay } from '../forwarding/AnswerRelay.js';
import { UNREACHED_HEADER } from './handOverHeaders.js';

const UNAVAILABLE = 503;

/** Reasons for a refusal that do not hold at a daemon with a path to the runners. */
const UNREACHED_REASONS: ReadonlySet<string> = new Set([
  'connect_timeout',
  'not_connected',
  'no_runner',
]);

/** Response to the daemon that handed the request over. */
export class TakenOverRelay extends AnswerRelay {
  private readonly answer: ServerResponse;

  /**
   * @param answer - response to the other daemon.
   * @param closes - returns whether the connection should be closed after this answer.
   */
  constructor(answer: ServerResponse, closes: () => boolean) {
    super(answer, closes);
    this.answer = answer;
  }

  override sendDaemonAnswer(own: DaemonAnswer): void {
    const isUnreached = own.status === UNAVAILABLE && UNREACHED_REASONS.has(own.reason);
    if (isUnreached && !this.hasHead && !this.isDone) {
      this.answer.setHeader(UNREACHED_HEADER, own.reason);
    }
    super.sendDaemonAnswer(own);
  }
}
