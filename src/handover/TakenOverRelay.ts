/**
 * Writes the answer to a request that another daemon handed over. Errors that say that no runner was reached, or that the
 * runner broke off, are marked, so that the other daemon can decide whether a third one gets the request.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { MemoryReservation } from '../clients/MemoryBudget.js';
import type { AnswerSource } from '../forwarding/AnswerOwnership.js';
import type { BeginOptions, DaemonAnswer } from '../forwarding/AnswerRelay.js';
import { AnswerRelay } from '../forwarding/AnswerRelay.js';
import type { TriedRunners } from '../forwarding/TriedRunners.js';
import {
  BROKEN_HEADER,
  FULL_HEADER,
  TRIED_HEADER,
  triedHeaderFor,
  UNREACHED_HEADER,
  VERSION_HEADER,
} from './handOverHeaders.js';

const BAD_GATEWAY = 502;

const UNAVAILABLE = 503;

/** Reasons for a refusal that do not hold at a daemon with a path to the runners. */
const UNREACHED_REASONS: ReadonlySet<string> = new Set([
  'connect_timeout',
  'not_connected',
  'no_runner',
]);

/** Reasons for a refusal that follow from what this daemon has at the runners itself. */
const FULL_REASONS: ReadonlySet<string> = new Set(['full', 'backlogged']);

/** Response to the daemon that handed the request over. */
export class TakenOverRelay extends AnswerRelay {
  private readonly answer: ServerResponse;

  private readonly tried: Pick<TriedRunners, 'lives'>;

  /**
   * @param answer - response to the other daemon.
   * @param closes - returns whether the connection should be closed after this answer.
   * @param tried - runners that get the request.
   * @param memory - memory of the request and its answer; without a limit by default.
   */
  constructor(
    answer: ServerResponse,
    closes: () => boolean,
    tried: Pick<TriedRunners, 'lives'>,
    memory?: MemoryReservation,
  ) {
    super(answer, closes, memory);
    this.answer = answer;
    this.tried = tried;
  }

  override sendDaemonAnswer(own: DaemonAnswer): void {
    if (!this.hasHead && !this.isDone) this.mark(own);
    super.sendDaemonAnswer(own);
  }

  override begin(source: AnswerSource, answer: IncomingMessage, options: BeginOptions): boolean {
    const { softwareVersion } = options;
    if (!this.hasHead && !this.isDone) {
      if (softwareVersion !== undefined) {
        this.answer.setHeader(VERSION_HEADER, encodeURIComponent(softwareVersion));
      }
      this.tellTried();
    }
    return super.begin(source, answer, options);
  }

  /** The other daemon may have to go on, at a runner that has not failed the request. */
  private tellTried(): void {
    this.answer.setHeader(TRIED_HEADER, triedHeaderFor(this.tried.lives));
  }

  /** A request that may have run elsewhere before cannot be refused any more, but may have reached nobody here. */
  private mark({ status, reason }: DaemonAnswer): void {
    if (status !== UNAVAILABLE && status !== BAD_GATEWAY) return;
    if (UNREACHED_REASONS.has(reason)) this.answer.setHeader(UNREACHED_HEADER, reason);
    else if (FULL_REASONS.has(reason)) this.answer.setHeader(FULL_HEADER, reason);
    else if (status === BAD_GATEWAY) {
      this.answer.setHeader(BROKEN_HEADER, reason);
      this.tellTried();
    }
  }
}
