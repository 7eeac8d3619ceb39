/**
 * The calls of the etcd subset over a {@link KeyValueState}, with faults, limits and a count.
 */
import { setTimeout as delay } from 'node:timers/promises';

import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter, HandlerContext } from '@connectrpc/connect';

import { KV, Lease, Watch } from '../../src/generated/etcd/etcdserverpb/rpc_pb.js';
import type {
  LeaseKeepAliveRequest,
  RangeRequest,
  WatchCreateRequest,
  WatchRequest,
} from '../../src/generated/etcd/etcdserverpb/rpc_pb.js';
import { PlatformCallMeter } from '../../src/store/PlatformCallMeter.js';
import { keyText } from '../../src/store/etcdMessages.js';
import type { Clock } from '../../src/time/Clock.js';
import { ChangeQueue } from './ChangeQueue.js';
import { CompactedError, LeaseNotFoundError } from './KeyValueState.js';
import type { KeyValueState } from './KeyValueState.js';
import type { PlatformFaults, PlatformOperation } from './PlatformFaults.js';
import type { RateLimit } from './RateLimit.js';
import {
  endKey,
  toChangeEvent,
  toKeyValue,
  toTransaction,
  toTxnAnswer,
} from './standInMessages.js';

const MILLISECONDS_PER_SECOND = 1000;

const READS: ReadonlySet<PlatformOperation> = new Set(['get', 'range', 'watch']);

/** Options of an {@link EtcdService}. */
export interface EtcdServiceOptions {
  state: KeyValueState;
  faults: PlatformFaults;
  clock: Clock;
  writes: RateLimit;
  reads: RateLimit;
}

/** Serves calls and counts them, a waiting watch as one. */
export class EtcdService {
  readonly meter: PlatformCallMeter;

  private readonly state: KeyValueState;

  private readonly faults: PlatformFaults;

  private readonly clock: Clock;

  private readonly writes: RateLimit;

  private readonly reads: RateLimit;

  /**
   * @param options - state, faults, limits.
   */
  constructor({ state, faults, clock, writes, reads }: EtcdServiceOptions) {
    this.state = state;
    this.faults = faults;
    this.clock = clock;
    this.writes = writes;
    this.reads = reads;
    this.meter = new PlatformCallMeter({ clock });
  }

  /** Registers the calls at a connect router. */
  readonly routes = (router: ConnectRouter): void => {
    router.service(KV, {
      range: (request, context) => this.range(request, context),
      txn: (request, context) =>
        this.call('transact', context, () =>
          toTxnAnswer(this.state.transact(toTransaction(request)), request),
        ),
      put: ({ key, value, lease }, context) =>
        this.call('transact', context, () => {
          const leaseId = lease === 0n ? undefined : String(lease);
          const write = { kind: 'put', key: keyText(key), value, leaseId } as const;
          this.state.transact({ expected: [], writes: [write] });
          return { header: this.header() };
        }),
      deleteRange: ({ key, rangeEnd }, context) =>
        this.call('transact', context, () => {
          const found = this.state.range(keyText(key), endKey(rangeEnd));
          const writes = found.map((entry) => ({ kind: 'delete', key: entry.key }) as const);
          this.state.transact({ expected: [], writes });
          return { header: this.header(), deleted: BigInt(found.length) };
        }),
    });
    router.service(Lease, {
      leaseGrant: ({ ttl }, context) =>
        this.call('grantLease', context, () => {
          const milliseconds = Number(ttl) * MILLISECONDS_PER_SECOND;
          const id = this.state.grantLease(milliseconds, this.now());
          return { header: this.header(), id: BigInt(id), ttl };
        }),
      leaseRevoke: ({ id }, context) =>
        this.call('revokeLease', context, () => {
          this.state.revokeLease(String(id));
          return { header: this.header() };
        }),
      leaseKeepAlive: (requests, context) => this.keepAlive(requests, context),
    });
    router.service(Watch, { watch: (requests, context) => this.watch(requests, context) });
  };

