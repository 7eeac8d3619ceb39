/**
 * Who counts as dead in fleets of all sizes, in virtual time. The store lists everybody all the while.
 */
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { TestLiveness } from './testLiveness.js';
import type { TestState, TestWatcher } from './testLiveness.js';

/** A daemon that has died is in no answer after this time, in ms: the stated aim. */
const AIM_MILLISECONDS = 3_000;

const WARM_UP_MILLISECONDS = 3_000;

/** Small fleets in which all watch all, and large ones with coordinators. */
const SIZES = [3, 9, 16, 17, 40, 195, 390];

const SEEDS = [1, 2, 3];

interface Loss {
  readonly fleet: TestLiveness;
  readonly lost: readonly TestWatcher[];
}

/** Answers that name the lost ones too late, and living daemons that are missing in answers at any moment. */
function watch({ fleet, lost }: Loss, milliseconds: number): { late: number; missing: number } {
  const since = fleet.now;
  const result = { late: 0, missing: 0 };
  const living = fleet.watchers.filter((watcher) => !lost.includes(watcher));
  fleet.play(milliseconds, () => {
    if (fleet.now - since >= AIM_MILLISECONDS) result.late += fleet.timesNamed(living, lost);
    result.missing += living.length ** 2 - fleet.timesNamed(living, living);
  });
  return result;
}

function loseOne(daemons: number, seed: number, state: TestState): Loss {
  const fleet = new TestLiveness({ daemons, seed, isStoreUp: seed % 2 === 0 });
  fleet.play(WARM_UP_MILLISECONDS);
  const lost = fleet.watchers[seed % daemons] as TestWatcher;
  lost.state = state;
  return { fleet, lost: [lost] };
}

describe('the failure detector of a fleet', () => {
  // Symptom: callers are sent to daemons that have been off for 8 s, and for as long as the store is away. Sequence: a
  // daemon loses power; the others hear nothing from it any more, and name it until the store drops its entry. Cause: the
  // store's list, which loses a dead daemon when its lease of 9 s ends, was taken for the list of those that live.
  // Evidence: see tests/deadDaemons.spec.ts.
  for (const daemons of SIZES) {
    it(`drops one of ${daemons} that loses power, and no other`, () => {
      // A fleet of three has nobody else to ask if two are lost; with two of three left one confirms the other.
      const results = SEEDS.map((seed) => watch(loseOne(daemons, seed, 'off'), 6_000));
      expect(results).toEqual(SEEDS.map(() => ({ late: 0, missing: 0 })));
    });
  }

  for (const state of ['killed', 'frozen', 'leaving'] as const) {
    it(`drops one that is ${state}, and has it back soon after`, () => {
      for (const daemons of [9, 40]) {
        const { fleet, lost } = loseOne(daemons, 1, state);
        expect(watch({ fleet, lost }, 6_000)).toEqual({ late: 0, missing: 0 });
        for (const watcher of lost) watcher.state = 'up';
        fleet.play(AIM_MILLISECONDS);
        expect(fleet.timesNamed(fleet.watchers, fleet.watchers)).toEqual(daemons ** 2);
      }
    });
  }

  for (const daemons of [9, 40, 195]) {
    it(`drops a third of ${daemons} that lose power at once`, () => {
      const results = SEEDS.map((seed) => {
        const fleet = new TestLiveness({ daemons, seed });
        fleet.play(WARM_UP_MILLISECONDS);
        const lost = fleet.pick(1 / 3);
        for (const watcher of lost) watcher.state = 'off';
        return watch({ fleet, lost }, 6_000);
      });
      expect(results).toEqual(SEEDS.map(() => ({ late: 0, missing: 0 })));
    });
  }

  it('drops all others where a single one is left and the store answers it', () => {
    const fleet = new TestLiveness({ daemons: 9, seed: 1, isStoreUp: true });
    fleet.play(WARM_UP_MILLISECONDS);
    const [left, ...lost] = fleet.watchers as [TestWatcher, ...TestWatcher[]];
    for (const watcher of lost) watcher.state = 'off';
    fleet.play(4_000);
    expect(fleet.timesNamed([left], lost)).toEqual(0);
  });

  for (const daemons of [9, 40, 195]) {
    it(`lets no living one of ${daemons} go for packets that get lost`, () => {
      const fleet = new TestLiveness({ daemons, seed: 5, loss: 0.1 });
      expect(watch({ fleet, lost: [] }, 30_000).missing).toEqual(0);
    });
  }
});

describe('a daemon with a trouble of its own', () => {
  // What would go wrong otherwise: it hears nobody, takes the others for dead and sends all callers to itself. Callers
  // drop open connections to addresses that a new answer lacks, streams with them.
  const troubles: Record<string, (watcher: TestWatcher) => void> = {
    'that is cut off': (watcher) => Object.assign(watcher, { cut: 'both' }),
    'that hears nothing, though others hear it': (watcher) => Object.assign(watcher, { cut: 'in' }),
    'on a full link': (watcher) => Object.assign(watcher, { linkDelay: 400 }),
    'that has no secret': (watcher) => Object.assign(watcher, { state: 'secretless' }),
  };
  for (const [name, begin] of Object.entries(troubles)) {
    it(`names everybody where it is one ${name}`, () => {
      for (const daemons of [3, 9, 40]) {
        const fleet = new TestLiveness({ daemons, seed: 3 });
        fleet.play(WARM_UP_MILLISECONDS);
        const [troubled] = fleet.watchers as [TestWatcher];
        begin(troubled);
        let named = Number.POSITIVE_INFINITY;
        const look = () => {
          named = Math.min(named, fleet.timesNamed([troubled], fleet.watchers));
        };
        fleet.play(8_000, look);
        expect(named).toEqual(daemons);
      }
    });
  }

  it('names everybody when it wakes', () => {
    const { fleet, lost } = loseOne(9, 1, 'frozen');
    fleet.play(8_000);
    const [woken] = lost as [TestWatcher];
    woken.state = 'up';
    let named = Number.POSITIVE_INFINITY;
    fleet.play(3_000, () => {
      named = Math.min(named, fleet.timesNamed([woken], fleet.watchers));
    });
    expect(named).toEqual(9);
  });

  it('that has no secret learns from those that tell whom they have found silent', () => {
    // Symptom: a daemon of a large fleet names the dead for as long as the store is away. Sequence: it starts, or has just
    // started, when the store goes away, and does not know the fleet's secret; another one dies. Cause: it cannot read
    // the messages of those that tell who is silent.
    const fleet = new TestLiveness({ daemons: 40, seed: 2 });
    const [deaf] = fleet.watchers as [TestWatcher];
    deaf.state = 'secretless';
    fleet.play(WARM_UP_MILLISECONDS);
    const lost = fleet.watchers[7] as TestWatcher;
    lost.state = 'off';
    fleet.play(AIM_MILLISECONDS);
    expect(fleet.timesNamed([deaf], [lost])).toEqual(0);
    expect(fleet.timesNamed([deaf], fleet.watchers)).toEqual(39);
  });

  it('that has no secret is still named by the others, since it answers their calls', () => {
    for (const daemons of [9, 40]) {
      const { fleet, lost } = loseOne(daemons, 1, 'secretless');
      let named = Number.POSITIVE_INFINITY;
      const others = fleet.watchers.filter((watcher) => !lost.includes(watcher));
      fleet.play(10_000, () => {
        named = Math.min(named, fleet.timesNamed(others, lost));
      });
      expect(named).toEqual(daemons - 1);
    }
  });
});
