/**
 * Tests of streams that their callers take up after all daemons have ended at the same moment, in virtual time.
 */
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { TestStreamFleet } from './testStreamFleet.js';
import type { TestStreamFleetOptions } from './testStreamFleetTypes.js';

/** Streams that may hold events of two versions. */
const ALLOWED_MIXED = 2;

/** All streams begin, so of those that callers take up at least half have to go on. */
const LEAST_SHARE = 0.5;

const FEWEST_TAKEN_UP = 12;

/**
 * Replaces the first runners, one every so many ms.
 *
 * @param fleet - the fleet.
 * @param plan - when the first one is replaced and the gap, in ms; how many are, and by which version.
 */
export function planRelease(
  fleet: TestStreamFleet,
  { from, gap, count, version }: { from: number; gap: number; count: number; version: string },
): void {
  for (let index = 0; index < count; index += 1) {
    fleet.after(from + index * gap, () => fleet.replace(index, version));
  }
}

/**
 * @param options - size of the fleet, its load and its seed.
 * @returns A fleet whose callers come back within two seconds.
 */
export function startFleet(options: TestStreamFleetOptions): TestStreamFleet {
  return new TestStreamFleet({ ...options, lostByCallers: 0, pauseMilliseconds: 2_000 });
}

/**
 * Expects no more than two mixed streams.
 *
 * @param fleet - a fleet whose callers have taken streams up.
 */
export function expectUnmixed({ tally }: TestStreamFleet): void {
  expect(tally.taken).toBeGreaterThanOrEqual(FEWEST_TAKEN_UP);
  expect(tally.mixed).toBeLessThanOrEqual(ALLOWED_MIXED);
}

/**
 * Expects that streams go on at their versions.
 *
 * @param fleet - a fleet whose callers have taken streams up.
 */
export function expectGoingOn(fleet: TestStreamFleet): void {
  const { possible, possibleWentOn } = fleet.tally;
  expectUnmixed(fleet);
  expect(possible).toBeGreaterThanOrEqual(FEWEST_TAKEN_UP);
  expect(possibleWentOn / possible).toBeGreaterThanOrEqual(LEAST_SHARE);
}

/** Expects the same at daemons that ran all the while. */
function expectOwedToGoOn(fleet: TestStreamFleet): void {
  const { owed, wentOn } = fleet.tally;
  expectUnmixed(fleet);
  expect(owed).toBeGreaterThanOrEqual(FEWEST_TAKEN_UP);
  expect(wentOn / owed).toBeGreaterThanOrEqual(LEAST_SHARE);
}

/**
 * Defines tests in which all daemons of a fleet end at the same moment.
 *
 * @param options - size of the fleet, its load and its seed.
 */
export function describeOutlivingStreams(options: TestStreamFleetOptions): void {
  const { daemons, runners } = options;
  const half = Math.floor(runners / 2);
  const start = () => startFleet(options);

  describe(`streams that callers take up after all of ${daemons} daemons have ended`, () => {
    it('go on while two versions serve side by side', async () => {
      // Guards against versions of streams that are known in memory only.
      const fleet = start();
      planRelease(fleet, { from: 1_000, gap: 1, count: half, version: 'v2' });
      fleet.after(8_000, () => fleet.killAll());
      await fleet.play(13_000);
      expectGoingOn(fleet);
    });

    it('are not mixed where the old version has gone, also when all end twice', async () => {
      // Guards against a daemon that takes the only version it has seen since its start for the only one there was.
      const fleet = start();
      planRelease(fleet, { from: 1_000, gap: 1, count: runners - 1, version: 'v2' });
      planRelease(fleet, { from: 7_000, gap: 1, count: runners, version: 'v2' });
      fleet.after(8_000, () => fleet.killAll());
      fleet.after(9_500, () => fleet.killAll());
      await fleet.play(14_000);
      expectUnmixed(fleet);
    });

    it('go on where a new version appears after the start', async () => {
      // Guards against refusing what can only be of the version before.
      const fleet = start();
      fleet.after(8_000, () => fleet.killAll());
      planRelease(fleet, { from: 9_500, gap: 1, count: half, version: 'v2' });
      await fleet.play(14_000);
      expectGoingOn(fleet);
    });

    it('go on where a new version has appeared while no daemon ran', async () => {
      // Guards against taking a version for an old one because it is there at the start.
      const fleet = start();
      fleet.after(8_000, () => fleet.killAll());
      planRelease(fleet, { from: 8_300, gap: 1, count: half, version: 'v2' });
      await fleet.play(14_000);
      expectGoingOn(fleet);
    });
  });
}

/**
 * Defines tests in which losses of daemons, changes of versions and a silence of the store overlap.
 *
 * @param options - size of the fleet, its load and its seed.
 */
