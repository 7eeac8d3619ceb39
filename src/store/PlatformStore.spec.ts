/**
 * Contract tests of the store, run against the client of the published protocol and against the in-memory store.
 */
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryPlatformStore } from '../../standIns/platform/MemoryPlatformStore.js';
import type { PlatformFaults, PlatformFault } from '../../standIns/platform/PlatformFaults.js';
import { PlatformStandIn } from '../../standIns/platform/PlatformStandIn.js';
import type { KeyValueState } from '../../standIns/platform/KeyValueState.js';
import { ManualClock } from '../time/ManualClock.js';
import { EtcdPlatformStore } from './EtcdPlatformStore.js';
import { PlatformCallMeter } from './PlatformCallMeter.js';
import { MAXIMUM_VALUE_BYTES, PlatformStoreError } from './PlatformStore.js';
import type { PlatformStore, StoreFailure, WatchEvent } from './PlatformStore.js';

interface Subject {
  readonly store: PlatformStore;
  readonly state: KeyValueState;
  readonly faults: PlatformFaults;
  readonly clock: ManualClock;
}

/** Timeout for calls whose answer never comes, in ms: long enough that the call arrives also on a busy machine. */
const LOST_CALL_TIMEOUT_MILLISECONDS = 1000;

/** Timeout for all other calls, in ms: no expectation depends on it. */
const CALL_TIMEOUT_MILLISECONDS = 20_000;

const closing: (() => Promise<void>)[] = [];

async function overProtocol(callTimeoutMilliseconds: number): Promise<Subject> {
  const clock = new ManualClock();
  const standIn = new PlatformStandIn({ clock });
  const address = await standIn.start();
  const store = new EtcdPlatformStore({
    addresses: [address],
    callTimeoutMilliseconds,
  });
  closing.push(
    () => store.close(),
    () => standIn.stop(),
  );
  return { store, state: standIn.state, faults: standIn.faults, clock };
}

async function inMemory(): Promise<Subject> {
  const clock = new ManualClock();
  const store = new MemoryPlatformStore({ clock });
  return { store, state: store.state, faults: store.faults, clock };
}

const SUBJECTS = { 'etcd subset': overProtocol, memory: inMemory } as const;

const bytes = (text: string): Uint8Array => new TextEncoder().encode(text);
const put = (key: string, text = 'value') => ({ kind: 'put', key, value: bytes(text) }) as const;
const absent = (key: string) => ({ key, modifiedRevision: 0 });

async function failureOf(promise: Promise<unknown>): Promise<StoreFailure | 'none'> {
  try {
    await promise;
    return 'none';
  } catch (error) {
    if (!(error instanceof PlatformStoreError)) throw error;
    return error.failure;
  }
}

async function take(events: AsyncIterable<WatchEvent>, count: number): Promise<WatchEvent[]> {
  const taken: WatchEvent[] = [];
  for await (const event of events) {
    taken.push(event);
    if (taken.length === count) break;
  }
  return taken;
}

afterEach(async () => {
  for (const close of closing.splice(0)) await close();
});

