import { describe, it } from 'node:test';

import { expect } from 'earl';

import { TEST_SERVICE, TestFleet } from './testFleet.js';

/** Time after which a leaving runner must get no new work, in ms. */
const BOUND_MILLISECONDS = 4_000;

/** A daemon that was cut off is exempt from the bound for this long after it is connected again, in ms. */
const RECONNECTION_MILLISECONDS = 5_000;

/** Virtual time in which a part of the daemons is cut off, and the end of the simulation, in ms. */
const CUT_FROM = 6_000;
const CUT_UNTIL = 14_000;
const END = 26_000;

/** Every seventh runner leaves, one every 300 ms, from shortly before the cut ends. */
const FIRST_LEAVE = 13_000;
const BETWEEN_LEAVES = 300;
const LEAVING = 12;

interface Violation {
  readonly runner: string;
  readonly daemon: string;
  readonly afterMilliseconds: number;
}

interface Leave {
  readonly index: number;
  readonly at: number;
}

function violationsOf(fleet: TestFleet, leaves: readonly Leave[]): Violation[] {
  const overdue = leaves.filter(({ at }) => fleet.now >= at + BOUND_MILLISECONDS);
  const connected = fleet.daemons.filter(
    ({ disconnectedUntil }) => disconnectedUntil + RECONNECTION_MILLISECONDS <= fleet.now,
  );
  return connected.flatMap(({ name, knowledge }) => {
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

/**
 * Cuts off three in ten daemons and lets runners leave while these daemons return, half of the runners without
 * draining first. Returns the first violations of the bound.
 */
function simulate(daemons: number, seed: number): Violation[] {
  const fleet = new TestFleet({
    daemons,
    runners: 84,
    seed,
    boundMilliseconds: BOUND_MILLISECONDS,
  });
  const leaves: Leave[] = [];
  const violations: Violation[] = [];
  while (fleet.now < END && violations.length === 0) {
    const next = FIRST_LEAVE + leaves.length * BETWEEN_LEAVES;
    if (leaves.length < LEAVING && fleet.now >= next) {
      const index = leaves.length * 7;
      if (leaves.length % 2 === 0) fleet.remove(index);
      else fleet.drain(index);
      leaves.push({ index, at: fleet.now });
    }
    if (fleet.now === CUT_FROM) fleet.disconnect(0.3, CUT_UNTIL);
    fleet.step();
    violations.push(...violationsOf(fleet, leaves));
  }
  return violations;
}

/** Virtual time in which the store is unavailable, in ms. */
const OUTAGE_FROM = 6_000;
const OUTAGE_UNTIL = 11_000;

/** Entries that expired during the store outage are back within this time, in ms. */
const RETURN_MILLISECONDS = 2_000;

const RUNNERS = 84;

/**
 * Makes the store unavailable to all daemons until every entry has expired, then restores the entries one after the
 * other. Returns the smallest number of ready runners at any daemon.
 */
function fewestReady(daemons: number, seed: number): number {
  const fleet = new TestFleet({
    daemons,
    runners: RUNNERS,
    seed,
    boundMilliseconds: BOUND_MILLISECONDS,
  });
  let fewest = RUNNERS;
  let restored = -1;
  while (fleet.now < OUTAGE_UNTIL + 2 * RETURN_MILLISECONDS) {
    if (fleet.now === OUTAGE_FROM) fleet.makeStoreUnavailable(OUTAGE_UNTIL);
    const since = fleet.now - OUTAGE_UNTIL;
    if (since >= 0 && restored < 0) {
      for (let index = 0; index < RUNNERS; index += 1) fleet.remove(index);
      restored = 0;
    }
    while (since >= 0 && restored < Math.min(RUNNERS, (since / RETURN_MILLISECONDS) * RUNNERS)) {
      fleet.restore(restored);
      restored += 1;
    }
    fleet.step();
    if (fleet.now < OUTAGE_FROM) continue;
    const ready = fleet.daemons.map(({ knowledge }) => knowledge.runners.readyOf(TEST_SERVICE));
    fewest = Math.min(fewest, ...ready.map(({ length }) => length));
  }
  return fewest;
}

describe('runners whose entries expire during a store outage', () => {
  it('keep getting requests, all but a third of them at most', () => {
    // Guards against daemons without any runner for the two seconds until the entries are back.
    for (const daemons of [9, 40, 200]) {
      const fewest = [1, 2, 3].map((seed) => fewestReady(daemons, seed));
      expect(fewest.filter((ready) => ready < (2 / 3) * RUNNERS)).toEqual([]);
    }
  });
});

describe('runners that leave while daemons return from a network cut', () => {
  it('get no new work from connected daemons after the bound', () => {
    // Guards against requests to runners up to 4.1 s after they left, as seen on three sites. Store readers that
    // return from a network cut wait for entries that were removed meanwhile, yet broadcast how far they have read.
    // All other daemons then ignored the removal as outdated, because the wait was not part of the broadcast.
    for (const daemons of [40, 80, 200, 390]) {
      const seeds = daemons > 100 ? [1, 2, 3] : [1, 2, 3, 4, 5, 6, 7, 8];
      expect(seeds.flatMap((seed) => simulate(daemons, seed))).toEqual([]);
    }
  });
});
