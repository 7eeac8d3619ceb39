/**
 * What daemons tell each other when the store turns some of them away: everything that one knows, if it is
 * newer. Only daemons that are listed, or named in the settings, are answered.
 *
 * The configuration is asked for by itself and sent compressed, once a version: one of 1,360 routes has 360 kB, by reckoning
 * half a second of a link of 10 Mbit/s for each version delayed every request of that daemon.
 */
import { promisify } from 'node:util';
import { Agent, createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { RoutingConfiguration } from '../routes/routeTypes.js';
import { listen } from '../http/listen.js';
import { parseAddress } from '../http/parseAddress.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import { askPeer } from './askPeer.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { DaemonEntry } from './FleetStore.js';
import type { KnowledgeSnapshot } from './knowledgeTypes.js';
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
  /** Daemons to ask: all that are listed by default; each that has died costs the time of a question. */
  living?: () => readonly DaemonEntry[];
  /** Who answers other daemons' questions at further paths, whoever asks. */
  handlers?: ReadonlyMap<string, RequestListener>;
  /** Whether this daemon has to ask others. */
  isStoreSilent: () => boolean;
  /** Between questions while the store is silent. */
  pollMilliseconds?: number;
}

const OK = 200;
const FORBIDDEN = 403;
const NOT_FOUND = 404;

/** Who is there, and which configuration is in force. */
const KNOWLEDGE_PATH = '/knowledge';

/** The configuration in force, compressed. */
const CONFIGURATION_PATH = '/configuration';

/** How often others are asked while the store is silent, in ms. */
const POLL_MILLISECONDS = 400;

/** Longer than the store turns a daemon away; in ms. */
const REMEMBERED_MILLISECONDS = 300_000;

/**
 * An answer within a region begins after a few ms; a dead daemon must not hold up the next question. Counted from the
 * last bytes, since a large configuration takes longer than this on a slow link.
 */
const SILENCE_MILLISECONDS = 300;

/**
 * A configuration is asked for of a daemon that has just told of it, and so lives: its first bytes may wait behind those
 * that it hands to others. Read from the store instead it would be four times as large, on a link that is full; in ms.
 */
const CONFIGURATION_SILENCE_MILLISECONDS = 900;

/** Answers others, and asks them. */
export class PeerExchange {
  private readonly options: PeerExchangeOptions;

  private readonly server: Server;

  private readonly agent = new Agent({ keepAlive: false });

  private timer: NodeJS.Timeout | undefined;

  private next = 0;

  /** One answer at a time: two of them would take each other's bandwidth. */
  private isAsking = false;

  /** Of the latest version that was asked for. */
  private compressed: { readonly version: number; readonly bytes: Promise<Buffer> } | undefined;

  /** When the list of daemons was last looked at, monotonic ms, and how often it had changed then. */
  private rememberedAt = Number.NEGATIVE_INFINITY;

