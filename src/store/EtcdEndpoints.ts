/**
 * Connections to the members of the store's cluster, which are tried in turn.
 *
 * The clients use gRPC over HTTP/2, by connect-es on Node's `http2`.
 */
import { createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { createGrpcTransport } from '@connectrpc/connect-node';

import { KV, Lease, Watch } from '../generated/etcd/etcdserverpb/rpc_pb.js';
import { ErrorTolerantSessionManager } from './ErrorTolerantSessionManager.js';
import { PlatformStoreError } from './PlatformStore.js';

/** Largest response that is accepted, in bytes: a page of entries, most of them far smaller than the largest value. */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

/** One member of the store's cluster, with its clients. */
export interface EtcdEndpoint {
  readonly address: string;
  readonly keyValue: Client<typeof KV>;
  readonly lease: Client<typeof Lease>;
  readonly watch: Client<typeof Watch>;
}

interface ManagedEndpoint extends EtcdEndpoint {
  readonly sessions: ErrorTolerantSessionManager;
}

/** Options of {@link EtcdEndpoints}. */
export interface EtcdEndpointsOptions {
  /** `http://host:port` or `https://host:port`, each with an IP address as host. */
  addresses: readonly string[];
  /** Timeout for opening a connection, in milliseconds. */
  connectTimeoutMilliseconds?: number;
  /** Time without data after which an open connection is checked by a ping, in milliseconds. */
  pingIntervalMilliseconds?: number;
  /** Timeout for the answer to such a ping, in milliseconds. */
  pingTimeoutMilliseconds?: number;
}

/** Keeps one connection for each member, and prefers the same member until it fails. */
export class EtcdEndpoints {
  private readonly endpoints: readonly ManagedEndpoint[];

  private readonly connectTimeoutMilliseconds: number;

  private preferred = 0;

  /**
   * @param options - addresses and limits.
   * @throws {@link RangeError} If there is no address.
   */
  constructor({
    addresses,
    connectTimeoutMilliseconds = 1000,
    pingIntervalMilliseconds = 10_000,
    pingTimeoutMilliseconds = 3000,
  }: EtcdEndpointsOptions) {
    if (addresses.length === 0)
      throw new RangeError('addresses is empty, expected at least one address of the store');
    this.connectTimeoutMilliseconds = connectTimeoutMilliseconds;
    this.endpoints = addresses.map((address) => {
      // A watch can wait for hours. If its connection is lost without a reset, no event arrives and no call
      // fails. The pings then close the connection, so that the watch throws and is opened again.
      const sessions = new ErrorTolerantSessionManager(address, {
        pingIntervalMs: pingIntervalMilliseconds,
        pingTimeoutMs: pingTimeoutMilliseconds,
      });
      const transport = createGrpcTransport({
        baseUrl: address,
        sessionManager: sessions,
        readMaxBytes: MAXIMUM_ANSWER_BYTES,
      });
      return {
        address,
        sessions,
        keyValue: createClient(KV, transport),
        lease: createClient(Lease, transport),
        watch: createClient(Watch, transport),
      };
    });
  }

  /** @returns Number of members. */
  get count(): number {
    return this.endpoints.length;
  }

  /**
   * Finds a member whose connection is open or can be opened. If this throws, no request has been sent, so that a write
   * can fail as `unavailable` instead of `unsure`.
   *
   * @returns The first such member, beginning with the preferred one.
   * @throws {@link PlatformStoreError} `unavailable` if no member can be reached.
   */
  async connected(): Promise<EtcdEndpoint> {
    for (let tried = 0; tried < this.endpoints.length; tried += 1) {
      const endpoint = this.endpoints[this.preferred]!;
      if (await this.tryOpen(endpoint)) return endpoint;
      this.preferNextMember(endpoint);
    }
    const addresses = this.endpoints.map(({ address }) => address).join(', ');
    throw new PlatformStoreError(
      'unavailable',
      `none of the store's members can be reached: ${addresses}`,
    );
  }

  /**
   * Prefers the next member from now on, unless another call has changed the preferred member already.
   *
   * @param failed - the member that failed.
   */
  preferNextMember(failed: EtcdEndpoint): void {
    if (this.endpoints[this.preferred] !== failed) return;
    this.preferred = (this.preferred + 1) % this.endpoints.length;
  }

  /** Closes all connections; calls in progress fail. */
  close(): void {
    this.endpoints.forEach(({ sessions }) => sessions.abort());
  }

  private async tryOpen({ sessions }: ManagedEndpoint): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined;
    const timedOut = new Promise<'timeout'>((resolve) => {
      timer = setTimeout(() => resolve('timeout'), this.connectTimeoutMilliseconds);
    });
    const state = await Promise.race([sessions.connect(), timedOut]);
    clearTimeout(timer);
    return state === 'open' || state === 'idle';
  }
}
