/**
 * Serves what this daemon knows to other daemons over HTTP, and requests what they know: a daemon that cannot read the
 * store learns from the others. Only hosts of daemons that are listed, or named in the settings, are answered.
 *
 * The configuration is requested separately, once per version, and sent compressed. One of 1,360 routes has 360 kB; by
 * calculation, sending it uncompressed would occupy a link of 10 Mbit/s for half a second per version and delay every
 * request of that daemon.
 */
import { promisify } from 'node:util';
import { Agent, createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { RoutingConfiguration } from '../routes/routeTypes.js';
import { listen } from '../http/listen.js';
import { parseAddress } from '../http/parseAddress.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Clock } from '../time/Clock.js';
import { requestPeer } from './requestPeer.js';
import type { PeerRequest } from './requestPeer.js';
import { configurationVersionOf } from './configurationVersionOf.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { DaemonEntry } from './FleetStore.js';
import type { KnowledgeAnswer } from './knowledgeTypes.js';

/** Options of a {@link PeerExchange}. */
export interface PeerExchangeOptions {
  knowledge: FleetKnowledge;
  clock: Clock;
  /** This daemon's own address for requests of other daemons. */
  ownAddress: string;
  /** Addresses of daemons that may be asked in addition to the listed ones, also before any is listed. */
  seeds: readonly string[];
  /** Daemons that may be asked; by default all listed ones. Each dead one among them costs the time of a timeout. */
  aliveDaemons?: () => readonly DaemonEntry[];
  /** Handlers of further paths, by path. They are called without a check of the requesting host. */
  handlers?: ReadonlyMap<string, RequestListener>;
  /** Returns the time since the store last answered this daemon, in ms. */
  readMilliseconds?: () => number;
}

const OK = 200;
const FORBIDDEN = 403;
const NOT_FOUND = 404;

/**
 * HTTP path of the snapshot: the listing, and the version of the configuration in force. The query has the
 * digest of the asking daemon's listing, so that a large listing is not sent again and again.
 */
const KNOWLEDGE_PATH = '/knowledge';
const DIGEST_PARAMETER = 'digest';

/** HTTP path of the configuration in force, compressed. */
const CONFIGURATION_PATH = '/configuration';

/** How long a host may request data after it was last listed, in ms: longer than the store refuses a daemon. */
const HOST_RETENTION_MILLISECONDS = 300_000;

/** Interval at which listed hosts are recorded, in ms: a daemon may not ask before its entry has lapsed. */
const HOSTS_MILLISECONDS = 400;

/**
 * Timeout without a byte of the response, in ms. A response within a region begins after a few ms, and a dead daemon must
 * not delay the next poll. It is counted from the last bytes, since a large configuration takes longer than this on a
 * slow link.
 */
const RESPONSE_TIMEOUT_MILLISECONDS = 300;

/**
 * The same timeout for a configuration, in ms. The daemon that is asked has just announced it and so is alive, but may
 * send it to other daemons first. Reading it from the store instead would transfer four times as many bytes on a link
 * that is already saturated.
 */
const CONFIGURATION_TIMEOUT_MILLISECONDS = 900;

/** Serves this daemon's knowledge to other daemons, and polls them while the store does not answer. */
export class PeerExchange {
  private readonly options: PeerExchangeOptions;

  private readonly server: Server;

  private readonly agent = new Agent({ keepAlive: false });

  private hostsTimer: NodeJS.Timeout | undefined;

  /** The compressed configuration of the latest version that was requested. */
  private compressed: { readonly version: number; readonly bytes: Promise<Buffer> } | undefined;

  /** When `hostListedAt` was last updated, monotonic ms. */
  private hostsUpdatedAt = Number.NEGATIVE_INFINITY;

  /** Number of changes of the list of daemons at that time. */
  private hostsUpdatedAtChange = -1;

  /** For each host: when it was last seen in the list of daemons, monotonic ms. */
  private readonly hostListedAt = new Map<string, number>();

  /**
   * @param options - the knowledge to exchange, and the daemons that may be asked.
   */
  constructor(options: PeerExchangeOptions) {
    this.options = options;
    this.server = createServer((request, response) => this.answer(request, response));
    this.server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) =>
      this.answer(request, response),
    );
  }

  /**
   * Starts the server.
   *
   * @param address - where to listen.
   * @returns The bound address, once requests are accepted.
   */
  listen(address: HostAndPort): Promise<AddressInfo> {
    this.hostsTimer = setInterval(() => this.updateListedHosts(), HOSTS_MILLISECONDS);
    return listen(this.server, address);
  }

  /** Stops the server. */
  close(): void {
    clearInterval(this.hostsTimer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** @returns Addresses of the daemons that may be asked. */
  addresses(): string[] {
    const { knowledge, ownAddress, seeds } = this.options;
    const { aliveDaemons = () => [...knowledge.daemons.values()] } = this.options;
    const addresses = new Set([...aliveDaemons().map(({ peerAddress }) => peerAddress), ...seeds]);
    return [...addresses].filter((address) => address !== ownAddress);
  }

  /**
   * Requests what another daemon knows, and its configuration if that is newer than the known one.
   *
   * @param address - the daemon's address for requests of other daemons.
   * @param onResponse - called when the last response begins.
   * @returns What it knows.
   */
  async fetchKnowledge(
    address: string,
    onResponse: () => void = () => undefined,
  ): Promise<KnowledgeAnswer> {
    const text = await this.request(address, this.knowledgePath);
    const answer = JSON.parse(text.toString()) as KnowledgeAnswer;
    if ((answer.configurationVersion ?? 0) <= configurationVersionOf(this.options.knowledge)) {
      onResponse();
      return answer;
    }
    return { ...answer, configuration: await this.fetchConfiguration(address, onResponse) };
  }

  /**
   * Requests the configuration that is in force in another daemon.
   *
   * @param address - the daemon's address for requests of other daemons.
   * @param onResponse - called when the response begins.
   * @returns The configuration.
   */
  async fetchConfiguration(
    address: string,
    onResponse?: () => void,
  ): Promise<RoutingConfiguration> {
    const { gunzip } = await import('node:zlib');
    const silenceMilliseconds = CONFIGURATION_TIMEOUT_MILLISECONDS;
    const options = { silenceMilliseconds, ...(onResponse && { onResponse }) };
    const text = await promisify(gunzip)(await this.request(address, CONFIGURATION_PATH, options));
    return JSON.parse(text.toString()) as RoutingConfiguration;
  }

  /**
   * Tells whether a host may read this daemon's knowledge. Hosts of daemons that were listed recently may do so too: a
   * daemon that the store refuses loses its entry after some seconds, exactly when it needs other daemons.
   *
   * @param host - IP address of the requesting host.
   * @returns Whether it belongs to a seed or to a daemon that is or was recently listed.
   */
  isAllowedHost(host: string): boolean {
    const { seeds, clock } = this.options;
    this.updateListedHosts();
    if (seeds.some((address) => parseAddress(address).host === host)) return true;
    const listedAt = this.hostListedAt.get(host);
    const age = clock.monotonicMilliseconds() - (listedAt ?? Number.NEGATIVE_INFINITY);
    return age < HOST_RETENTION_MILLISECONDS;
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    const handler = this.options.handlers?.get(request.url ?? '');
    if (handler) {
      handler(request, response);
      return;
    }
    if (!this.isAllowedHost(request.socket.remoteAddress ?? '')) {
      response.writeHead(FORBIDDEN, { 'Content-Length': 0 }).end();
      return;
    }
    if (request.url === CONFIGURATION_PATH) {
      void this.answerConfiguration(response);
      return;
    }
    const { readMilliseconds } = this.options;
    const answer: KnowledgeAnswer = {
      ...this.knowledgeFor(new URL(request.url ?? '', 'http://daemon').searchParams),
      ...(readMilliseconds && { readMilliseconds: Math.round(readMilliseconds()) }),
    };
    response.writeHead(OK, { 'Content-Type': 'application/json' }).end(JSON.stringify(answer));
  }

  /** A daemon that lacks the secret asks for everything. */
  private get knowledgePath(): string {
    const { listingDigest, secret } = this.options.knowledge;
    if (secret === undefined) return KNOWLEDGE_PATH;
    return `${KNOWLEDGE_PATH}?${DIGEST_PARAMETER}=${listingDigest}`;
  }

  private knowledgeFor(query: URLSearchParams): KnowledgeAnswer {
    const { knowledge, clock } = this.options;
    const now = clock.monotonicMilliseconds();
    const snapshot = knowledge.snapshot(Number.POSITIVE_INFINITY, now);
    const { revision, storeSilentMilliseconds, lapsed, leaving, configurationVersion } = snapshot;
    const isSame = query.get(DIGEST_PARAMETER) === String(knowledge.listingDigest);
    const isSettled = lapsed?.length === 0 && leaving?.length === 0;
    if (!isSame || !isSettled) return snapshot;
    const state = { configurationVersion, storeSilentMilliseconds };
    return { isUnchanged: true, revision, ...state };
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

  /**
   * Updates `hostListedAt`. While the list does not change, only the times have to be refreshed, and doing so every tenth of
   * the retention time is exact enough.
   */
  private updateListedHosts(): void {
    const { knowledge, clock } = this.options;
    const now = clock.monotonicMilliseconds();
    const isSame = this.hostsUpdatedAtChange === knowledge.daemonListChanges;
    if (isSame && now - this.hostsUpdatedAt < HOST_RETENTION_MILLISECONDS / 10) return;
    this.hostsUpdatedAtChange = knowledge.daemonListChanges;
    this.hostsUpdatedAt = now;
    for (const { peerAddress } of knowledge.daemons.values()) {
      this.hostListedAt.set(parseAddress(peerAddress).host, now);
    }
    for (const [host, at] of this.hostListedAt) {
      if (now - at >= HOST_RETENTION_MILLISECONDS) this.hostListedAt.delete(host);
    }
  }

  private request(
    address: string,
    path: string,
    options: Partial<PeerRequest> = {},
  ): Promise<Buffer> {
    const { agent } = this;
    const silenceMilliseconds = RESPONSE_TIMEOUT_MILLISECONDS;
    return requestPeer({ address, path, silenceMilliseconds, agent, ...options });
  }
}
