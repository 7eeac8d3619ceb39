import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import type { FleetRunner } from '../fleet/FleetView.js';
import { RunnerRecordSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import type { RunnerState } from '../gates/gateTypes.js';
import { predictFirstRunner } from './predictFirstRunner.js';
import type { EntryDaemon, LocateMessage } from './LocateDecisions.js';
import { LocateDecisions } from './LocateDecisions.js';

function daemon(id: string, dataCentre: string, state = 'alive', load = 0): EntryDaemon {
  return {
    id,
    address: `10.0.0.${id}:80`,
    region: dataCentre.slice(0, 1),
    dataCentre,
    state,
    load,
  };
}

function locate(message: Partial<LocateMessage>, decisions = new LocateDecisions()) {
  const [answer] = decisions.decide(0, {
    kind: 'locate',
    spreadKey: 'key',
    region: 'r',
    dataCentre: 'r1',
    daemons: [],
    ...message,
  });
  return answer!;
}

const idsOf = (message: Partial<LocateMessage>) =>
  locate(message).addresses.map(({ daemonId }) => daemonId);

describe('LocateDecisions', () => {
  it('puts the gate first, then the data centre, the region and the rest', () => {
    const daemons = [daemon('1', 's1'), daemon('2', 'r2'), daemon('3', 'r1'), daemon('4', 's1')];
    const gate = { runnerId: 'runner', daemonId: '4', why: 'warm' } as const;
    expect(idsOf({ daemons })).toEqual(['3', '2', ...idsOf({ daemons }).slice(2)]);
    expect(idsOf({ daemons, gate })).toEqual(['4', '3', '2', '1']);
  });

  it('never puts a daemon first that is not alive while another is, and leaves out the leaving', () => {
    const states = fc.constantFrom('alive', 'suspect', 'leaving', 'dead', 'left');
    const daemons = fc.array(fc.tuple(states, fc.constantFrom('r1', 'r2', 's1')), {
      maxLength: 12,
    });
    fc.assert(
      fc.property(daemons, fc.string(), fc.nat(11), (drawn, spreadKey, gateIndex) => {
        const fleet = drawn.map(([state, place], index) => daemon(`${index}`, place, state));
        const gate = { runnerId: 'runner', daemonId: `${gateIndex}`, why: 'warm' } as const;
        const ids = idsOf({ daemons: fleet, spreadKey, gate });
        const stateOf = (id: string | undefined) => fleet.find((one) => one.id === id)?.state;
        const anyAlive = fleet.some(({ state }) => state === 'alive');
        expect(ids.length > 0 && anyAlive ? stateOf(ids[0]) : 'alive').toEqual('alive');
        expect(ids.length > 0 || !anyAlive).toEqual(true);
        expect(ids.every((id) => ['alive', 'suspect'].includes(stateOf(id) ?? ''))).toEqual(true);
        expect(new Set(ids).size).toEqual(ids.length);
      }),
      { seed: 1, numRuns: 300 },
    );
  });

  it('spreads callers over equal daemons, with fewer on the loaded one', () => {
    const daemons = [daemon('1', 'r1', 'alive', 30), daemon('2', 'r1', 'alive', 15)];
    const first = { 1: 0, 2: 0 };
    for (let caller = 0; caller < 900; caller += 1) {
      first[idsOf({ daemons, spreadKey: `caller-${caller}` })[0] as '1' | '2'] += 1;
    }
    // The weights are 1.5 and 3, so a third and two thirds of the 900 callers are expected, within random deviation.
    expect(first[1] > 240 && first[1] < 360).toEqual(true);
  });

  it('names an address elsewhere, and asks back sooner while the fleet is unsettled', () => {
    // Guards against an answer with addresses of one data centre only. The four nearest daemons filled the answer; when
    // the switch of their data centre failed, the callers had no daemon left to ask.
    const near = ['1', '2', '3', '4', '5'].map((id) => daemon(id, 'r1'));
    const settled = locate({ daemons: [...near, daemon('6', 'r2')] });
    expect(settled.addresses.at(-1)?.daemonId).toEqual('6');
    expect([settled.addresses.length, settled.keepSeconds]).toEqual([4, 30]);
    expect(locate({ daemons: [...near, daemon('6', 'r2', 'leaving')] }).keepSeconds).toEqual(5);
  });
});

describe('predictFirstRunner', () => {
  const runner = (id: string, dataCentre: string, state: RunnerState = 'live'): FleetRunner => ({
    id,
    state,
    record: create(RunnerRecordSchema, { runnerId: id, region: 'r', dataCentre }),
  });
  const place = { chat: 'account/1', region: 'r', dataCentre: 'r1' };
  const runners = [runner('near', 'r1'), runner('far', 'r2'), runner('gone', 'r1', 'leaving')];

  const cases = [
    { name: 'the warm one', runners, warm: ['far'], found: 'far' },
    { name: 'the near one when none is warm', runners, warm: [], found: 'near' },
    { name: 'no leaving one, however warm', runners, warm: ['gone', 'far'], found: 'far' },
    { name: 'a far one when none is near', runners: [runner('far', 'r2')], warm: [], found: 'far' },
    { name: 'none when none is live', runners: [runner('x', 'r1', 'down')], warm: ['x'] },
  ];
  for (const { name, found, ...question } of cases) {
    it(`finds ${name}`, () => {
      expect(predictFirstRunner({ ...place, ...question })?.runnerId).toEqual(found);
    });
  }
});
