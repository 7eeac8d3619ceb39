/**
 * Checks which daemons the failure detector removes in fleets of all sizes, in virtual time. The store keeps all
 * entries listed throughout.
 */
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { TestLiveness } from './testLiveness.js';
import type { TestState, TestLivenessDaemon } from './testLiveness.js';

/** A dead daemon has to be missing from all answers after this time, in ms; this is the documented target. */
const DETECTION_MILLISECONDS = 3_000;

const WARM_UP_MILLISECONDS = 3_000;

/** Small fleets, in which every daemon monitors every other one, and large ones with coordinators. */
const SIZES = [3, 9, 16, 17, 40, 195, 390];

const SEEDS = [1, 2, 3];

interface LossScenario {
  readonly fleet: TestLiveness;
  readonly lost: readonly TestLivenessDaemon[];
}

/** Counts answers that name lost daemons too late, and live daemons that are missing from answers at any moment. */
function observe(
  { fleet, lost }: LossScenario,
  milliseconds: number,
): { late: number; missing: number } {
  const since = fleet.now;
  const result = { late: 0, missing: 0 };
  const living = fleet.daemons.filter((daemon) => !lost.includes(daemon));
  fleet.advance(milliseconds, () => {
    if (fleet.now - since >= DETECTION_MILLISECONDS) result.late += fleet.countNamed(living, lost);
    result.missing += living.length ** 2 - fleet.countNamed(living, living);
  });
  return result;
}

function loseOne(daemons: number, seed: number, state: TestState): LossScenario {
  const fleet = new TestLiveness({ daemons, seed, isStoreUp: seed % 2 === 0 });
  fleet.advance(WARM_UP_MILLISECONDS);
  const lost = fleet.daemons[seed % daemons] as TestLivenessDaemon;
  lost.state = state;
  return { fleet, lost: [lost] };
}

describe('the failure detector of a fleet', () => {
  // Guards against callers that are sent to daemons which lost power 8 s ago, or for as long as the store is
  // unavailable. The store lists a dead daemon until its lease of 9 s ends, and that list was used as the list of live
  // daemons. See tests/deadDaemons.spec.ts.
  for (const daemons of SIZES) {
    it(`removes one of ${daemons} daemons that loses power, and no other`, () => {
      // A fleet of three has no daemon left for indirect probes if two are lost; with one lost, the other two confirm
      // it to each other.
      const results = SEEDS.map((seed) => observe(loseOne(daemons, seed, 'off'), 6_000));
      expect(results).toEqual(SEEDS.map(() => ({ late: 0, missing: 0 })));
    });
  }

  for (const state of ['killed', 'frozen', 'leaving'] as const) {
    it(`removes a daemon that is ${state}, and reinstates it soon after it is back`, () => {
      for (const daemons of [9, 40]) {
        const { fleet, lost } = loseOne(daemons, 1, state);
        expect(observe({ fleet, lost }, 6_000)).toEqual({ late: 0, missing: 0 });
        for (const daemon of lost) daemon.state = 'up';
        fleet.advance(DETECTION_MILLISECONDS);
        expect(fleet.countNamed(fleet.daemons, fleet.daemons)).toEqual(daemons ** 2);
      }
    });
  }

  for (const daemons of [9, 40, 195]) {
    it(`removes a third of ${daemons} daemons that lose power at once`, () => {
      const results = SEEDS.map((seed) => {
        const fleet = new TestLiveness({ daemons, seed });
        fleet.advance(WARM_UP_MILLISECONDS);
        const lost = fleet.pick(1 / 3);
        for (const daemon of lost) daemon.state = 'off';
        return observe({ fleet, lost }, 6_000);
      });
      expect(results).toEqual(SEEDS.map(() => ({ late: 0, missing: 0 })));
    });
  }

  it('removes all others when a single daemon is left and the store answers it', () => {
    const fleet = new TestLiveness({ daemons: 9, seed: 1, isStoreUp: true });
    fleet.advance(WARM_UP_MILLISECONDS);
    const [left, ...lost] = fleet.daemons as [TestLivenessDaemon, ...TestLivenessDaemon[]];
    for (const daemon of lost) daemon.state = 'off';
    fleet.advance(4_000);
    expect(fleet.countNamed([left], lost)).toEqual(0);
  });

  for (const daemons of [9, 40, 195]) {
    it(`removes no live daemon of ${daemons} because of packet loss`, () => {
      const fleet = new TestLiveness({ daemons, seed: 5, loss: 0.1 });
      expect(observe({ fleet, lost: [] }, 30_000).missing).toEqual(0);
    });
  }
});

