/**
 * Client of the store by the subset of etcd's published v3 gRPC interface in `proto/etcd/`.
 *
 * That the platform's key-value service supports this interface is an assumption of the project; see
 * docs/INTERFACES.md. All reads are linearizable (never `serializable`), so they return the newest data.
 */
import type { CallOptions } from '@connectrpc/connect';

import { create } from '@bufbuild/protobuf';
import type {
  LeaseKeepAliveResponse,
  WatchRequest,
  WatchResponse,
} from '../generated/etcd/etcdserverpb/rpc_pb.js';
import { WatchRequestSchema } from '../generated/etcd/etcdserverpb/rpc_pb.js';
import { EtcdEndpoints } from './EtcdEndpoints.js';
import type { EtcdEndpoint, EtcdEndpointsOptions } from './EtcdEndpoints.js';
import {
  keyBytes,
  rangeEnd,
  toEntry,
  toStoreError,
  toTransactionResult,
  toTxnRequest,
  toWatchEvents,
} from './etcdMessages.js';
import type { CallKind } from './etcdMessages.js';
import type { PlatformHealth } from './PlatformHealth.js';
import type { CountedOperation, PlatformCallMeter } from './PlatformCallMeter.js';
import { MAXIMUM_VALUE_BYTES, PlatformStore, PlatformStoreError } from './PlatformStore.js';
import type {
  StoreEntry,
  StoreRange,
  StoreTransaction,
  TransactionResult,
  WatchEvent,
} from './PlatformStore.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Entries that one call of a range read requests. */
const RANGE_PAGE_ENTRIES = 500;

/** Options of an {@link EtcdPlatformStore}. */
export interface EtcdPlatformStoreOptions extends EtcdEndpointsOptions {
  /** Timeout of a call once it is sent, in milliseconds. */
  callTimeoutMilliseconds?: number;
  /** Counts every call that is sent, including each page of a range and each retry. */
  meter?: PlatformCallMeter;
  /** Logs outages and their ends. */
  health?: PlatformHealth;
}

type Call<Answer> = (endpoint: EtcdEndpoint, options: CallOptions) => Promise<Answer>;

/** The client's messages of a watch stream: one create request; then the stream stays open until the watch ends. */
async function* watchRequests(
  prefix: string,
  fromRevision: number,
  signal: AbortSignal,
): AsyncIterable<WatchRequest> {
  yield create(WatchRequestSchema, {
    requestUnion: {
      case: 'createRequest',
      value: {
        key: keyBytes(prefix),
        rangeEnd: rangeEnd(prefix),
        startRevision: BigInt(fromRevision),
        progressNotify: true,
      },
    },
  });
  if (signal.aborted) return;
  await new Promise((resolve) => {
    signal.addEventListener('abort', resolve, { once: true });
  });
}

function watchEvents(answer: WatchResponse): WatchEvent[] {
  if (answer.compactRevision > 0n)
    return [{ kind: 'compacted', revision: Number(answer.compactRevision) }];
  return answer.events.flatMap(toWatchEvents);
}

/** Store client over etcd's gRPC interface. It retries reads on another member, but never retries a write. */
export class EtcdPlatformStore extends PlatformStore {
  private readonly endpoints: EtcdEndpoints;

  private readonly callTimeoutMilliseconds: number;

  private readonly meter: PlatformCallMeter | undefined;

  private readonly health: PlatformHealth | undefined;

  /**
   * @param options - addresses, limits and the meter.
   */
  constructor({
    callTimeoutMilliseconds = 2000,
    meter,
    health,
    ...options
  }: EtcdPlatformStoreOptions) {
    super();
    this.endpoints = new EtcdEndpoints(options);
    this.callTimeoutMilliseconds = callTimeoutMilliseconds;
    this.meter = meter;
    this.health = health;
  }

  override async get(key: string): Promise<{ entry: StoreEntry | undefined; revision: number }> {
    const answer = await this.read('get', ({ keyValue }, options) =>
      keyValue.range({ key: keyBytes(key) }, options),
    );
    const [entry] = answer.kvs;
    return { entry: entry && toEntry(entry), revision: Number(answer.header?.revision ?? 0) };
  }

  override async range(
    prefix: string,
    { keysOnly = false }: { keysOnly?: boolean } = {},
  ): Promise<StoreRange> {
    const entries: StoreEntry[] = [];
    let key = keyBytes(prefix);
    let revision = 0n;
    for (;;) {
      const page = { key, rangeEnd: rangeEnd(prefix), revision, keysOnly };
      const answer = await this.read('range', ({ keyValue }, options) =>
        keyValue.range({ ...page, limit: BigInt(RANGE_PAGE_ENTRIES) }, options),
      );
      // Later pages are read at the revision of the first one; otherwise the result could be a state that never existed.
      if (revision === 0n) revision = answer.header?.revision ?? 0n;
      entries.push(...answer.kvs.map(toEntry));
      const last = answer.kvs.at(-1);
      if (!answer.more || !last) return { entries, revision: Number(revision) };
      key = new Uint8Array([...last.key, 0]);
    }
  }

