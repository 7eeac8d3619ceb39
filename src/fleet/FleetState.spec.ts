import { describe, it } from 'node:test';

import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { expect } from 'earl';

import {
  ConfigurationSchema,
  RunnerListSchema,
} from '../generated/baobabdock/v1/configuration_pb.js';
import type { RunnerRecordSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import { DataCentreSummarySchema, MemberSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { FleetChange } from './FleetState.js';
import { DEFAULT_ROUTING_POLICY, FleetState } from './FleetState.js';

const RUNNERS = Array.from({ length: 60 }, (_, index) => `runner-${index}`);

function member(daemonId: string, dataCentre: string, state = 'alive', loads: number[] = []) {
  const [region = ''] = dataCentre.split('-');
  const pools = loads.map((load) => ({
    service: 'chat',
    runners: 2,
    load,
    lightestRunner: `lightest-of-${daemonId}`,
    lightestLoad: load / 4,
  }));
  return create(MemberSchema, { daemonId, region, dataCentre, state, pools, incarnation: 1n });
}

function runnerList(
  dataCentre: string,
  change: MessageInitShape<typeof RunnerRecordSchema> = {},
  ids: readonly string[] = RUNNERS,
) {
  const [region = ''] = dataCentre.split('-');
  const runners = ids.map((runnerId) => ({
    runnerId,
    service: 'chat',
    region,
    dataCentre,
    state: 'live',
    incarnation: 1n,
    ...change,
  }));
  return create(RunnerListSchema, { runners });
}

function fleetOf(...members: ReturnType<typeof member>[]): FleetState {
  const [self, ...others] = members;
  const fleet = new FleetState({ self: self! });
  for (const other of others) fleet.applyMember(other);
  return fleet;
}

function gateHolders(fleet: FleetState): Map<string, string | undefined> {
  return new Map(RUNNERS.map((runnerId) => [runnerId, fleet.gateOf(runnerId)?.daemonId]));
}

describe(FleetState.name, () => {
  it('assigns gates to daemons of the runner’s data centre, else of its region, else to any', () => {
    const fleet = fleetOf(
      member('a', 'rosario-1'),
      member('b', 'rosario-1'),
      member('c', 'rosario-2'),
      member('d', 'sofia-1'),
    );
    fleet.applyRunners(runnerList('rosario-1'), 1);
    const holders = () => [...new Set(gateHolders(fleet).values())].sort();
    expect(holders()).toEqual(['a', 'b']);
    fleet.applyMember(member('a', 'rosario-1', 'dead'));
    fleet.applyMember(member('b', 'rosario-1', 'leaving'));
    expect(holders()).toEqual(['c']);
    fleet.removeMember('c');
    expect(holders()).toEqual(['d']);
    fleet.applyMember(member('d', 'sofia-1', 'left'));
    expect(holders()).toEqual([undefined]);
  });

  it('moves no gate of a suspect daemon, and only its own gates once it is dead', () => {
    // Guards against runners loaded above the bound after a lost message: if the gates of a suspect daemon moved, and moved
    // back when it refutes the suspicion two seconds later, each runner would have two gates meanwhile.
    const fleet = fleetOf(
      member('a', 'rosario-1'),
      member('b', 'rosario-1'),
      member('c', 'rosario-1'),
    );
    fleet.applyRunners(runnerList('rosario-1'), 1);
    const before = gateHolders(fleet);
    fleet.applyMember(member('b', 'rosario-1', 'suspect'));
    expect(gateHolders(fleet)).toEqual(before);
    fleet.applyMember(member('b', 'rosario-1', 'dead'));
    for (const [runnerId, holder] of gateHolders(fleet)) {
      if (before.get(runnerId) !== 'b') expect(holder).toEqual(before.get(runnerId));
      expect(holder).not.toEqual('b');
    }
  });

  it('sums up a pool over local daemons and other data centres, without dead daemons', () => {
    // Guards against a gate that refuses work for idle runners: if the last digest of a dead daemon still counted after its
    // gates have moved, the same runners would be counted twice, once with an old load.
    const fleet = fleetOf(
      member('a', 'rosario-1', 'alive', [100]),
      member('b', 'rosario-1', 'suspect', [60]),
    );
    fleet.applyMember(member('c', 'rosario-1', 'dead', [1_000]));
    fleet.applyMember(member('d', 'sofia-1', 'alive', [7_000]));
    const pools = [
      { service: 'chat', runners: 4, load: 240, lightestRunner: 'far', lightestLoad: 5 },
    ];
    fleet.applySummary(create(DataCentreSummarySchema, { dataCentre: 'sofia-1', pools }));
    fleet.applySummary(create(DataCentreSummarySchema, { dataCentre: 'rosario-1', pools }));
    const { runners, mean, lightest } = fleet.poolLoad('chat');
    expect([runners, mean]).toEqual([8, 50]);
    expect(lightest.map(({ runnerId }) => runnerId)).toEqual([
      'far',
      'lightest-of-b',
      'lightest-of-a',
    ]);
    expect(fleet.poolLoad('unknown')).toEqual({ runners: 0, mean: 0, lightest: [] });
  });

  it('keeps a runner leaving until a newer incarnation, even if a list says it is live', () => {
    // Guards against new work for a runner that is stopping: it leaves and drops off the list, then an outdated list calls
    // it live again. The runner's own last announcement has to take precedence over the newest list.
    const fleet = fleetOf(member('a', 'rosario-1'));
    const states: (string | undefined)[] = [];
    const lists = [
      runnerList('rosario-1', { state: 'leaving', incarnation: 4n }),
      runnerList('rosario-1', {}, []),
      runnerList('rosario-1', { incarnation: 4n }),
      runnerList('rosario-1', { incarnation: 5n }),
    ];
    for (const [index, list] of lists.entries()) {
      fleet.applyRunners(list, index + 1);
      states.push(fleet.runner('runner-7')?.state);
    }
    expect(states).toEqual(['leaving', undefined, 'leaving', 'live']);
  });

  it('ignores an older configuration or runner list', () => {
    // Guards against a withdrawn account that works again: a late answer with revision 2 arrives after revision 3, and the
    // last one to arrive is put in force.
    const fleet = fleetOf(member('a', 'rosario-1'));
    const changes: FleetChange[] = [];
    const end = fleet.onChange((change) => changes.push(change));
    const services = [{ name: 'chat', routingPolicy: 'lean' }];
    const routingPolicies = [{ name: 'lean', bound: 1.1 }];
    fleet.applyConfiguration(create(ConfigurationSchema, { services, routingPolicies }), 3);
    fleet.applyConfiguration(create(ConfigurationSchema, {}), 2);
    fleet.applyRunners(runnerList('rosario-1'), 9);
    fleet.applyRunners(runnerList('rosario-1', {}, []), 8);
    end();
    fleet.applyRunners(runnerList('rosario-1', {}, []), 9);
    expect([fleet.configurationRevision(), fleet.runnersRevision()]).toEqual([3, 9]);
    expect(fleet.routingPolicy('chat').bound).toEqual(1.1);
    expect(fleet.routingPolicy('other')).toEqual(DEFAULT_ROUTING_POLICY);
    expect(changes).toEqual(['configuration', 'runners']);
  });

  it('assigns the home of a chat to a daemon of the own region', () => {
    const fleet = fleetOf(
      member('a', 'rosario-1'),
      member('b', 'rosario-2'),
      member('c', 'sofia-1'),
    );
    const homes = new Set(RUNNERS.map((chat) => fleet.homeOf(chat)?.daemonId));
    expect([...homes].sort()).toEqual(['a', 'b']);
  });
});