describe('a daemon with a fault of its own', () => {
  // Guards against a daemon that receives nothing, declares all others dead and sends all callers to itself. Callers
  // close open connections to addresses that are missing from a new answer, and lose the streams on them.
  const faults: Record<string, (daemon: TestLivenessDaemon) => void> = {
    'that is cut off': (daemon) => Object.assign(daemon, { cut: 'both' }),
    'that receives nothing, though others receive from it': (daemon) =>
      Object.assign(daemon, { cut: 'in' }),
    'on a congested link': (daemon) => Object.assign(daemon, { linkDelay: 400 }),
    'that has no secret': (daemon) => Object.assign(daemon, { state: 'secretless' }),
  };
  for (const [name, begin] of Object.entries(faults)) {
    it(`names all daemons if it is one ${name}`, () => {
      for (const daemons of [3, 9, 40]) {
        const fleet = new TestLiveness({ daemons, seed: 3 });
        fleet.advance(WARM_UP_MILLISECONDS);
        const [faulty] = fleet.daemons as [TestLivenessDaemon];
        begin(faulty);
        let named = Number.POSITIVE_INFINITY;
        const look = () => {
          named = Math.min(named, fleet.countNamed([faulty], fleet.daemons));
        };
        fleet.advance(8_000, look);
        expect(named).toEqual(daemons);
      }
    });
  }

  it('names all daemons when it resumes after a freeze', () => {
    const { fleet, lost } = loseOne(9, 1, 'frozen');
    fleet.advance(8_000);
    const [resumed] = lost as [TestLivenessDaemon];
    resumed.state = 'up';
    let named = Number.POSITIVE_INFINITY;
    fleet.advance(3_000, () => {
      named = Math.min(named, fleet.countNamed([resumed], fleet.daemons));
    });
    expect(named).toEqual(9);
  });

  it('that has no secret learns from the broadcasting daemons which ones are unresponsive', () => {
    // Guards against a daemon of a large fleet that names dead daemons for as long as the store is unavailable. It has
    // started just before or during the outage and does not know the fleet's secret, so that it cannot read the
    // broadcasts about unresponsive daemons when another one dies.
    const fleet = new TestLiveness({ daemons: 40, seed: 2 });
    const [secretless] = fleet.daemons as [TestLivenessDaemon];
    secretless.state = 'secretless';
    fleet.advance(WARM_UP_MILLISECONDS);
    const lost = fleet.daemons[7] as TestLivenessDaemon;
    lost.state = 'off';
    fleet.advance(DETECTION_MILLISECONDS);
    expect(fleet.countNamed([secretless], [lost])).toEqual(0);
    expect(fleet.countNamed([secretless], fleet.daemons)).toEqual(39);
  });

  it('that has no secret is still named by the others, since it answers their probes', () => {
    for (const daemons of [9, 40]) {
      const { fleet, lost } = loseOne(daemons, 1, 'secretless');
      let named = Number.POSITIVE_INFINITY;
      const others = fleet.daemons.filter((daemon) => !lost.includes(daemon));
      fleet.advance(10_000, () => {
        named = Math.min(named, fleet.countNamed(others, lost));
      });
      expect(named).toEqual(daemons - 1);
    }
  });
});
