import { describe, it } from 'node:test';

import { expect } from 'earl';

import { TEST_SERVICE, TestFleet } from './testFleet.js';

/** In which a runner that leaves must get no new work, in ms. */
const BOUND_MILLISECONDS = 4_000;

/** A daemon that was cut off is held to the bound again after this, in ms. */
const CONTACT_MILLISECONDS = 5_000;

const CUT_FROM = 6_000;
const CUT_UNTIL = 14_000;
const END = 26_000;

/** Every seventh runner leaves, one after the other, from shortly before the cut ends. */
const FIRST_LEAVE = 13_000;
const BETWEEN_LEAVES = 300;
const LEAVING = 12;

interface Fault {
  readonly runner: string;
  readonly daemon: string;
  readonly afterMilliseconds: number;
}

interface Leave {
  readonly index: number;
  readonly at: number;
}

function faultsOf(fleet: TestFleet, leaves: readonly Leave[]): Fault[] {
  const overdue = leaves.filter(({ at }) => fleet.now >= at + BOUND_MILLISECONDS);
  const inTouch = fleet.daemons.filter(
    ({ cutUntil }) => cutUntil + CONTACT_MILLISECONDS <= fleet.now,
  );
  return inTouch.flatMap(({ name, knowledge }) => {
    const ready = new Set(knowledge.runners.readyOf(TEST_SERVICE).map(({ entry }) => entry.id));
    return overdue
      .filter(({ index }) => ready.has(`runner-${index}`))
      .map(({ index, at }) => ({
        runner: `runner-${index}`,
        daemon: name,
        afterMilliseconds: fleet.now - at,
      }));
  });
}

/** Three in ten daemons are cut off; runners leave while they return, half of them without a word before. */
function play(daemons: number, seed: number): Fault[] {
  const fleet = new TestFleet({
    daemons,
    runners: 84,
    seed,
    boundMilliseconds: BOUND_MILLISECONDS,
  });
  const leaves: Leave[] = [];
  const faults: Fault[] = [];
  while (fleet.now < END && faults.length === 0) {
    const next = FIRST_LEAVE + leaves.length * BETWEEN_LEAVES;
    if (leaves.length < LEAVING && fleet.now >= next) {
      const index = leaves.length * 7;
      if (leaves.length % 2 === 0) fleet.remove(index);
      else fleet.drain(index);
      leaves.push({ index, at: fleet.now });
    }
    if (fleet.now === CUT_FROM) fleet.cut(0.3, CUT_UNTIL);
    fleet.step();
    faults.push(...faultsOf(fleet, leaves));
  }
  return faults;
}

const AWAY_FROM = 6_000;
const BACK_AT = 11_000;

/** Entries that lapsed with the store are back within this, in ms. */
const RETURN_MILLISECONDS = 2_000;

const RUNNERS = 84;

/** The store is away for all, long enough for every entry to lapse; each comes back at a moment of its own. */
function fewestReady(daemons: number, seed: number): number {
  const fleet = new TestFleet({
    daemons,
    runners: RUNNERS,
    seed,
    boundMilliseconds: BOUND_MILLISECONDS,
  });
  let fewest = RUNNERS;
  let restored = -1;
  while (fleet.now < BACK_AT + 2 * RETURN_MILLISECONDS) {
    if (fleet.now === AWAY_FROM) fleet.loseStore(BACK_AT);
    const since = fleet.now - BACK_AT;
    if (since >= 0 && restored < 0) {
      for (let index = 0; index < RUNNERS; index += 1) fleet.remove(index);
      restored = 0;
    }
    while (since >= 0 && restored < Math.min(RUNNERS, (since / RETURN_MILLISECONDS) * RUNNERS)) {
      fleet.restore(restored);
      restored += 1;
    }
    fleet.step();
    if (fleet.now < AWAY_FROM) continue;
    const ready = fleet.daemons.map(({ knowledge }) => knowledge.runners.readyOf(TEST_SERVICE));
    fewest = Math.min(fewest, ...ready.map(({ length }) => length));
  }
  return fewest;
}

describe('runners whose entries lapse with the store', () => {
  it('get requests again at once, all but a third of them at most', () => {
    // What goes wrong otherwise: each daemon has no runner at all for the two seconds until the entries are back.
    for (const daemons of [9, 40, 200]) {
      const fewest = [1, 2, 3].map((seed) => fewestReady(daemons, seed));
      expect(fewest.filter((ready) => ready < (2 / 3) * RUNNERS)).toEqual([]);
    }
  });
});

describe('runners that leave while daemons return from a cut', () => {
  it('get no new work from daemons in touch after the bound', () => {
    // Symptom: requests reach runners up to 4.1 s after they left, on three sites. Sequence: daemons that read the store
    // for all return from a cut, and wait for entries that went meanwhile; they tell how far they have read. Cause:
    // what they waited for was not told, so that everybody else took its removal for old news.
    for (const daemons of [40, 80, 200, 390]) {
      const seeds = daemons > 100 ? [1, 2, 3] : [1, 2, 3, 4, 5, 6, 7, 8];
      expect(seeds.flatMap((seed) => play(daemons, seed))).toEqual([]);
    }
  });
});
