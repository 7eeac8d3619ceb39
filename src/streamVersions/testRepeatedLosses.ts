/**
 * Tests of streams that their callers take up where daemons are lost more than once, or come back one after the other,
 * beside a store that holds less than they knew; in virtual time.
 */
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { expectGoingOn, planRelease, startFleet } from './testOutlivingStreams.js';
import type { TestStreamFleet } from './testStreamFleet.js';
import type { TestStreamFleetOptions } from './testStreamFleetTypes.js';

/** When the second version comes, in ms. */
const SECOND_AT = 20_000;

const END_AT = SECOND_AT + 4_000;

const PLAYED_MILLISECONDS = END_AT + 6_000;

/** From the end of all daemons to the next one, in ms. */
const AGAIN_MILLISECONDS = 1_500;

/** Time over which daemons come back one after the other, in ms. */
const SPREAD_MILLISECONDS = 1_500;

/** Lists that one runner is asked for after a loss of all daemons, which start at the same moment. */
const MOST_LISTS = 2;

/** The same where they come back one after the other, and each reader is the first of those that are listed then. */
const MOST_LISTS_IN_SPREAD = 6;

/** Age of the first stream of callers in step when half of the daemons end, in ms. */
const YOUNG_MILLISECONDS = 50;

/** Callers in step for each daemon. */
const CALLERS_IN_STEP = 10;

/** Spoils the store from the second version until half a second after the end of all daemons. */
type Spoiler = (fleet: TestStreamFleet) => void;

const refuseWrites: Spoiler = (fleet) => {
  const set = (refusesWrites: boolean) => Object.assign(fleet.store, { refusesWrites });
  fleet.after(SECOND_AT, () => set(true));
  fleet.after(END_AT + 500, () => set(false));
};

const loseWrites: Spoiler = (fleet) => {
  const set = (losesWrites: boolean) => Object.assign(fleet.store, { losesWrites });
  fleet.after(SECOND_AT, () => set(true));
  fleet.after(END_AT + 500, () => set(false));
};

const restoreOlderCopy: Spoiler = (fleet) => {
  let restore: () => void = () => undefined;
  fleet.after(SECOND_AT, () => {
    restore = fleet.store.copy();
  });
  fleet.after(END_AT + 500, () => restore());
};

/**
 * Defines tests in which daemons are lost twice, come back one after the other, or know three versions.
 *
 * @param options - size of the fleet, its load and its seed.
 */
export function describeRepeatedLosses(options: TestStreamFleetOptions): void {
  const { daemons, runners } = options;
  const most = Math.floor((runners * 2) / 3);
  const few = Math.floor(runners / 3);
  const release = { from: SECOND_AT + 1, gap: 1, version: 'v2' };
  const start = (changes: Partial<TestStreamFleetOptions> = {}) =>
    startFleet({ ...options, listsPrompts: true, ...changes });
  const killAllTwice = (fleet: TestStreamFleet) => {
    fleet.after(END_AT, () => fleet.killAll());
    fleet.after(END_AT + AGAIN_MILLISECONDS, () => fleet.killAll());
  };

  describe(`streams that callers take up beside lists of cached prompts after losses among ${daemons} daemons`, () => {
    it('go on where writes have been lost since another version has replaced the only one', async () => {
      // Guards against a writer that waits for an answer for good, and against a history that lacks a version.
      const fleet = start();
      loseWrites(fleet);
      planRelease(fleet, { ...release, count: runners });
      fleet.after(END_AT, () => fleet.killAll());
      await fleet.play(PLAYED_MILLISECONDS);
      expectGoingOn(fleet);
    });

    it('go on where all end twice, and the store has refused writes since the second version came', async () => {
      // Guards against lists that end with the daemons that have read them.
      const fleet = start();
      refuseWrites(fleet);
      planRelease(fleet, { ...release, count: runners });
      killAllTwice(fleet);
      await fleet.play(PLAYED_MILLISECONDS);
      expectGoingOn(fleet);
    });

    it('go on where all end twice, and the store comes back from a copy older than the second version', async () => {
      // Guards against a history that counts as complete because daemons have confirmed it for a moment.
      const fleet = start();
      restoreOlderCopy(fleet);
      planRelease(fleet, { ...release, count: most });
      killAllTwice(fleet);
      await fleet.play(PLAYED_MILLISECONDS);
      expectGoingOn(fleet);
    });

    it('go on where the store comes back from a copy older than the second and the third version', async () => {
      // Guards against a choice between two versions, of which one is in the history.
      const fleet = start();
      restoreOlderCopy(fleet);
      planRelease(fleet, { ...release, count: most });
      planRelease(fleet, { ...release, from: SECOND_AT + 2_000, count: few, version: 'v3' });
      fleet.after(END_AT, () => fleet.killAll());
      await fleet.play(PLAYED_MILLISECONDS);
      expectGoingOn(fleet);
    });

    it('go on where half end a moment after they have begun, and then a second version comes', async () => {
      // Guards against lists that are read only where all daemons have ended.
      const fleet = start({ startSpreadMilliseconds: SPREAD_MILLISECONDS, streamsPerSecond: 0 });
      fleet.beginTogether(CALLERS_IN_STEP * daemons, END_AT - YOUNG_MILLISECONDS);
      fleet.after(END_AT, () => {
        for (const daemon of fleet.daemons.slice(0, daemons / 2)) fleet.kill(daemon);
      });
      planRelease(fleet, { ...release, from: END_AT + 1, count: few });
      await fleet.play(PLAYED_MILLISECONDS);
      expectGoingOn(fleet);
    });

    it('go on where daemons come back one after the other, after few lists', async () => {
      // Guards against prompts that a daemon misses which was listed after they had been read.
      const fleet = start({ startSpreadMilliseconds: SPREAD_MILLISECONDS });
      restoreOlderCopy(fleet);
      planRelease(fleet, { ...release, count: most });
      fleet.after(END_AT, () => fleet.killAll());
      await fleet.play(PLAYED_MILLISECONDS);
      expectGoingOn(fleet);
      expect(fleet.listCalls / runners).toBeLessThanOrEqual(MOST_LISTS_IN_SPREAD);
    });

    it('take two lists of each runner where all come back at the same moment', async () => {
      // Guards against lists that are read again for nothing.
      const fleet = start();
      restoreOlderCopy(fleet);
      planRelease(fleet, { ...release, count: most });
      fleet.after(END_AT, () => fleet.killAll());
      await fleet.play(END_AT + 10_000);
      expect(fleet.listCalls).toBeGreaterThanOrEqual(runners);
      expect(fleet.listCalls / runners).toBeLessThanOrEqual(MOST_LISTS);
    });
  });
}