  override async transact(transaction: StoreTransaction): Promise<TransactionResult> {
    for (const write of transaction.writes) {
      if (write.kind === 'put' && write.value.length > MAXIMUM_VALUE_BYTES)
        throw new PlatformStoreError(
          'too_large',
          `the value of ${write.key} has ${write.value.length} bytes, the limit is ${MAXIMUM_VALUE_BYTES}`,
        );
    }
    const request = toTxnRequest(transaction);
    const answer = await this.send('transact', 'write', ({ keyValue }, options) =>
      keyValue.txn(request, options),
    );
    return toTransactionResult(answer);
  }

  override async grantLease(
    timeToLiveMilliseconds: number,
  ): Promise<{ leaseId: string; timeToLiveMilliseconds: number }> {
    const ttl = BigInt(Math.ceil(timeToLiveMilliseconds / MILLISECONDS_PER_SECOND));
    const answer = await this.send('grantLease', 'lease', ({ lease }, options) =>
      lease.leaseGrant({ ttl }, options),
    );
    return {
      leaseId: String(answer.id),
      timeToLiveMilliseconds: Number(answer.ttl) * MILLISECONDS_PER_SECOND,
    };
  }

  override async renewLease(leaseId: string): Promise<{ timeToLiveMilliseconds: number }> {
    const ttl = await this.send('renewLease', 'lease', async ({ lease }, options) => {
      const answers = lease.leaseKeepAlive(
        (async function* once() {
          yield { id: BigInt(leaseId) };
        })(),
        options,
      );
      const { value: answer } = await answers[Symbol.asyncIterator]().next();
      if (answer) return (answer as LeaseKeepAliveResponse).ttl;
      throw new PlatformStoreError(
        'unavailable',
        'the store ended the stream of the lease renewal without an answer',
      );
    });
    if (ttl <= 0n)
      throw new PlatformStoreError('lease_lost', `lease ${leaseId} has expired or was revoked`);
    return { timeToLiveMilliseconds: Number(ttl) * MILLISECONDS_PER_SECOND };
  }

  override async revokeLease(leaseId: string): Promise<void> {
    try {
      await this.send('revokeLease', 'lease', ({ lease }, options) =>
        lease.leaseRevoke({ id: BigInt(leaseId) }, options),
      );
    } catch (error) {
      if (error instanceof PlatformStoreError && error.failure === 'lease_lost') return;
      throw error;
    }
  }

  override async *watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchEvent> {
    const endpoint = await this.endpoints.connected();
    const ended = this.meter?.openWatch();
    const stop = new AbortController();
    const abort = (): void => stop.abort();
    signal.addEventListener('abort', abort);
    if (signal.aborted) abort();
    // A member can accept the stream and never confirm the watch. Without this timeout it would wait for ever.
    const unconfirmed = setTimeout(abort, this.callTimeoutMilliseconds);
    try {
      const requests = watchRequests(prefix, fromRevision, stop.signal);
      const answers = endpoint.watch.watch(requests, { signal: stop.signal });
      for await (const answer of answers) {
        clearTimeout(unconfirmed);
        yield* watchEvents(answer);
        if (answer.canceled) return;
      }
    } catch (error) {
      if (signal.aborted) return;
      this.endpoints.preferNextMember(endpoint);
      throw toStoreError(error, 'read');
    } finally {
      clearTimeout(unconfirmed);
      signal.removeEventListener('abort', abort);
      abort();
      ended?.();
    }
  }

  override async close(): Promise<void> {
    this.endpoints.close();
  }

  /** Sends a read, and retries it on the next member if one is unavailable: reads change nothing. */
  private async read<Answer>(operation: CountedOperation, call: Call<Answer>): Promise<Answer> {
    for (let attempt = 1; ; attempt += 1) {
      try {
        return await this.send(operation, 'read', call);
      } catch (error) {
        const { failure } = error as PlatformStoreError;
        if (failure !== 'unavailable' || attempt >= this.endpoints.count) throw error;
      }
    }
  }

  private async send<Answer>(
    operation: CountedOperation,
    kind: CallKind,
    call: Call<Answer>,
  ): Promise<Answer> {
    try {
      const answer = await this.sendOnce(operation, kind, call);
      this.health?.succeeded();
      return answer;
    } catch (error) {
      const { failure, message } = error as PlatformStoreError;
      this.health?.failed(operation, failure, message);
      throw error;
    }
  }

  private async sendOnce<Answer>(
    operation: CountedOperation,
    kind: CallKind,
    call: Call<Answer>,
  ): Promise<Answer> {
    const endpoint = await this.endpoints.connected();
    this.meter?.count(operation);
    try {
      return await call(endpoint, { timeoutMs: this.callTimeoutMilliseconds });
    } catch (error) {
      const storeError = toStoreError(error, kind);
      if (storeError.failure !== 'lease_lost' && storeError.failure !== 'too_large')
        this.endpoints.preferNextMember(endpoint);
      throw storeError;
    }
  }
}