export function describeOverlappingLosses(options: TestStreamFleetOptions): void {
  const { daemons, runners } = options;
  const half = Math.floor(runners / 2);
  const start = () => startFleet(options);

  describe(`streams that callers take up where losses of ${daemons} daemons and changes of versions overlap`, () => {
    it('go on where the second version has come a moment before the end', async () => {
      // Guards against streams that nobody wrote to the store while there was one version.
      const fleet = start();
      planRelease(fleet, { from: 7_000, gap: 1, count: half, version: 'v2' });
      fleet.after(8_000, () => fleet.killAll());
      await fleet.play(13_000);
      expectGoingOn(fleet);
    });

    it('go on beside releases in series', async () => {
      // Guards against records that are lost where starts of all and changes of versions overlap.
      const fleet = start();
      ['v2', 'v3'].forEach((version, release) => {
        const from = 1_000 + release * 9_000;
        planRelease(fleet, { from, gap: 9_000 / runners, count: runners, version });
      });
      for (const at of [5_000, 9_000, 13_000, 17_000]) fleet.after(at, () => fleet.killAll());
      await fleet.play(20_000);
      expectGoingOn(fleet);
    });

    it('go on once the store answers that is silent from their end on', async () => {
      // Guards against giving streams up because the store could not be read at once.
      const fleet = start();
      planRelease(fleet, { from: 1_000, gap: 1, count: half, version: 'v2' });
      fleet.after(8_000, () => {
        fleet.killAll();
        fleet.store.isSilent = true;
      });
      fleet.after(10_000, () => {
        fleet.store.isSilent = false;
      });
      await fleet.play(14_000);
      expectGoingOn(fleet);
    });

    it('go on where half of the daemons end a moment before the first runner of a new version', async () => {
      // Guards against daemons that keep the versions of their streams to themselves while there is one.
      const fleet = start();
      fleet.after(27_000, () => {
        for (const daemon of fleet.daemons.slice(0, daemons / 2)) fleet.kill(daemon);
      });
      planRelease(fleet, { from: 27_300, gap: 1, count: 1, version: 'v2' });
      await fleet.play(32_000);
      expectGoingOn(fleet);
    });
  });
}

/** From the start of the second version to the end of all daemons, in ms. */
const BESIDE_MILLISECONDS = 4_000;

/** When the second version comes, in ms. */
const SECOND_AT = 20_000;

const END_AT = SECOND_AT + BESIDE_MILLISECONDS;

/**
 * Defines tests in which all daemons of a fleet end at the same moment, and the store holds less than they knew.
 *
 * @param options - size of the fleet, its load and its seed.
 */
export function describeOldHistories(options: TestStreamFleetOptions): void {
  const { daemons, runners } = options;
  const most = Math.floor((runners * 2) / 3);
  const release = { from: SECOND_AT + 1, gap: 1, version: 'v2' };

  const refuseWrites = (fleet: TestStreamFleet) => {
    const { store } = fleet;
    fleet.after(SECOND_AT, () => {
      store.refusesWrites = true;
    });
    fleet.after(END_AT + 500, () => {
      store.refusesWrites = false;
    });
  };

  const restoreOlderCopy = (fleet: TestStreamFleet) => {
    let restore: () => void = () => undefined;
    fleet.after(SECOND_AT, () => {
      restore = fleet.store.copy();
    });
    fleet.after(END_AT + 500, () => restore());
  };

  const play = async (
    { listsPrompts, count }: { listsPrompts: boolean; count: number },
    spoil: (fleet: TestStreamFleet) => void,
  ) => {
    const fleet = startFleet({ ...options, listsPrompts });
    spoil(fleet);
    planRelease(fleet, { ...release, count });
    fleet.after(END_AT, () => fleet.killAll());
    await fleet.play(END_AT + 6_000);
    return fleet;
  };

  describe(`streams that callers take up where the store holds less than ${daemons} daemons knew`, () => {
    it('go on where it has refused writes since the second version came, without lists of cached prompts', async () => {
      // Guards against streams of a version that the store does not name, and that count as those of the other one.
      expectGoingOn(await play({ listsPrompts: false, count: most }, refuseWrites));
    });

    it('are not mixed where it comes back from a copy older than the second version, without such lists', async () => {
      // Guards against a history that is taken for complete although the store has lost a later one.
      expectUnmixed(await play({ listsPrompts: false, count: most }, restoreOlderCopy));
    });

    it('go on where it comes back from such a copy', async () => {
      // Guards against refusing streams of which only the runners know.
      expectGoingOn(await play({ listsPrompts: true, count: most }, restoreOlderCopy));
    });

    it('go on where it has refused writes since another version has replaced the only one', async () => {
      // Guards against the version of the history as that of all streams, where no runner of it is left.
      expectGoingOn(await play({ listsPrompts: true, count: runners }, refuseWrites));
    });

    it('go on where it comes back from a copy older than the version that has replaced the only one', async () => {
      // Guards against the same where the store has lost that version.
      expectGoingOn(await play({ listsPrompts: true, count: runners }, restoreOlderCopy));
    });
  });
}

/** Age of the first stream of callers in step when their daemons end, in ms. */
const YOUNG_MILLISECONDS = 420;

/** Callers in step for each daemon. */
const CALLERS_IN_STEP = 10;

/**
 * Defines tests in which daemons end whose callers have all begun their streams a moment before.
 *
 * @param options - size of the fleet and its seed.
 */
export function describeYoungStreams(options: TestStreamFleetOptions): void {
  const { daemons, runners } = options;
  const callers = CALLERS_IN_STEP * daemons;

  describe(`streams of callers in step that callers take up after a loss among ${daemons} daemons`, () => {
    it('go on where half end a moment before the first runner of a new version', async () => {
      // Guards against records that are still at the daemon that is lost, when its streams have their first events.
      const fleet = startFleet(options);
      fleet.beginTogether(callers, 27_000 - YOUNG_MILLISECONDS);
      fleet.after(27_000, () => {
        for (const daemon of fleet.daemons.slice(0, daemons / 2)) fleet.kill(daemon);
      });
      planRelease(fleet, { from: 27_001, gap: 1, count: 1, version: 'v2' });
      await fleet.play(32_000);
      expectOwedToGoOn(fleet);
    });

    it('go on where all end while two versions serve side by side', async () => {
      // Guards against records that have not been written to the store when their streams have their first events.
      const fleet = startFleet(options);
      planRelease(fleet, { from: 1_000, gap: 1, count: Math.floor(runners / 2), version: 'v2' });
      fleet.beginTogether(callers, 8_000 - YOUNG_MILLISECONDS);
      fleet.after(8_000, () => fleet.killAll());
      await fleet.play(13_000);
      expectGoingOn(fleet);
    });
  });
}
