import { describe, it } from 'node:test';

import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';

import { RoutingPolicySchema } from '../generated/baobabdock/v1/configuration_pb.js';
import type { HostedGate } from './GateHost.js';
import { GateHostWarmth } from './GateHostWarmth.js';

const SNAPSHOT = { state: 'open', running: 6, queued: 0, load: 1_000, foreignWork: 0 };
const MEAN = 1_000;

interface Case {
  readonly name: string;
  readonly snapshot?: Partial<typeof SNAPSHOT>;
  readonly held?: boolean;
  readonly isUsable?: boolean;
  readonly service?: string;
  readonly tokens?: number;
  /** The expected `hasRoom` of each place; empty if none is expected. */
  readonly found: boolean[];
}

const CASES: readonly Case[] = [
  { name: 'a runner at the mean load has room', found: [true] },
  {
    name: 'a runner up to half the distance to its bound has room',
    snapshot: { load: 1_120 },
    found: [true],
  },
  {
    name: 'a runner above half the distance has no room',
    snapshot: { load: 1_130 },
    found: [false],
  },
  { name: 'work started by other holders counts', snapshot: { foreignWork: 130 }, found: [false] },
  {
    name: 'a runner with few running requests has room at any load',
    snapshot: { running: 3, load: 9_000 },
    found: [true],
  },
  {
    name: 'a runner with queued requests has no room',
    snapshot: { running: 3, queued: 1 },
    found: [false],
  },
  {
    name: 'a runner whose gate is opening has no room',
    snapshot: { state: 'opening' },
    found: [false],
  },
  { name: 'a gate that is no longer held is left out', held: false, found: [] },
  { name: 'an unusable runner is left out', isUsable: false, found: [] },
  { name: 'a runner of another service is left out', service: 'other', found: [] },
  { name: 'a runner without the chat in its cache is left out', tokens: 0, found: [] },
];

describe(GateHostWarmth.name, () => {
  for (const { name, snapshot, held = true, isUsable = true, ...rest } of CASES) {
    it(name, () => {
      const { service = 'chat', tokens = 50, found } = rest;
      const cache = { tokensOf: () => tokens };
      const task = {
        service,
        watch: { isUsable, cache },
        snapshot: () => ({ ...SNAPSHOT, ...snapshot }),
      };
      const gate = { task, held } as unknown as HostedGate;
      const warmth = new GateHostWarmth({
        host: { hosted: () => new Map([['runner', gate]]) },
        fleet: {
          poolLoad: () => ({ mean: MEAN, runners: 2, lightest: [] }),
          routingPolicy: () => create(RoutingPolicySchema, { bound: 1.25 }),
        },
      });
      expect(warmth.runnersFor('chat', 'name').map(({ hasRoom }) => hasRoom)).toEqual(found);
    });
  }
});