for (const [name, openWith] of Object.entries(SUBJECTS)) {
  const open = (timeout = CALL_TIMEOUT_MILLISECONDS): Promise<Subject> => openWith(timeout);

  describe(`platform store: ${name}`, () => {
    it('writes all or nothing and shows the newer value after a conflict', async () => {
      const { store } = await open();
      const first = await store.transact({
        expected: [absent('a/1'), absent('a/2')],
        writes: [put('a/1', 'one'), put('a/2', 'two')],
      });
      const second = await store.transact({
        expected: [absent('a/1')],
        writes: [put('a/1', 'lost'), put('a/3', 'lost')],
      });
      expect(first.kind).toEqual('committed');
      expect(second).toEqual({
        kind: 'conflict',
        revision: first.revision,
        current: [{ key: 'a/1', value: bytes('one'), modifiedRevision: first.revision }],
      });
      const { entries, revision } = await store.range('a/');
      expect(entries.map((entry) => entry.key)).toEqual(['a/1', 'a/2']);
      expect(revision).toEqual(first.revision);
    });

    it('reads a range of many pages as one state', async () => {
      const { store } = await open();
      const keys = Array.from(
        { length: 1203 },
        (_, index) => `r/${String(index).padStart(5, '0')}`,
      );
      await store.transact({ expected: [], writes: [...keys.map((key) => put(key)), put('s')] });
      const { entries } = await store.range('r/');
      expect(entries.map((entry) => entry.key)).toEqual(keys);
      const named = await store.range('r/000', { keysOnly: true });
      expect(named.entries.map((entry) => entry.value.length)).toEqual(Array(100).fill(0));
    });

    it('refuses a value above the limit before sending it', async () => {
      const { store, state } = await open();
      const value = new Uint8Array(MAXIMUM_VALUE_BYTES + 1);
      const write = { kind: 'put', key: 'big', value } as const;
      expect(await failureOf(store.transact({ expected: [], writes: [write] }))).toEqual(
        'too_large',
      );
      expect(state.range('big', undefined)).toEqual([]);
    });

    it('ends a lease with its keys when it is not renewed', async () => {
      // Guards against a daemon that acts as if it still held its lease after it was paused: the lease
      // expires, its key is deleted, and the holder's renewal must not revive it.
      const { store, clock } = await open();
      const { leaseId, timeToLiveMilliseconds } = await store.grantLease(1500);
      expect(timeToLiveMilliseconds).toEqual(2000);
      await store.transact({ expected: [], writes: [{ ...put('held'), leaseId }] });
      clock.advance(1900);
      expect(await store.renewLease(leaseId)).toEqual({ timeToLiveMilliseconds: 2000 });
      clock.advance(1999);
      expect((await store.get('held')).entry?.key).toEqual('held');
      clock.advance(1);
      expect(await failureOf(store.renewLease(leaseId))).toEqual('lease_lost');
      expect((await store.get('held')).entry).toEqual(undefined);
      const late = store.transact({ expected: [], writes: [{ ...put('held'), leaseId }] });
      expect(await failureOf(late)).toEqual('lease_lost');
      await store.revokeLease(leaseId);
    });

    it('replays the history to a watch, follows it, and says when it is compacted', async () => {
      const { store, state } = await open();
      const stop = new AbortController();
      const first = await store.transact({ expected: [], writes: [put('w/1'), put('x/1')] });
      const events = take(store.watch('w/', first.revision, stop.signal), 3);
      await store.transact({ expected: [], writes: [put('w/2')] });
      await store.transact({ expected: [], writes: [{ kind: 'delete', key: 'w/1' }] });
      expect((await events).map((event) => event.kind)).toEqual(['put', 'put', 'delete']);
      state.compact(state.revision);
      const compacted = await take(store.watch('w/', first.revision, stop.signal), 1);
      expect(compacted).toEqual([{ kind: 'compacted', revision: state.revision + 1 }]);
      expect((await store.range('w/')).entries.map((entry) => entry.key)).toEqual(['w/2']);
      stop.abort();
      expect(await take(store.watch('w/', 0, stop.signal), 1)).toEqual([]);
    });

    it('throws from a watch that breaks', async () => {
      const { store, state, faults } = await open();
      const watch = store.watch('w/', 1, new AbortController().signal)[Symbol.asyncIterator]();
      await store.transact({ expected: [], writes: [put('w/1')] });
      expect((await watch.next()).value?.kind).toEqual('put');
      const broken = failureOf(watch.next());
      faults.breakWatches();
      expect(await broken).toEqual('unavailable');
      expect(state.revision).toEqual(2);
    });

    it('reports the old revision if a member answers with old data', async () => {
      const { store, faults } = await open();
      const old = await store.transact({ expected: [], writes: [put('o', 'old')] });
      await store.transact({ expected: [], writes: [put('o', 'new')] });
      faults.set({ oldDataRevision: old.revision });
      const { entry, revision } = await store.get('o');
      expect([entry?.value, revision]).toEqual([bytes('old'), old.revision]);
    });

    // Guards against an operator's change that is applied twice, or is reported as failed although it is in force. The
    // write is sent, and the request or the answer is lost: the store must not report that as a failure without effect,
    // and must not retry the write itself.
    const losses: readonly [PlatformFault, StoreFailure, number, number][] = [
      ['refuse', name === 'memory' ? 'unavailable' : 'unsure', 0, 0],
      ['lose_request', 'unsure', 0, 0],
      ['lose_answer', 'unsure', 1, 1],
      ['late_effect', 'unsure', 0, 1],
    ];
    for (const [fault, failure, effectsAtOnce, effectsLater] of losses) {
      it(`reports a write with ${fault} as ${failure}`, async () => {
        const { store, state, faults } = await open(LOST_CALL_TIMEOUT_MILLISECONDS);
        faults.plan('transact', fault);
        const write = store.transact({ expected: [absent('k')], writes: [put('k')] });
        expect(await failureOf(write)).toEqual(failure);
        expect(state.range('k', undefined).length).toEqual(effectsAtOnce);
        faults.releaseLateEffects();
        expect(state.range('k', undefined).length).toEqual(effectsLater);
        expect(state.revision).toEqual(1 + effectsLater);
        expect(faults.unused).toEqual(0);
      });
    }

    it('reports a lost read as timeout and an outage as unavailable, then recovers', async () => {
      const { store, faults } = await open(LOST_CALL_TIMEOUT_MILLISECONDS);
      await store.transact({ expected: [], writes: [put('k')] });
      faults.plan('get', 'lose_answer');
      expect(await failureOf(store.get('k'))).toEqual('timeout');
      faults.set({ outage: true });
      expect(await failureOf(store.get('k'))).toEqual('unavailable');
      faults.set({ outage: false });
      expect((await store.get('k')).entry?.value).toEqual(bytes('value'));
    });
  });
}

