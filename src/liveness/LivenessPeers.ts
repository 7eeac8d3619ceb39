/**
 * Calls between daemons about who is alive: a probe of one, and the question what another one hears.
 *
 * Calls go over connections, which stand a lost packet, and need no secret: a daemon that starts while the store is away
 * does not know the fleet's, and cannot be heard by its messages.
 */
import { Agent } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { z } from 'zod';

import { askPeer } from '../sync/askPeer.js';
import type { LivenessOpinions, ProbeResult } from './livenessTypes.js';

/** Who this is; and with names in the body, what it hears of them. */
export const LIVENESS_PATH = '/liveness';

/** A daemon within a region answers in a few ms, a busy one in some tens; in ms. */
const SILENCE_MILLISECONDS = 300;

/** The names of a fleet of thousands. */
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
  /** What this daemon hears of others. */
  opinionsOn: (names: readonly string[]) => LivenessOpinions;
  /** Hashes of those that this daemon has found silent, where it is one of those that tell the others. */
  toldSilences: () => readonly number[] | undefined;
}

function isRefusal(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

/** Asks, and answers. */
export class LivenessPeers {
  private readonly options: LivenessPeersOptions;

  private readonly agent = new Agent({ keepAlive: false });

  /**
   * @param options - the daemon.
   */
  constructor(options: LivenessPeersOptions) {
    this.options = options;
  }

  /**
   * Calls twice at the same time: the first packet of a call may be lost, and is sent again only a second later.
   *
   * @param name - of a daemon.
   * @param address - for other daemons' questions.
   * @returns How the calls ended; another daemon at its address is a refusal.
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
      // The failure is the answer to the probe.
      return { outcome: isRefusal(error) ? 'refused' : 'timeout' };
    }
  }

  /**
   * @param address - of the daemon that is asked.
   * @param names - of the daemons that it is asked about.
   * @returns What it hears of them; `undefined` where it does not answer.
   */
  async ask(address: string, names: readonly string[]): Promise<LivenessOpinions | undefined> {
    try {
      return (await this.call(address, names)).opinions;
    } catch {
      // Others are asked then.
      return undefined;
    }
  }

  /**
   * Answers another daemon's question. Whoever asks learns no more than what the directory tells callers.
   *
   * @param request - a question at {@link LIVENESS_PATH}.
   * @param response - to it.
   */
  answer(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes > MAXIMUM_QUESTION_BYTES) request.destroy();
    });
    request.once('end', () => this.reply(Buffer.concat(chunks).toString(), response));
  }

  private reply(text: string, response: ServerResponse): void {
    const { daemon, isLeaving, opinionsOn, toldSilences } = this.options;
    const names = this.parse(text);
    if (!names) {
      response.writeHead(BAD_REQUEST, { 'Content-Length': 0 }).end();
      return;
    }
    const body = JSON.stringify({
      daemon,
      isLeaving: isLeaving(),
      silent: toldSilences(),
      opinions: opinionsOn(names),
    });
    response.writeHead(OK, { 'Content-Type': 'application/json' }).end(body);
  }

  private parse(text: string): readonly string[] | undefined {
    try {
      return questionSchema.parse(JSON.parse(text)).daemons;
    } catch {
      // The asker is told so by the status.
      return undefined;
    }
  }

  private async call(address: string, daemons: readonly string[]) {
    const answer = await askPeer({
      address,
      path: LIVENESS_PATH,
      body: JSON.stringify({ daemons }),
      silenceMilliseconds: SILENCE_MILLISECONDS,
      agent: this.agent,
    });
    return answerSchema.parse(JSON.parse(answer.toString()));
  }
}
