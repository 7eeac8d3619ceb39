import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { seededRandom } from '../random/seededRandom.js';
import { BrittleRunners, divideSlots } from './BrittleRunners.js';
import { Runner } from './Runner.js';

const SERVICE = 'plain';

const SLOTS = 6;

const LIMIT = 2;

/** Time from which a runner is no longer treated as one that has just started, in ms. */
const SETTLED_MILLISECONDS = 2_000;

function runnersOf(count: number): Runner[] {
  const entry = {
    service: SERVICE,
    dataCentre: 'here',
    state: 'ready',
    host: '',
    port: 1,
  } as const;
  return Array.from({ length: count }, (_, index) => {
    const id = `runner-${index}`;
    return new Runner({ ...entry, id, life: id, slots: SLOTS });
  });
}

const namesOf = (count: number) => Array.from({ length: count }, (_, index) => `daemon-${index}`);

describe('the division of slots', () => {
  for (const [daemons, count] of [
    [6, 8],
    [9, 3],
    [90, 42],
    [300, 100],
  ] as const) {
    // Guards against daemons that together send more than a brittle runner has slots.
    it(`gives ${daemons} daemons all slots of ${count} runners, and each about the same number`, () => {
      const runners = runnersOf(count);
      const names = namesOf(daemons);
      const parts = names.map((name) => divideSlots(runners, names, name));
      for (const { entry } of runners) {
        const sum = parts.reduce((total, part) => total + (part.get(entry.life) ?? 0), 0);
        expect(sum).toEqual(SLOTS);
      }
      const totals = parts.map((part) => [...part.values()].reduce((sum, own) => sum + own, 0));
      expect(Math.max(...totals) - Math.min(...totals) <= 1).toEqual(true);
    });
  }
});

