import { describe, it } from 'node:test';

import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';

import { MemoryPlatformStore } from '../../standIns/platform/MemoryPlatformStore.js';
import type { DecisionStep } from '../decisions/DecisionTask.js';
import type { LoadReport } from '../gates/gateTypes.js';
import type { Configuration } from '../generated/baobabdock/v1/configuration_pb.js';
import {
  ModelVersionSchema,
  RolloutSchema,
  RunnerRecordSchema,
  ServiceSchema,
} from '../generated/baobabdock/v1/configuration_pb.js';
import { EntityEditSchema } from '../generated/baobabdock/v1/changes_pb.js';
import { MemberSchema } from '../generated/baobabdock/v1/peers_pb.js';
import { SilentLog } from '../logging/Log.js';
import { FixedFleetView } from '../operators/FixedFleetView.js';
import { MemoryConfigurationChanges } from '../operators/MemoryConfigurationChanges.js';
import type { EntityContent } from '../operators/resourceKinds.js';
import { entityOf } from '../operators/resourceKinds.js';
import { ManualClock } from '../time/ManualClock.js';
import type { OrderResult, UpstreamOrder, UpstreamState } from '../upstreams/Upstream.js';
import { EngineUpstream } from '../upstreams/EngineUpstream.js';
import { OrderTask } from './OrderTask.js';
import type { OrderAction, OrderMessage } from './orderTypes.js';
import { leaseKey } from './poolPicture.js';

const POOL = { service: 'sales', dataCentre: 'rosario-1' };
const STEP_MILLISECONDS = 250;
const LONGEST_RUN_MILLISECONDS = 20 * 60_000;

/** An engine that carries out each order at once and refuses outdated fencing tokens. */
class CompliantEngine extends EngineUpstream {
  state: UpstreamState = {
    model: 'tile',
    versions: ['1'],
    adapters: [],
    role: 'mixed',
    loading: [],
  };

  readonly received: { order: UpstreamOrder; token: number }[] = [];

  highestToken = 0;

  override readState(): Promise<UpstreamState> {
    return Promise.resolve(this.state);
  }

  override readLoad(): Promise<LoadReport> {
    const report = { load: 0, running: 0, queued: 0, ageMilliseconds: 0, tokensPerSecond: 1 };
    return Promise.resolve(report);
  }

  override order(order: UpstreamOrder, token: number): Promise<OrderResult> {
    if (token < this.highestToken) {
      return Promise.resolve({ kind: 'refused_fencing', highestFencingToken: this.highestToken });
    }
    this.received.push({ order, token });
    const { versions } = this.state;
    if (order.kind === 'load_version') {
      this.state = { ...this.state, versions: [...versions, order.version] };
    }
    if (order.kind === 'unload_version') {
      const left = versions.filter((version) => version !== order.version);
      this.state = { ...this.state, versions: left };
    }
    return Promise.resolve({ kind: 'accepted' });
  }
}

/** One daemon with its order task, an in-memory store and a clock that the test advances. */
class OrderTaskHarness {
  readonly clock = new ManualClock({ wallMilliseconds: 1_000_000 });

  readonly store = new MemoryPlatformStore({ clock: this.clock });

  readonly changes = new MemoryConfigurationChanges();

  readonly fleet = new FixedFleetView();

  readonly engines = new Map<string, CompliantEngine>();

  readonly steps: DecisionStep<OrderMessage, OrderAction>[] = [];

  onStep: (step: DecisionStep<OrderMessage, OrderAction>) => void = () => {};

  readonly task: OrderTask;

