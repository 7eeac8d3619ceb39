/**
 * Calls other daemons with the Connect protocol over HTTP/1.1 on keep-alive connections. Each call and each answer
 * is signed.
 */
import type { Socket } from 'node:net';

import type { DescMethodStreaming, DescMethodUnary } from '@bufbuild/protobuf';
import type { Client, Interceptor, Transport } from '@connectrpc/connect';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';

import { PeerService } from '../generated/baobabdock/v1/peers_pb.js';
import type { Log } from '../logging/Log.js';
import { SilentLog } from '../logging/Log.js';
import { authenticateCalls } from './authenticateCalls.js';
import { gzipCompression } from './gzipCompression.js';
import { PeerAgent } from './PeerAgent.js';
import type { PeerCredentials } from './PeerCredentials.js';
import { PeerLink } from './PeerLink.js';
import { PeerTraffic } from './PeerTraffic.js';
import type { PeersSettings } from './peersFeature.js';
import { peersLogEvents } from './peersFeature.js';

/** Settings that the calling side uses. */
export type PeerLinkSettings = Pick<
  PeersSettings,
  | 'callTimeoutMilliseconds'
  | 'connectTimeoutMilliseconds'
  | 'idleConnectionMilliseconds'
  | 'maximumConnectionsPerPeer'
  | 'maximumMessageBytes'
>;

/** Options of a {@link ConnectPeerLink}. */
export interface ConnectPeerLinkOptions {
  credentials: PeerCredentials;
  settings: PeerLinkSettings;
  traffic?: PeerTraffic;
  log?: Log;
}

interface KnownPeer {
  readonly agent: PeerAgent;
  readonly client: Client<typeof PeerService>;
}

/**
 * Maximum number of daemon addresses whose agents are kept. Without it, every restart of a daemon on a new port would
 * leave an agent behind.
 */
const MAXIMUM_KNOWN_PEERS = 1024;

/**
 * Maximum size of an answer to `Authenticate`, which is empty: a process that sends more is not a daemon of the fleet.
 */
const MAXIMUM_AUTHENTICATION_BYTES = 1024;

function keyOf(daemonId: string, peerAddress: string): string {
  return `${daemonId}@${peerAddress}`;
}

/** Minimum message size for compression: below it, the time that gzip takes outweighs the bytes that it saves. */
const COMPRESSION_THRESHOLD_BYTES = 256;

/** Calls other daemons, with one agent and one client for each pair of daemon and address. */
export class ConnectPeerLink extends PeerLink {
  /** Number of calls and bytes by kind of call. */
  readonly traffic: PeerTraffic;

  private readonly credentials: PeerCredentials;

  private readonly settings: PeerLinkSettings;

  private readonly log: Log;

  private readonly peers = new Map<string, KnownPeer>();

  /**
   * @param options - the credentials, the limits, the traffic counter and the log.
   */
  constructor({
    credentials,
    settings,
    traffic = new PeerTraffic(),
    log = new SilentLog(),
  }: ConnectPeerLinkOptions) {
    super();
    this.credentials = credentials;
    this.settings = settings;
    this.traffic = traffic;
    this.log = log;
  }

  override clientFor(daemonId: string, peerAddress: string): Client<typeof PeerService> {
    const key = keyOf(daemonId, peerAddress);
    const known = this.peers.get(key) ?? this.connect(daemonId, peerAddress);
    // Removes and adds the entry again, so that the map is ordered by last use, least recently used first.
    this.peers.delete(key);
    this.peers.set(key, known);
    return known.client;
  }

  override close(): void {
    for (const { agent } of this.peers.values()) agent.destroy();
    this.peers.clear();
  }

  private connect(daemonId: string, peerAddress: string): KnownPeer {
    this.evictIdlePeer();
    const authentication = authenticateCalls({
      daemonId,
      credentials: this.credentials,
      onUnprovenAnswer: () => this.handleUnprovenAnswer(daemonId, peerAddress),
    });
    const { connectTimeoutMilliseconds, idleConnectionMilliseconds, maximumConnectionsPerPeer } =
      this.settings;
    const agent = new PeerAgent({
      keepAlive: true,
      timeout: idleConnectionMilliseconds,
      maxSockets: maximumConnectionsPerPeer,
      maxTotalSockets: maximumConnectionsPerPeer,
      traffic: this.traffic,
      connectTimeoutMilliseconds,
      authenticate: (createConnection) =>
        this.authenticate(peerAddress, authentication, createConnection),
    });
    const transport = this.transport(peerAddress, authentication, agent);
    return { agent, client: createClient(PeerService, transport) };
  }

  private handleUnprovenAnswer(daemonId: string, peerAddress: string): void {
    this.log.write(peersLogEvents.answerRejected, { daemon: daemonId, address: peerAddress });
    this.peers.get(keyOf(daemonId, peerAddress))?.agent.discardConnections();
  }

  private authenticate(
    peerAddress: string,
    authentication: Interceptor,
    createConnection: () => Socket,
  ): Promise<unknown> {
    const transport = createConnectTransport({
      httpVersion: '1.1',
      baseUrl: `http://${peerAddress}`,
      interceptors: [authentication],
      // Without an agent, Node.js sends `connection: close`; this connection is used for further calls.
      nodeOptions: { createConnection, headers: { connection: 'keep-alive' } },
      acceptCompression: [],
      readMaxBytes: MAXIMUM_AUTHENTICATION_BYTES,
    });
    const timeoutMs = this.settings.connectTimeoutMilliseconds;
    return createClient(PeerService, transport).authenticate({}, { timeoutMs });
  }

  /**
   * Unary calls are short and repetitive, so they are compressed and have a timeout. Streams are not compressed, and
   * their requests carry their own deadline.
   */
  private transport(peerAddress: string, authentication: Interceptor, agent: PeerAgent): Transport {
    const { maximumMessageBytes, callTimeoutMilliseconds } = this.settings;
    const shared = {
      httpVersion: '1.1' as const,
      baseUrl: `http://${peerAddress}`,
      nodeOptions: { agent },
      interceptors: [authentication],
      readMaxBytes: maximumMessageBytes,
      writeMaxBytes: maximumMessageBytes,
    };
    const calls = createConnectTransport({
      ...shared,
      defaultTimeoutMs: callTimeoutMilliseconds,
      acceptCompression: [gzipCompression],
      sendCompression: gzipCompression,
      compressMinBytes: COMPRESSION_THRESHOLD_BYTES,
    });
    const streams = createConnectTransport({ ...shared, acceptCompression: [] });
    return {
      unary: (method: DescMethodUnary, ...rest) => calls.unary(method, ...rest),
      stream: (method: DescMethodStreaming, ...rest) => streams.stream(method, ...rest),
    } as Transport;
  }

  /** Removes the least recently used idle peer when the limit is reached. */
  private evictIdlePeer(): void {
    if (this.peers.size < MAXIMUM_KNOWN_PEERS) return;
    for (const [key, { agent }] of this.peers) {
      if (!agent.idle) continue;
      agent.destroy();
      this.peers.delete(key);
      return;
    }
  }
}