describe('etcd subset with several members', () => {
  it('tries the next member if the first one is down, before anything is sent', async () => {
    // Guards against a crash of one member that makes every change of the configuration unsure or failed: if the first
    // address refuses connections, the write must go to the next one.
    const clock = new ManualClock();
    const down = new PlatformStandIn({ clock });
    const downAddress = await down.start();
    await down.stop();
    const up = new PlatformStandIn({ clock });
    const meter = new PlatformCallMeter({ clock });
    const store = new EtcdPlatformStore({ addresses: [downAddress, await up.start()], meter });
    closing.push(
      () => store.close(),
      () => up.stop(),
    );
    const result = await store.transact({ expected: [absent('k')], writes: [put('k')] });
    expect(result.kind).toEqual('committed');
    expect(meter.read().totals.transact).toEqual(1);
  });

  it('fails a write as unavailable, not unsure, if no member can be reached', async () => {
    const standIn = new PlatformStandIn();
    const address = await standIn.start();
    await standIn.stop();
    const store = new EtcdPlatformStore({ addresses: [address] });
    closing.push(() => store.close());
    const write = store.transact({ expected: [], writes: [put('k')] });
    expect(await failureOf(write)).toEqual('unavailable');
  });

  it('is refused above the rate limit of the store, and counts each call and each open watch', async () => {
    const clock = new ManualClock();
    const standIn = new PlatformStandIn({ clock, readsPerSecond: 3 });
    const store = new EtcdPlatformStore({ addresses: [await standIn.start()] });
    closing.push(
      () => store.close(),
      () => standIn.stop(),
    );
    const stop = new AbortController();
    const event = take(store.watch('w/', 1, stop.signal), 1);
    await store.transact({ expected: [], writes: [put('w/1')] });
    await store.get('w/1');
    await store.get('w/1');
    expect(await failureOf(store.get('w/1'))).toEqual('unavailable');
    clock.advance(1000);
    expect(await failureOf(store.get('w/1'))).toEqual('none');
    expect((await event).length).toEqual(1);
    expect(standIn.service.meter.read().totals).toEqual({
      get: 4,
      range: 0,
      transact: 1,
      grantLease: 0,
      renewLease: 0,
      revokeLease: 0,
      watch: 1,
    });
  });
});
