/**
 * What daemons tell each other when the store turns some of them away: everything that one knows, if it is
 * newer. Only daemons that are listed, or named in the settings, are answered.
 */
import { Agent, createServer, request as sendRequest } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { listen } from '../http/listen.js';
import { parseAddress } from '../http/parseAddress.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import type { FleetKnowledge, KnowledgeSnapshot } from './FleetKnowledge.js';
import { syncLogEvents } from './syncFeature.js';

/** Options of a {@link PeerExchange}. */
export interface PeerExchangeOptions {
  knowledge: FleetKnowledge;
  clock: Clock;
  log: Log;
  /** This daemon's own address for other daemons. */
  ownAddress: string;
  /** Addresses of daemons that are asked before any is listed. */
  seeds: readonly string[];
  /** Whether this daemon has to ask others. */
  isStoreSilent: () => boolean;
  /** Between questions while the store is silent. */
  pollMilliseconds?: number;
}

const OK = 200;
const FORBIDDEN = 403;

/** Path of the one call. */
const PATH = '/knowledge';

/** How often others are asked while the store is silent, in ms. */
const POLL_MILLISECONDS = 400;

/** Longer than the store turns a daemon away; in ms. */
const REMEMBERED_MILLISECONDS = 300_000;

/** An answer within a region takes a few ms; a dead daemon must not hold up the next question. */
const TIMEOUT_MILLISECONDS = 300;

/** A whole configuration with hundreds of routes is about 200 kB. */
const MAXIMUM_ANSWER_BYTES = 4_194_304;

/** Answers others, and asks them. */
export class PeerExchange {
  private readonly options: PeerExchangeOptions;

  private readonly server: Server;

  private readonly agent = new Agent({ keepAlive: false });

  private timer: NodeJS.Timeout | undefined;

  private next = 0;

  /** When a host was last listed as a daemon's, monotonic ms. */
  private readonly listedAt = new Map<string, number>();

  /**
   * @param options - beliefs, and who is asked.
   */
  constructor(options: PeerExchangeOptions) {
    this.options = options;
    this.server = createServer((request, response) => this.answer(request, response));
  }

  /**
   * @param address - of this daemon for other daemons.
   * @returns Once questions are taken.
   */
  listen(address: HostAndPort): Promise<unknown> {
    const { pollMilliseconds = POLL_MILLISECONDS } = this.options;
    this.timer = setInterval(() => {
      void this.poll();
    }, pollMilliseconds);
    return listen(this.server, address);
  }

  /** Neither asks nor answers from now on. */
  close(): void {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * @param address - of a daemon for other daemons' questions.
   * @returns What it knows.
   */
  async fetch(address: string): Promise<KnowledgeSnapshot> {
    return JSON.parse(await this.ask(address)) as KnowledgeSnapshot;
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    const version = Number(new URL(request.url ?? '/', 'http://peer').searchParams.get('version'));
    if (!this.mayAsk(request.socket.remoteAddress ?? '')) {
      response.writeHead(FORBIDDEN, { 'Content-Length': 0 }).end();
      return;
    }
    const text = JSON.stringify(this.options.knowledge.snapshot(version || 0));
    response.writeHead(OK, { 'Content-Type': 'application/json' }).end(text);
  }

  /**
   * A daemon that the store turns away loses its entry after some seconds, just when it needs the others most;
   * so whoever was listed lately may ask.
   */
  private mayAsk(host: string): boolean {
    const { seeds, clock } = this.options;
    if (seeds.some((address) => parseAddress(address).host === host)) return true;
    const listedAt = this.listedAt.get(host);
    const age = clock.monotonicMilliseconds() - (listedAt ?? Number.NEGATIVE_INFINITY);
    return age < REMEMBERED_MILLISECONDS;
  }

  private rememberListed(): void {
    const now = this.options.clock.monotonicMilliseconds();
    for (const { peerAddress } of this.options.knowledge.daemons.values()) {
      this.listedAt.set(parseAddress(peerAddress).host, now);
    }
    for (const [host, at] of this.listedAt) {
      if (now - at >= REMEMBERED_MILLISECONDS) this.listedAt.delete(host);
    }
  }

  /** Asks one daemon after the other. */
  private async poll(): Promise<void> {
    const { knowledge, clock, log, ownAddress, seeds, isStoreSilent } = this.options;
    this.rememberListed();
    if (!isStoreSilent()) return;
    const known = [...knowledge.daemons.values()].map(({ peerAddress }) => peerAddress);
    const others = [...new Set([...known, ...seeds])].filter((address) => address !== ownAddress);
    if (others.length === 0) return;
    const address = others[this.next % others.length] as string;
    this.next += 1;
    try {
      const snapshot = await this.fetch(address);
      if (!knowledge.applyPeer(snapshot, clock.monotonicMilliseconds())) return;
      log.write(syncLogEvents.learntFromPeer, { address, revision: snapshot.revision });
    } catch (error) {
      log.write(syncLogEvents.peerFailed, { address, error: (error as Error).message });
    }
  }

  private ask(address: string): Promise<string> {
    const { host, port } = parseAddress(address);
    const version = this.options.knowledge.routes?.configuration.version ?? 0;
    const path = `${PATH}?version=${version}`;
    return new Promise((done, fail) => {
      const question = sendRequest({ host, port, path, agent: this.agent }, (answer) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        answer.on('data', (chunk: Buffer) => {
          chunks.push(chunk);
          bytes += chunk.length;
          if (bytes > MAXIMUM_ANSWER_BYTES) question.destroy(new Error('the answer is too large'));
        });
        answer.once('error', fail);
        answer.once('end', () => {
          if (answer.statusCode === OK) done(Buffer.concat(chunks).toString());
          else fail(new Error(`status ${answer.statusCode}`));
        });
      });
      const timer = setTimeout(
        () => question.destroy(new Error('no answer in time')),
        TIMEOUT_MILLISECONDS,
      );
      question.once('close', () => clearTimeout(timer));
      question.once('error', fail);
      question.end();
    });
  }
}
