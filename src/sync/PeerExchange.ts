/**
 * Exchanges knowledge between daemons over HTTP while the store refuses some of them: a daemon that cannot read the store
 * polls the others and applies what is newer. Only hosts of daemons that are listed, or named in the settings, are
 * answered.
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
import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import { revisionFields } from './orderedRevision.js';
import { requestPeer } from './requestPeer.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { DaemonEntry } from './FleetStore.js';
import type { KnowledgeSnapshot } from './knowledgeTypes.js';
import { syncLogEvents } from './syncFeature.js';

/** Options of a {@link PeerExchange}. */
export interface PeerExchangeOptions {
  knowledge: FleetKnowledge;
  clock: Clock;
  log: Log;
  /** This daemon's own address for requests of other daemons. */
  ownAddress: string;
  /** Addresses of daemons that are polled in addition to the listed ones, also before any is listed. */
  seeds: readonly string[];
  /** Daemons to poll; by default all listed ones. Each dead daemon among them costs the time of a timeout. */
  aliveDaemons?: () => readonly DaemonEntry[];
  /** Handlers of further paths, by path. They are called without a check of the requesting host. */
  handlers?: ReadonlyMap<string, RequestListener>;
  /** Whether the store does not answer this daemon, so that it has to poll others. */
  isStoreUnresponsive: () => boolean;
  /** Interval between polls while the store does not answer, in ms. */
  pollMilliseconds?: number;
}

const OK = 200;
const FORBIDDEN = 403;
const NOT_FOUND = 404;

/** HTTP path of the snapshot: the listing, and the version of the configuration in force. */
const KNOWLEDGE_PATH = '/knowledge';

/** HTTP path of the configuration in force, compressed. */
const CONFIGURATION_PATH = '/configuration';

/** Default interval between polls while the store does not answer, in ms. */
const POLL_MILLISECONDS = 400;

/** How long a host may request data after it was last listed, in ms: longer than the store refuses a daemon. */
const HOST_RETENTION_MILLISECONDS = 300_000;

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

  private timer: NodeJS.Timeout | undefined;

  private nextPeer = 0;

  /** Whether a poll is in progress. Only one runs at a time, since two would compete for bandwidth. */
  private isPolling = false;

  /** The compressed configuration of the latest version that was requested. */
  private compressed: { readonly version: number; readonly bytes: Promise<Buffer> } | undefined;

  /** When `hostListedAt` was last updated, monotonic ms. */
  private hostsUpdatedAt = Number.NEGATIVE_INFINITY;

  /** Number of changes of the list of daemons at that time. */
  private hostsUpdatedAtChange = -1;

  /** For each host: when it was last seen in the list of daemons, monotonic ms. */
  private readonly hostListedAt = new Map<string, number>();

  /**
   * @param options - the knowledge to exchange, and the daemons to poll.
   */
  constructor(options: PeerExchangeOptions) {
    this.options = options;
    this.server = createServer((request, response) => this.answer(request, response));
    this.server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) =>
      this.answer(request, response),
    );
  }

  /**
   * Starts the server and the polling.
   *
   * @param address - where to listen.
   * @returns The bound address, once requests are accepted.
   */
  listen(address: HostAndPort): Promise<AddressInfo> {
    const { pollMilliseconds = POLL_MILLISECONDS } = this.options;
    this.timer = setInterval(() => {
      void this.poll();
    }, pollMilliseconds);
    return listen(this.server, address);
  }

  /** Stops the polling and the server. */
  close(): void {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** @returns Addresses of the daemons that may be polled. */
  addresses(): string[] {
    const { knowledge, ownAddress, seeds } = this.options;
    const { aliveDaemons = () => [...knowledge.daemons.values()] } = this.options;
    const addresses = new Set([...aliveDaemons().map(({ peerAddress }) => peerAddress), ...seeds]);
    return [...addresses].filter((address) => address !== ownAddress);
  }

  /**
   * Requests another daemon's snapshot, and its configuration if that is newer than the known one.
   *
   * @param address - the daemon's address for requests of other daemons.
   * @returns The snapshot.
   */
  async fetchSnapshot(address: string): Promise<KnowledgeSnapshot> {
    const answer = await this.request(address, KNOWLEDGE_PATH);
    const snapshot = JSON.parse(answer.toString()) as KnowledgeSnapshot;
    const known = this.options.knowledge.routes?.configuration.version ?? 0;
    if ((snapshot.configurationVersion ?? 0) <= known) return snapshot;
    return { ...snapshot, configuration: await this.fetchConfiguration(address) };
  }

  /**
   * Requests the configuration that is in force in another daemon.
   *
   * @param address - the daemon's address for requests of other daemons.
   * @returns The configuration.
   */
  async fetchConfiguration(address: string): Promise<RoutingConfiguration> {
    const { gunzip } = await import('node:zlib');
    const text = await promisify(gunzip)(
      await this.request(address, CONFIGURATION_PATH, CONFIGURATION_TIMEOUT_MILLISECONDS),
    );
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

  /** Requests the snapshot of the next daemon in turn, if the store does not answer this one. */
  private async poll(): Promise<void> {
    const { knowledge, clock, log, isStoreUnresponsive } = this.options;
    this.updateListedHosts();
    if (!isStoreUnresponsive()) return;
    const others = this.addresses();
    if (others.length === 0 || this.isPolling) return;
    const address = others[this.nextPeer % others.length] as string;
    this.nextPeer += 1;
    this.isPolling = true;
    try {
      const snapshot = await this.fetchSnapshot(address);
      const isNewer = knowledge.applyPeerSnapshot(snapshot, clock.monotonicMilliseconds());
      const event = isNewer ? syncLogEvents.learntFromPeer : syncLogEvents.peerNotNewer;
      log.write(event, { address, ...revisionFields(snapshot.revision) });
    } catch (error) {
      log.write(syncLogEvents.peerFailed, { address, error: (error as Error).message });
    } finally {
      this.isPolling = false;
    }
  }

  private request(
    address: string,
    path: string,
    silenceMilliseconds = RESPONSE_TIMEOUT_MILLISECONDS,
  ): Promise<Buffer> {
    return requestPeer({ address, path, silenceMilliseconds, agent: this.agent });
  }
}
