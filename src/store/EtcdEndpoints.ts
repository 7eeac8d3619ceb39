/**
 * Connections to the members of the platform's service, tried in turn.
 *
 * gRPC needs HTTP/2; connect-es speaks it over Node's `http2`.
 */
import { createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { createGrpcTransport } from '@connectrpc/connect-node';

import { KV, Lease, Watch } from '../generated/etcd/etcdserverpb/rpc_pb.js';
import { GuardedSessionManager } from './GuardedSessionManager.js';
import { PlatformStoreError } from './PlatformStore.js';

/** Largest answer that is read: a page of entries, most of them far below their limit. */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

/** One member of the platform's service. */
export interface EtcdEndpoint {
  readonly address: string;
  readonly keyValue: Client<typeof KV>;
  readonly lease: Client<typeof Lease>;
  readonly watch: Client<typeof Watch>;
}

interface ManagedEndpoint extends EtcdEndpoint {
  readonly sessions: GuardedSessionManager;
}

/** Options of {@link EtcdEndpoints}. */
export interface EtcdEndpointsOptions {
  /** `http://host:port` or `https://host:port`, by IP number. */
  addresses: readonly string[];
  /** How long a connection may take to open, in milliseconds. */
  connectTimeoutMilliseconds?: number;
  /** After how many quiet milliseconds an open connection is checked. */
  pingIntervalMilliseconds?: number;
  /** How long such a check may take, in milliseconds. */
  pingTimeoutMilliseconds?: number;
}

/** Keeps one connection for each member and prefers the one that answered last. */
export class EtcdEndpoints {
  private readonly endpoints: readonly ManagedEndpoint[];

  private readonly connectTimeoutMilliseconds: number;

  private preferred = 0;

  /**
   * @param options - addresses and limits.
   * @throws {@link RangeError} without any address.
   */
  constructor({
    addresses,
    connectTimeoutMilliseconds = 1000,
    pingIntervalMilliseconds = 10_000,
    pingTimeoutMilliseconds = 3000,
  }: EtcdEndpointsOptions) {
    if (addresses.length === 0) throw new RangeError('the platform needs at least one address');
    this.connectTimeoutMilliseconds = connectTimeoutMilliseconds;
    this.endpoints = addresses.map((address) => {
      // A watch can wait for hours. When its connection dies silently, nothing would arrive and nothing
      // would fail; the pings end the connection, so the watch throws and is opened again.
      const sessions = new GuardedSessionManager(address, {
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

  /** @returns How many members there are. */
  get count(): number {
    return this.endpoints.length;
  }

  /**
   * Finds a member that can be sent to. Nothing has been sent when this throws, which is what lets a
   * write fail as `unavailable` and not as `unsure`.
   *
   * @returns The first member, from the preferred one on, whose connection is open or opens.
   * @throws {@link PlatformStoreError} `unavailable` when none can be reached.
   */
  async connected(): Promise<EtcdEndpoint> {
    for (let tried = 0; tried < this.endpoints.length; tried += 1) {
      const endpoint = this.endpoints[this.preferred]!;
      if (await this.opens(endpoint)) return endpoint;
      this.avoid(endpoint);
    }
    const addresses = this.endpoints.map(({ address }) => address).join(', ');
    throw new PlatformStoreError('unavailable', `no connection to ${addresses}`);
  }

  /**
   * Prefers the next member from now on, unless another call has already moved on.
   *
   * @param failed - the member that failed.
   */
  avoid(failed: EtcdEndpoint): void {
    if (this.endpoints[this.preferred] !== failed) return;
    this.preferred = (this.preferred + 1) % this.endpoints.length;
  }

  /** Closes every connection; calls in progress fail. */
  close(): void {
    this.endpoints.forEach(({ sessions }) => sessions.abort());
  }

  private async opens({ sessions }: ManagedEndpoint): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined;
    const tooLate = new Promise<'timeout'>((resolve) => {
      timer = setTimeout(() => resolve('timeout'), this.connectTimeoutMilliseconds);
    });
    const state = await Promise.race([sessions.connect(), tooLate]);
    clearTimeout(timer);
    return state === 'open' || state === 'idle';
  }
}
