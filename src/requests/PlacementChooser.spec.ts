import { describe, it } from 'node:test';

import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';

import type { FleetRunner } from '../fleet/FleetView.js';
import type { RunnerState } from '../gates/gateTypes.js';
import { RunnerRecordSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import { WarmRunnerSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { RunnerChoiceInput } from './RunnerChooser.js';
import { PlacementChooser } from './PlacementChooser.js';
import { FakeFleet, memberOf, requestOf } from './testFakes.js';

class FleetOfRunners extends FakeFleet {
  constructor(private readonly states: Readonly<Record<string, RunnerState>>) {
    super('entry-daemon', [memberOf('entry-daemon')]);
  }

  override runners(): readonly FleetRunner[] {
    return Object.entries(this.states).map(([id, state]) => ({
      id,
      state,
      record: create(RunnerRecordSchema, { runnerId: id }),
    }));
  }
}

function questionOf(changes: Partial<RunnerChoiceInput> = {}): RunnerChoiceInput {
  const request = requestOf({ promptTokens: 2_000 });
  return {
    request,
    warm: [],
    tried: [],
    purpose: 'first',
    deadlineMilliseconds: 9_000,
    ...changes,
  };
}

const REFUSED = { load: 900, mean: 300, retryAfterMilliseconds: 400, lastChoice: false };

describe(PlacementChooser.name, () => {
  it('passes the fleet, the warm runners and the refusals to the routing decisions', () => {
    const fleet = new FleetOfRunners({ a: 'live', b: 'live', c: 'leaving' });
    const chooser = new PlacementChooser({ fleet });
    const warm = [create(WarmRunnerSchema, { runnerId: 'b', cachedTokens: 1_900 })];
    expect(chooser.choose(questionOf({ warm }))).toEqual(
      expect.subset({ kind: 'chosen', runnerId: 'b', cachedTokens: 1_900, bound: 1.25 }),
    );
    const tried = [{ runnerId: 'b', why: 'runner_leaving' as const, ...REFUSED }];
    expect(chooser.choose(questionOf({ warm, tried }))).toEqual(
      expect.subset({ kind: 'chosen', runnerId: 'a', cachedTokens: 0 }),
    );
  });

  it('does not choose a runner whose attempt was lost, and returns a Retry-After', () => {
    const chooser = new PlacementChooser({ fleet: new FleetOfRunners({ a: 'live', b: 'live' }) });
    const lost = { runnerId: 'a', why: 'lost' as const, ...REFUSED };
    expect(chooser.choose(questionOf({ tried: [lost] }))).toEqual(
      expect.subset({ kind: 'chosen', runnerId: 'b' }),
    );
    const both = [lost, { ...lost, runnerId: 'b', why: 'runner_down' as const }];
    expect(chooser.choose(questionOf({ tried: both }))).toEqual(
      expect.subset({ kind: 'nobody', retryAfterMilliseconds: 400 }),
    );
    const nobody = new PlacementChooser({ fleet: new FleetOfRunners({ a: 'down' }) });
    expect(nobody.choose(questionOf()).kind).toEqual('nobody');
  });
});