  constructor(runners: number) {
    this.fleet.daemons = [
      create(MemberSchema, { daemonId: 'litoral-1', state: 'alive', dataCentre: 'rosario-1' }),
    ];
    this.fleet.inForce = () => this.configuration();
    for (let number = 0; number < runners; number += 1) this.addRunner(number);
    this.task = new OrderTask({
      pool: POOL,
      decisions: { lease: { key: leaseKey(POOL), holder: 'litoral-1#1' } },
      fleet: this.fleet,
      store: this.store,
      changes: this.changes,
      upstreamOf: (address) => this.engines.get(address)!,
      longestOrderMilliseconds: 15_000,
      clock: this.clock,
      log: new SilentLog(),
      record: (step) => {
        this.steps.push(step);
        this.onStep(step);
      },
    });
  }

  async put(...values: EntityContent[]): Promise<void> {
    const edits = values.map((value) =>
      create(EntityEditSchema, { edit: { case: 'upsert', value: entityOf(value) } }),
    );
    const changeId = `test-${this.changes.revision()}`;
    await this.changes.change({ changeId, author: 'ana', comment: '', edits });
  }

  async startRollout(): Promise<void> {
    const service = { name: 'sales', kind: 'engine', model: 'tile', wantedVersion: '1' };
    const rollout = {
      name: 'sales',
      service: 'sales',
      fromVersion: '1',
      toVersion: '2',
      state: 'running',
      maximumUnavailableShare: 0.25,
      maximumFailures: 1,
      dataCentres: ['rosario-1'],
    };
    const version = { name: 'tile-2', model: 'tile', version: '2', weightBytes: 1000n };
    await this.put(
      { case: 'service', value: create(ServiceSchema, { ...service, checksFencing: true }) },
      { case: 'modelVersion', value: create(ModelVersionSchema, version) },
      { case: 'rollout', value: create(RolloutSchema, rollout) },
    );
  }

  /** Advances the clock until the condition holds. Throws if it does not hold within the longest run. */
  async advanceUntil(condition: () => boolean): Promise<void> {
    const end = this.clock.monotonicMilliseconds() + LONGEST_RUN_MILLISECONDS;
    while (!condition()) {
      if (this.clock.monotonicMilliseconds() > end)
        throw new Error('The condition did not hold within the longest run.');
      this.clock.advance(STEP_MILLISECONDS);
      this.fleet.revision = this.changes.revision();
      this.task.review();
      this.task.send({ kind: 'tick' });
      await new Promise(setImmediate);
    }
  }

  orders(): { order: UpstreamOrder; token: number }[] {
    return [...this.engines.values()].flatMap(({ received }) => received);
  }

  private addRunner(number: number): void {
    const address = `127.0.0.1:${9000 + number}`;
    this.engines.set(address, new CompliantEngine({ address }));
    const record = create(RunnerRecordSchema, {
      runnerId: `r${number}`,
      service: 'sales',
      dataCentre: 'rosario-1',
      address,
      incarnation: 1n,
    });
    this.fleet.fleetRunners.push({ id: record.runnerId, record, state: 'live' });
  }

  private configuration(): Configuration {
    return this.changes.configuration();
  }
}

function isOrder(action: OrderAction): boolean {
  return action.kind === 'order';
}

function isLeaseLost(action: OrderAction): boolean {
  return action.kind === 'report' && action.event === 'leaseLost';
}