  private rememberedAtChange = -1;

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
  listen(address: HostAndPort): Promise<AddressInfo> {
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

  /** @returns Addresses of daemons that may be asked. */
  addresses(): string[] {
    const { knowledge, ownAddress, seeds } = this.options;
    const { living = () => [...knowledge.daemons.values()] } = this.options;
    const addresses = new Set([...living().map(({ peerAddress }) => peerAddress), ...seeds]);
    return [...addresses].filter((address) => address !== ownAddress);
  }

  /**
   * @param address - of a daemon for other daemons' questions.
   * @returns What it knows.
   */
  async fetch(address: string): Promise<KnowledgeSnapshot> {
    const answer = await this.ask(address, KNOWLEDGE_PATH);
    const snapshot = JSON.parse(answer.toString()) as KnowledgeSnapshot;
    const known = this.options.knowledge.routes?.configuration.version ?? 0;
    if ((snapshot.configurationVersion ?? 0) <= known) return snapshot;
    return { ...snapshot, configuration: await this.fetchConfiguration(address) };
  }

  /**
   * @param address - of a daemon for other daemons' questions.
   * @returns The configuration that is in force there.
   */
  async fetchConfiguration(address: string): Promise<RoutingConfiguration> {
    const { gunzip } = await import('node:zlib');
    const text = await promisify(gunzip)(
      await this.ask(address, CONFIGURATION_PATH, CONFIGURATION_SILENCE_MILLISECONDS),
    );
    return JSON.parse(text.toString()) as RoutingConfiguration;
  }

  /**
   * A daemon that the store turns away loses its entry after some seconds, just when it needs the others most;
   * so whoever was listed lately may ask.
   *
   * @param host - of somebody who asks.
   * @returns Whether it may learn what this daemon knows.
   */
  mayAsk(host: string): boolean {
    const { seeds, clock } = this.options;
    this.rememberListed();
    if (seeds.some((address) => parseAddress(address).host === host)) return true;
    const listedAt = this.listedAt.get(host);
    const age = clock.monotonicMilliseconds() - (listedAt ?? Number.NEGATIVE_INFINITY);
    return age < REMEMBERED_MILLISECONDS;
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    const handler = this.options.handlers?.get(request.url ?? '');
    if (handler) {
      handler(request, response);
      return;
    }
    if (!this.mayAsk(request.socket.remoteAddress ?? '')) {
      response.writeHead(FORBIDDEN, { 'Content-Length': 0 }).end();
      return;
    }
    if (request.url === CONFIGURATION_PATH) {
      void this.answerConfiguration(response);
      return;
    }
    const { knowledge, clock } = this.options;
    const now = clock.monotonicMilliseconds();
    const text = JSON.stringify(knowledge.snapshot(Number.POSITIVE_INFINITY, now));
    response.writeHead(OK, { 'Content-Type': 'application/json' }).end(text);
  }

  private async answerConfiguration(response: ServerResponse): Promise<void> {
    const configuration = this.options.knowledge.routes?.configuration;
    if (!configuration) {
      response.writeHead(NOT_FOUND, { 'Content-Length': 0 }).end();
      return;
    }
    const { version } = configuration;
    if (this.compressed?.version !== version) {
      const { gzip } = await import('node:zlib');
      const bytes = promisify(gzip)(JSON.stringify(configuration));
      this.compressed = { version, bytes };
    }
    response.writeHead(OK, { 'Content-Type': 'application/gzip' }).end(await this.compressed.bytes);
  }

  /** While the list stays the same only the time has to be kept, for which a tenth of what is remembered is exact enough. */
  private rememberListed(): void {
    const { knowledge, clock } = this.options;
    const now = clock.monotonicMilliseconds();
    const isSame = this.rememberedAtChange === knowledge.daemonChanges;
    if (isSame && now - this.rememberedAt < REMEMBERED_MILLISECONDS / 10) return;
    this.rememberedAtChange = knowledge.daemonChanges;
    this.rememberedAt = now;
    for (const { peerAddress } of knowledge.daemons.values()) {
      this.listedAt.set(parseAddress(peerAddress).host, now);
    }
    for (const [host, at] of this.listedAt) {
      if (now - at >= REMEMBERED_MILLISECONDS) this.listedAt.delete(host);
    }
  }

  /** Asks one daemon after the other. */
  private async poll(): Promise<void> {
    const { knowledge, clock, log, isStoreSilent } = this.options;
    this.rememberListed();
    if (!isStoreSilent()) return;
    const others = this.addresses();
    if (others.length === 0 || this.isAsking) return;
    const address = others[this.next % others.length] as string;
    this.next += 1;
    this.isAsking = true;
    try {
      const snapshot = await this.fetch(address);
      if (!knowledge.applyPeer(snapshot, clock.monotonicMilliseconds())) return;
      log.write(syncLogEvents.learntFromPeer, { address, revision: snapshot.revision });
    } catch (error) {
      log.write(syncLogEvents.peerFailed, { address, error: (error as Error).message });
    } finally {
      this.isAsking = false;
    }
  }

  private ask(
    address: string,
    path: string,
    silenceMilliseconds = SILENCE_MILLISECONDS,
  ): Promise<Buffer> {
    return askPeer({ address, path, silenceMilliseconds, agent: this.agent });
  }
}
