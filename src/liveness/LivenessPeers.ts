/**
 * Requests between daemons for the failure detector: a probe of one daemon, and a question about what it has heard of
 * others.
 *
 * Requests use TCP connections, which tolerate a lost packet, and need no secret: a daemon that starts while the
 * store is away does not know the fleet's secret yet, so the others cannot read its datagrams.
 */
import { Agent } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { z } from 'zod';

import { readWholeBody } from '../http/readWholeBody.js';
import { requestPeer } from '../sync/requestPeer.js';
import type { LivenessOpinions, ProbeResult } from './livenessTypes.js';

/**
 * Path of these requests. The answer holds the daemon's name and, for the names in the body, its opinions of them.
 */
export const LIVENESS_PATH = '/liveness';

/**
 * Timeout of a request, in ms: a daemon within a region answers in a few ms, a busy one in some tens.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 300;

/** Maximum size of a question, in bytes; enough for the names of a fleet of thousands. */
const MAXIMUM_QUESTION_BYTES = 131_072;

const OK = 200;
const BAD_REQUEST = 400;

const answerSchema = z.object({
  daemon: z.string(),
  isLeaving: z.boolean(),
  silent: z.array(z.number()).optional(),
  opinions: z.record(z.string(), z.union([z.number(), z.enum(['silent', 'unknown'])])),
});

const questionSchema = z.object({ daemons: z.array(z.string()) });

/** Options of a {@link LivenessPeers}. */
export interface LivenessPeersOptions {
  /** This daemon's name. */
  daemon: string;
  /** Whether this daemon is in a planned stop. */
  isLeaving: () => boolean;
  /** Returns this daemon's opinions of the named daemons. */
  opinionsOn: (names: readonly string[]) => LivenessOpinions;
  /**
   * Hashes of the names of the daemons that this one found unresponsive; `undefined` if it is not a broadcaster.
   */
  unresponsiveHashes: () => readonly number[] | undefined;
}

function isRefusal(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

/** Client and server side of these requests. */
export class LivenessPeers {
  private readonly options: LivenessPeersOptions;

  private readonly agent = new Agent({ keepAlive: false });

  /**
   * @param options - this daemon's name and the source of its answers.
   */
  constructor(options: LivenessPeersOptions) {
    this.options = options;
  }

  /**
   * Probes a daemon by two concurrent calls: if the first packet of a call is lost, it is resent only a second later.
   *
   * @param name - name of the daemon.
   * @param address - its address for requests of other daemons.
   * @returns How the probe ended; an answer by a different daemon at that address counts as a refusal.
   */
  async probe(name: string, address: string): Promise<ProbeResult> {
    const results = await Promise.all([
      this.probeOnce(name, address),
      this.probeOnce(name, address),
    ]);
    return results.find(({ outcome }) => outcome !== 'timeout') ?? { outcome: 'timeout' };
  }

  private async probeOnce(name: string, address: string): Promise<ProbeResult> {
    try {
      const { daemon, isLeaving, silent } = await this.call(address, []);
      if (daemon !== name) return { outcome: 'refused' };
      return { outcome: isLeaving ? 'leaving' : 'answered', silent };
    } catch (error) {
      // The failure is the result of the probe.
      return { outcome: isRefusal(error) ? 'refused' : 'timeout' };
    }
  }

  /**
   * Asks a daemon for its opinions of others.
   *
   * @param address - address of the daemon that is asked.
   * @param names - names of the daemons that it is asked about.
   * @returns Its opinions; `undefined` if it does not answer.
   */
  async ask(address: string, names: readonly string[]): Promise<LivenessOpinions | undefined> {
    try {
      return (await this.call(address, names)).opinions;
    } catch {
      // The caller then asks other daemons.
      return undefined;
    }
  }

  /**
   * Answers another daemon's question. The answer discloses no more than the directory tells callers.
   *
   * @param request - a request at {@link LIVENESS_PATH}.
   * @param response - the response to write.
   */
  answer(request: IncomingMessage, response: ServerResponse): void {
    readWholeBody(request, { maximumBytes: MAXIMUM_QUESTION_BYTES }).then(
      (body) => this.reply(body.toString(), response),
      // The sender has closed the connection, or it is closed because the question is too large.
      () => undefined,
    );
  }

  private reply(text: string, response: ServerResponse): void {
    const { daemon, isLeaving, opinionsOn, unresponsiveHashes } = this.options;
    const names = this.parse(text);
    if (!names) {
      response.writeHead(BAD_REQUEST, { 'Content-Length': 0 }).end();
      return;
    }
    const body = JSON.stringify({
      daemon,
      isLeaving: isLeaving(),
      silent: unresponsiveHashes(),
      opinions: opinionsOn(names),
    });
    response.writeHead(OK, { 'Content-Type': 'application/json' }).end(body);
  }

  private parse(text: string): readonly string[] | undefined {
    try {
      return questionSchema.parse(JSON.parse(text)).daemons;
    } catch {
      // The response status reports the error to the sender.
      return undefined;
    }
  }

  private async call(address: string, daemons: readonly string[]) {
    const answer = await requestPeer({
      address,
      path: LIVENESS_PATH,
      body: JSON.stringify({ daemons }),
      silenceMilliseconds: ANSWER_TIMEOUT_MILLISECONDS,
      agent: this.agent,
    });
    return answerSchema.parse(JSON.parse(answer.toString()));
  }
}