describe('brittle runners', () => {
  let runner: Runner;
  let foreign: number | undefined;
  let brittle: BrittleRunners;
  let begun: number[];

  beforeEach(() => {
    [runner] = runnersOf(1) as [Runner];
    foreign = 0;
    begun = [];
    brittle = new BrittleRunners({
      daemon: 'daemon-0',
      daemons: () => namesOf(3),
      runnersOf: () => [runner],
      foreignLoad: () => foreign,
      onBrittle: (_, limit) => begun.push(limit),
    });
  });

  /** Lets the runner state that it is brittle and settle, with this many requests of this daemon. */
  function settle(inFlight: number): void {
    brittle.recordStated(runner, LIMIT, 0);
    brittle.maySend(runner, 0);
    runner.inFlight = inFlight;
  }

  it('are not limited before they say that they are brittle, or after they no longer say so', () => {
    runner.inFlight = 50;
    expect(brittle.maySend(runner, 0)).toEqual(true);
    brittle.recordStated(runner, LIMIT, 0);
    expect(brittle.maySend(runner, 0)).toEqual(false);
    brittle.recordStated(runner, undefined, 1);
    expect(brittle.maySend(runner, 1)).toEqual(true);
    expect(begun).toEqual([LIMIT]);
  });

  // Guards against limits that come and go with the answers of a runner that is not brittle.
  it('are limited although another runner of the service says that it is not brittle', () => {
    const [, other] = runnersOf(2) as [Runner, Runner];
    settle(2);
    brittle.recordStated(other, undefined, SETTLED_MILLISECONDS);
    foreign = SLOTS;
    expect(brittle.maySend(runner, SETTLED_MILLISECONDS)).toEqual(false);
    other.inFlight = 50;
    expect(brittle.maySend(other, SETTLED_MILLISECONDS)).toEqual(true);
  });

  // Guards against runners that all crash again after an outage in which none of them could say that it is brittle.
  it('are limited after an outage, until others of the service answer without saying so', () => {
    const [, other] = runnersOf(2) as [Runner, Runner];
    settle(2);
    foreign = SLOTS;
    expect(brittle.maySend(runner, 30_000)).toEqual(false);
    brittle.recordStated(other, undefined, 9_000);
    const [back] = runnersOf(1) as [Runner];
    back.inFlight = 2;
    expect(brittle.maySend(back, 9_000)).toEqual(false);
    brittle.recordStated(other, undefined, 10_000);
    expect(brittle.maySend(back, 10_000)).toEqual(true);
  });

  // Guards against a daemon that reaches runners again and sends what it likes, as it has not heard that they are brittle.
  it('are limited at a daemon that others have told, which does not pass on what was passed on before', () => {
    const told = { service: SERVICE, limit: LIMIT };
    brittle.recordTold(told, 'relay', 0);
    runner.inFlight = 50;
    expect(brittle.maySend(runner, 0)).toEqual(false);
    expect(brittle.statedServices(0, true)).toEqual([]);
    brittle.recordTold(told, 'report', 1);
    expect([brittle.statedServices(1), brittle.statedServices(1, true)]).toEqual([[], [told]]);
    brittle.recordStated(runner, LIMIT, 2);
    expect(brittle.statedServices(2)).toEqual([told]);
    expect(brittle.statedServices(20_000, true)).toEqual([]);
    expect(begun).toEqual([LIMIT]);
  });

  // Guards against a daemon that was cut off before they became brittle, and believes the answers from before that.
  it('are limited at a daemon that others have told since it last heard from them', () => {
    brittle.recordStated(runner, undefined, 0);
    brittle.recordTold({ service: SERVICE, limit: LIMIT }, 'report', 500);
    runner.inFlight = 50;
    expect(brittle.maySend(runner, 999)).toEqual(true);
    expect(brittle.maySend(runner, 1_000)).toEqual(false);
  });

  it('get the part of this daemon in any case', () => {
    foreign = 4;
    settle(1);
    expect(brittle.maySend(runner, SETTLED_MILLISECONDS)).toEqual(true);
    runner.inFlight = 2;
    expect(brittle.maySend(runner, SETTLED_MILLISECONDS)).toEqual(false);
  });

  it('get more than the part while they are known to be less than half full', () => {
    settle(2);
    expect(brittle.maySend(runner, SETTLED_MILLISECONDS)).toEqual(true);
  });

  // Guards against a part that is exceeded by a daemon that does not hear what the others send.
  it('get the part alone from a daemon that does not hear the loads of others', () => {
    foreign = undefined;
    settle(2);
    expect(brittle.maySend(runner, SETTLED_MILLISECONDS)).toEqual(false);
  });

  // Guards against a runner that is back and gets the load of all at once.
  it('get the parts alone when they have just started', () => {
    settle(2);
    expect(brittle.maySend(runner, SETTLED_MILLISECONDS - 1)).toEqual(false);
  });

  // Guards against a surge of what waited for the path, at runners of which this daemon hears nothing meanwhile.
  it('get the part alone from a daemon whose path was lost until lately', () => {
    let isSettled = false;
    brittle = new BrittleRunners({
      daemon: 'daemon-0',
      daemons: () => namesOf(3),
      isPathSettled: () => isSettled,
      runnersOf: () => [runner],
      foreignLoad: () => 0,
    });
    settle(2);
    expect(brittle.maySend(runner, 2 * SETTLED_MILLISECONDS)).toEqual(false);
    isSettled = true;
    expect(brittle.maySend(runner, 2 * SETTLED_MILLISECONDS)).toEqual(true);
  });

  // Guards against runners that are all back at once, before daemons that each take the others for cut off from them.
  it('leave their parts to daemons without a path until the runners and the own path have been back for a while', () => {
    let isSettled = false;
    brittle = new BrittleRunners({
      daemon: 'daemon-0',
      daemons: () => namesOf(SLOTS),
      daemonsWithPath: () => ['daemon-0'],
      isPathSettled: () => isSettled,
      runnersOf: () => [runner],
      foreignLoad: () => SLOTS,
    });
    settle(1);
    expect(brittle.maySend(runner, 2 * SETTLED_MILLISECONDS)).toEqual(false);
    isSettled = true;
    expect(brittle.maySend(runner, 2 * SETTLED_MILLISECONDS)).toEqual(true);
    runner.health.record(2 * SETTLED_MILLISECONDS, 'unreachable');
    expect(brittle.maySend(runner, 2 * SETTLED_MILLISECONDS)).toEqual(false);
    expect(brittle.maySend(runner, 3 * SETTLED_MILLISECONDS)).toEqual(false);
    expect(brittle.maySend(runner, 4 * SETTLED_MILLISECONDS)).toEqual(true);
  });

  it('get nothing for a while after a rejection of a request within the part', () => {
    settle(2);
    brittle.recordRejected(runner, SETTLED_MILLISECONDS);
    runner.inFlight = 0;
    expect(brittle.maySend(runner, SETTLED_MILLISECONDS + 999)).toEqual(false);
    expect(brittle.maySend(runner, SETTLED_MILLISECONDS + 5_000)).toEqual(true);
  });

  it('get nothing above their half from a daemon that chooses for another one', () => {
    foreign = 3;
    settle(0);
    expect(brittle.maySend(runner, SETTLED_MILLISECONDS, true)).toEqual(false);
    foreign = 2;
    expect(brittle.maySend(runner, 2 * SETTLED_MILLISECONDS, true)).toEqual(true);
  });
});

describe('a fleet before brittle runners under a surge', () => {
  for (const [daemons, count] of [
    [9, 3],
    [90, 42],
    [300, 100],
  ] as const) {
    // Guards against a fleet of any size whose daemons together overrun brittle runners.
    it(`of ${daemons} daemons that hear no loads never has more requests there than slots`, () => {
      const random = seededRandom(daemons);
      const names = namesOf(daemons);
      const fleet = names.map((daemon) => {
        const runners = runnersOf(count);
        const brittle = new BrittleRunners({
          daemon,
          daemons: () => names,
          runnersOf: () => runners,
          foreignLoad: () => undefined,
        });
        brittle.recordStated(runners[0] as Runner, LIMIT, 0);
        return { runners, brittle };
      });
      for (let sent = 0; sent < 20 * SLOTS * count; sent += 1) {
        const { runners, brittle } = fleet[
          Math.floor(random() * daemons)
        ] as (typeof fleet)[number];
        const free = runners.filter((runner) => brittle.maySend(runner, 100));
        const chosen = free[Math.floor(random() * free.length)];
        if (chosen) chosen.inFlight += 1;
      }
      const loads = Array.from({ length: count }, (_, index) =>
        fleet.reduce((sum, { runners }) => sum + (runners[index]?.inFlight ?? 0), 0),
      );
      expect(Math.max(...loads)).toEqual(SLOTS);
    });
  }
});