describe(OrderTask.name, () => {
  it('rolls a version out through lease, drains, orders and the configuration', async () => {
    const harness = new OrderTaskHarness(5);
    await harness.startRollout();
    const rollout = () => harness.changes.configuration().rollouts[0];
    await harness.advanceUntil(() => rollout()?.state === 'finished');
    harness.task.release();
    const [service] = harness.changes.configuration().services;
    expect([service?.wantedVersion, harness.changes.configuration().drains.length]).toEqual([
      '2',
      0,
    ]);
    const versions = [...harness.engines.values()].map(({ state }) => state.versions.join());
    expect(versions).toEqual(['2', '2', '2', '2', '2']);
    const { entry } = await harness.store.get(leaseKey(POOL));
    expect(entry).toEqual(undefined);
    const tokens = new Set(harness.orders().map(({ token }) => token));
    expect([harness.orders().length, tokens.size]).toEqual([10, 1]);
  });

  it('sends no order when the process was paused between decision and call', async () => {
    // Guards against an engine carrying out an order of a holder whose lease expired a minute ago: the order
    // is decided under a valid lease, the process is paused, resumes and sends it. This happens if the clock
    // is checked only when the order is decided, not when it is sent.
    const harness = new OrderTaskHarness(4);
    await harness.startRollout();
    const decided = () => harness.steps.flatMap(({ actions }) => actions).filter(isOrder).length;
    harness.onStep = ({ actions }) => {
      if (actions.some(isOrder) && decided() === 1) harness.clock.advance(60_000);
    };
    await harness.advanceUntil(() =>
      harness.steps.some(({ message }) => message.kind === 'order_ended'),
    );
    const ended = harness.steps.find(({ message }) => message.kind === 'order_ended')?.message;
    expect(ended?.kind === 'order_ended' && ended.end).toEqual({ kind: 'not_sent' });
    expect(harness.orders()).toEqual([]);
    await harness.advanceUntil(
      () => harness.changes.configuration().rollouts[0]?.state === 'finished',
    );
    harness.task.release();
  });

  it('gives its lease up when an engine has met a newer holder', async () => {
    // Guards against a replaced holder that goes on with the engines that the new holder has not reached yet.
    // The new holder's order reaches one engine, which then refuses the old holder. This happens if the
    // refusal is treated as a fault of that one engine.
    const harness = new OrderTaskHarness(4);
    await harness.startRollout();
    for (const engine of harness.engines.values()) engine.highestToken = 1_000_000;
    await harness.advanceUntil(() =>
      harness.steps.some(({ actions }) => actions.some(isLeaseLost)),
    );
    expect(harness.orders()).toEqual([]);
    expect(harness.changes.configuration().rollouts[0]?.state).toEqual('running');
    harness.task.release();
  });

  it('goes on through an outage of the platform, once it holds the lease again', async () => {
    const harness = new OrderTaskHarness(8);
    await harness.startRollout();
    await harness.advanceUntil(() => harness.orders().length >= 2);
    const before = harness.orders().length;
    harness.store.faults.set({ outage: true });
    harness.changes.faults.push(...Array.from({ length: 3 }, () => 'unavailable' as const));
    await harness.advanceUntil(() =>
      harness.steps.some(({ actions }) => actions.some(isLeaseLost)),
    );
    const during = harness.orders().length;
    const outageEnd = harness.clock.monotonicMilliseconds() + 120_000;
    await harness.advanceUntil(() => harness.clock.monotonicMilliseconds() >= outageEnd);
    expect([harness.orders().length - during, during >= before]).toEqual([0, true]);
    harness.store.faults.set({ outage: false });
    await harness.advanceUntil(
      () => harness.changes.configuration().rollouts[0]?.state === 'finished',
    );
    harness.task.release();
    expect(new Set(harness.orders().map(({ token }) => token)).size).toEqual(2);
  });

  it('leaves alone what an operator changed or drained meanwhile', async () => {
    const harness = new OrderTaskHarness(4);
    await harness.startRollout();
    await harness.advanceUntil(() => harness.changes.configuration().drains.length > 0);
    const [rollout] = harness.changes.configuration().rollouts;
    const halted = { ...rollout!, state: 'halted', resumesAs: 'running' };
    await harness.put({ case: 'rollout', value: halted });
    await harness.advanceUntil(() => harness.changes.configuration().drains.length === 0);
    const later = harness.clock.monotonicMilliseconds() + 300_000;
    await harness.advanceUntil(() => harness.clock.monotonicMilliseconds() >= later);
    harness.task.release();
    expect(harness.changes.configuration().rollouts[0]?.state).toEqual('halted');
    const versions = [...harness.engines.values()].map(({ state }) => state.versions.join());
    expect(versions.sort()).toEqual(['1', '1', '1', '2']);
  });
});