  private range(request: RangeRequest, context: HandlerContext) {
    const end = endKey(request.rangeEnd);
    return this.call(end === undefined ? 'get' : 'range', context, () => {
      const old = this.faults.lasting.oldDataRevision;
      const asked = request.revision === 0n ? undefined : Number(request.revision);
      const found = this.state.range(keyText(request.key), end, asked ?? old);
      const limit = request.limit === 0n ? found.length : Number(request.limit);
      return {
        header: { revision: BigInt(old ?? this.state.revision) },
        kvs: found.slice(0, limit).map((entry) => toKeyValue(entry, request.keysOnly)),
        more: found.length > limit,
        count: BigInt(found.length),
      };
    });
  }

  private async *keepAlive(
    requests: AsyncIterable<LeaseKeepAliveRequest>,
    context: HandlerContext,
  ) {
    for await (const { id } of requests) {
      const ttl = await this.call('renewLease', context, () => this.renewedSeconds(String(id)));
      yield { header: this.header(), id, ttl: BigInt(ttl) };
    }
  }

  private renewedSeconds(leaseId: string): number {
    try {
      return this.state.renewLease(leaseId, this.now()) / MILLISECONDS_PER_SECOND;
    } catch (error) {
      // The published interface answers a lost lease with 0 seconds, not with an error.
      if (error instanceof LeaseNotFoundError) return 0;
      throw error;
    }
  }

  private async *watch(requests: AsyncIterable<WatchRequest>, context: HandlerContext) {
    const { value: first } = await requests[Symbol.asyncIterator]().next();
    const requestUnion = (first as WatchRequest | undefined)?.requestUnion;
    if (requestUnion?.case === 'createRequest') yield* this.watchOne(requestUnion.value, context);
  }

  private async *watchOne(request: WatchCreateRequest, context: HandlerContext) {
    await this.call('watch', context, () => {});
    const ended = this.meter.openWatch();
    const queue = new ChangeQueue();
    const stopBreaking = this.faults.onBreak(() =>
      queue.fail(new ConnectError('watch broken', Code.Unavailable)),
    );
    context.signal.addEventListener('abort', () => queue.end());
    let stopWatching = (): void => {};
    try {
      const start = keyText(request.key);
      const from = Number(request.startRevision);
      stopWatching = this.state.watch(start, endKey(request.rangeEnd), from, (changes) => {
        if (!this.faults.lasting.muteWatches) queue.push(changes);
      });
      yield { header: this.header(), watchId: 0n, created: true };
      for await (const changes of queue)
        yield { header: this.header(), watchId: 0n, events: changes.map(toChangeEvent) };
    } catch (error) {
      if (!(error instanceof CompactedError)) throw error;
      const compactRevision = BigInt(error.compactedRevision + 1);
      yield { header: this.header(), watchId: 0n, canceled: true, compactRevision };
    } finally {
      stopWatching();
      stopBreaking();
      ended();
    }
  }

  private async call<Answer>(
    operation: PlatformOperation,
    context: HandlerContext,
    effect: () => Answer,
  ): Promise<Answer> {
    if (operation !== 'watch') this.meter.count(operation);
    const limit = READS.has(operation) ? this.reads : this.writes;
    if (!limit.take()) throw new ConnectError('too many requests', Code.ResourceExhausted);
    this.state.expireLeases(this.now());
    const fault = this.faults.take(operation);
    if (fault === 'refuse') throw new ConnectError('refused', Code.Unavailable);
    if (fault === 'lose_request') return this.neverAnswer(context);
    if (fault === 'late_effect') {
      this.faults.delayEffect(effect);
      return this.neverAnswer(context);
    }
    const answer = this.applied(effect);
    if (fault === 'lose_answer') return this.neverAnswer(context);
    const { slowMilliseconds } = this.faults.lasting;
    if (slowMilliseconds > 0) await delay(slowMilliseconds);
    return answer;
  }

  private applied<Answer>(effect: () => Answer): Answer {
    try {
      return effect();
    } catch (error) {
      if (error instanceof LeaseNotFoundError) throw new ConnectError(error.message, Code.NotFound);
      if (error instanceof CompactedError) throw new ConnectError(error.message, Code.OutOfRange);
      throw error;
    }
  }

  /** Waits until the caller gives up. */
  private async neverAnswer({ signal }: HandlerContext): Promise<never> {
    if (!signal.aborted)
      await new Promise((resolve) => {
        signal.addEventListener('abort', resolve, { once: true });
      });
    throw new ConnectError('the caller has gone', Code.Canceled);
  }

  private header(): { revision: bigint } {
    return { revision: BigInt(this.state.revision) };
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
