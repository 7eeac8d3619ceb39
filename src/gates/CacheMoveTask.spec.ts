import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';

import type { FleetRunner } from '../fleet/FleetView.js';
import {
  RoutingPolicySchema,
  RunnerRecordSchema,
} from '../generated/baobabdock/v1/configuration_pb.js';
import type { RoutingPolicy } from '../generated/baobabdock/v1/configuration_pb.js';
import type { HomeChange, WarmRunner } from '../generated/baobabdock/v1/peers_pb.js';
import { HomePort } from '../homes/HomePort.js';
import { toWarmRunner } from '../homes/warmRunners.js';
import { SilentLog } from '../logging/Log.js';
import { FixedFleetView } from '../operators/FixedFleetView.js';
import { ManualClock } from '../time/ManualClock.js';
import type { CacheMoveMessage } from './CacheMoveDecisions.js';
import { CacheMoveTask } from './CacheMoveTask.js';
import { gatesFeature } from './gatesFeature.js';
import { GateTaskPrefixCacheIndex } from './GateTaskPrefixCacheIndex.js';
import { TestUpstream } from './GateTaskTestUpstream.js';

const GUARD_MILLISECONDS = 30_000;
const TOKENS = 5_000;

class FakeHomes extends HomePort {
  readonly warm = new Map<string, readonly WarmRunner[]>();

  readonly told: HomeChange[] = [];

  override async findWarmRunners(chat: string): Promise<readonly WarmRunner[]> {
    return this.warm.get(chat) ?? [];
  }

  override reportChanges(changes: readonly HomeChange[]): void {
    this.told.push(...changes);
  }
}

class MovingFleetView extends FixedFleetView {
  override routingPolicy(): RoutingPolicy {
    return create(RoutingPolicySchema, { name: 'moves', bound: 1.25, moveCache: true });
  }
}

function runnerOf(id: string, state: FleetRunner['state']): FleetRunner {
  return { id, state, record: create(RunnerRecordSchema, { runnerId: id, service: 'chats' }) };
}

function warmAt(runnerId: string, cachedTokens: number): WarmRunner {
  return toWarmRunner({ runnerId, cachedTokens, ageMilliseconds: 0 });
}

/** Creates a cache move task with fake homes and upstreams, and records how its moves ended. */
function createMoveBench(state: FleetRunner['state']) {
  const fleet = new MovingFleetView();
  fleet.fleetRunners = [
    runnerOf('old', state),
    runnerOf('new', 'live'),
    ...(state === 'live' ? [runnerOf('third', 'live')] : [runnerOf('gone', 'leaving')]),
  ];
  const lightest = [{ runnerId: 'new', load: 0 }];
  fleet.loads.set('chats', { runners: 3, mean: 100, lightest });
  const homes = new FakeHomes();
  const ended: string[] = [];
  const task = new CacheMoveTask({
    fleet,
    homes,
    clock: new ManualClock(),
    log: new SilentLog(),
    settings: gatesFeature.settings.parse({ cacheBytesPerToken: 1_000 }),
    createUpstream: () => {
      const upstream = new TestUpstream();
      upstream.exported = new Uint8Array(1_000);
      return upstream;
    },
    record: ({ message }: { message: CacheMoveMessage }) => {
      if ('chat' in message) ended.push(`${message.kind} ${message.chat}`);
    },
  });
  const cache = new GateTaskPrefixCacheIndex();
  const until = async (count: number): Promise<void> => {
    while (ended.length < count) await nextTurn();
  };
  return { fleet, homes, ended, task, watch: { cache, tokensPerSecond: 0 }, until };
}

describe(CacheMoveTask.name, { timeout: GUARD_MILLISECONDS }, () => {
  // Guards against copies that are never used and keep the link busy for minutes after a runner has left: while
  // its move waits, a chat is used again and rebuilt at another runner, and its cache is then copied without
  // checking where it already is.
  it('does not copy a cache that is at another live runner when its move would start', async () => {
    const { fleet, homes, ended, task, watch, until } = createMoveBench('leaving');
    homes.warm.set('returned', [warmAt('old', TOKENS), warmAt('new', TOKENS + 1)]);
    homes.warm.set('shorter elsewhere', [warmAt('new', TOKENS - 1)]);
    homes.warm.set('at a leaver', [warmAt('gone', TOKENS)]);
    const chats = ['returned', 'shorter elsewhere', 'at a leaver', 'only here'];
    for (const chat of chats) watch.cache.recordUse(chat, TOKENS);
    task.updateRunner(fleet.runner('old')!, watch);
    await until(chats.length);
    task.stop();
    const moved = chats.slice(1).map((chat) => `moved ${chat}`);
    expect([...ended].sort()).toEqual([...moved, 'needless returned'].sort());
    expect(homes.told.map(({ chat }) => chat).sort()).toEqual(chats.slice(1).sort());
  });

  it('copies a hot chat to one more runner, unless the target has it already', async () => {
    const { fleet, homes, ended, task, watch, until } = createMoveBench('live');
    homes.warm.set('at the target', [warmAt('old', TOKENS), warmAt('new', TOKENS)]);
    homes.warm.set('elsewhere', [warmAt('old', TOKENS), warmAt('third', TOKENS)]);
    for (const chat of ['at the target', 'elsewhere']) {
      const change = { chat, cachedTokens: TOKENS };
      task.onWarmRefused(fleet.runner('old')!, change, watch);
      task.onWarmRefused(fleet.runner('old')!, change, watch);
    }
    await until(2);
    task.stop();
    expect([...ended].sort()).toEqual(['moved elsewhere', 'needless at the target']);
  });
});
