/**
 * HTTP endpoint of what is quarantined: other daemons read the list, and operators read it and release entries.
 */
import { Agent } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { requestPeer } from '../sync/requestPeer.js';
import type { Clock } from '../time/Clock.js';
import { decodeDocument, encodeDocument } from './crashSummaryCodec.js';
import type { CrashSummary } from './quarantineTypes.js';
import type { RequestQuarantine } from './RequestQuarantine.js';

/** Path of the list; followed by a slash and a digest, of one entry. */
export const QUARANTINE_PATH = '/quarantine';

/**
 * Timeout of a request to another daemon, in ms: a daemon within a region answers in a few ms, a busy one in some
 * tens.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 300;

const OK = 200;
const NO_CONTENT = 204;
const NOT_FOUND = 404;
const METHOD_NOT_ALLOWED = 405;

/** Options of a {@link QuarantineEndpoint}. */
export interface QuarantineEndpointOptions {
  quarantine: RequestQuarantine;
  clock: Clock;
}

/** Server and client of the endpoint. */
export class QuarantineEndpoint {
  private readonly options: QuarantineEndpointOptions;

  private readonly agent = new Agent({ keepAlive: false });

  /**
   * @param options - the quarantine and the clock.
   */
  constructor(options: QuarantineEndpointOptions) {
    this.options = options;
  }

  /**
   * Answers with the list.
   *
   * @param _request - request of another daemon or an operator.
   * @param response - the response to write.
   */
  answer(_request: IncomingMessage, response: ServerResponse): void {
    const { quarantine, clock } = this.options;
    const now = clock.monotonicMilliseconds();
    const page = encodeDocument(quarantine.decisions.broadcastable(), (at) =>
      Math.max(0, Math.round(now - at)),
    );
    response.writeHead(OK, { 'Content-Type': 'application/json' }).end(page);
  }

  /**
   * Answers with the list, or releases one entry from quarantine.
   *
   * @param request - request of an operator.
   * @param response - the response to write.
   */
  answerOperator(request: IncomingMessage, response: ServerResponse): void {
    const { method, url = '' } = request;
    if (method === 'GET' && url === QUARANTINE_PATH) {
      this.answer(request, response);
      return;
    }
    response.writeHead(this.statusOf(method, url), { 'Content-Length': 0 }).end();
  }

  /**
   * Fetches the list of another daemon.
   *
   * @param address - its address for requests of other daemons.
   * @returns The records on its list.
   * @throws When it does not answer.
   */
  async fetch(address: string): Promise<readonly CrashSummary[]> {
    const { agent } = this;
    const silenceMilliseconds = ANSWER_TIMEOUT_MILLISECONDS;
    const answer = await requestPeer({
      address,
      path: QUARANTINE_PATH,
      silenceMilliseconds,
      agent,
    });
    const now = this.options.clock.monotonicMilliseconds();
    return decodeDocument(answer.toString(), (age) => now - age);
  }

  private statusOf(method: string | undefined, url: string): number {
    if (method !== 'DELETE') return METHOD_NOT_ALLOWED;
    const digest = url.slice(QUARANTINE_PATH.length + 1);
    return this.options.quarantine.release(digest) ? NO_CONTENT : NOT_FOUND;
  }
}
