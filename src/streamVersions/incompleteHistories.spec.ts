/**
 * Tests of streams that callers take up after all daemons have ended, where the store holds an old history and a version
 * has left, or has come back, meanwhile.
 */
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { TestStreamFleet } from './testStreamFleet.js';

/** Streams that may hold events of two versions. */
const ALLOWED_MIXED = 2;

const FEWEST_TAKEN_UP = 12;

const DOWN_MILLISECONDS = 500;

/** When the second version comes, in ms. */
const SECOND_AT = 20_000;

const END_AT = 24_000;

/** As long as callers come back, and some more. */
const AFTERWARDS_MILLISECONDS = 10_000;

interface Play {
  readonly fleet: TestStreamFleet;
  readonly half: number;
  readonly all: number;
}

function release({ fleet }: Play, version: string, from: number, count: number): void {
  for (let index = 0; index < count; index += 1) {
    fleet.after(from + 1 + index, () => fleet.replace(index, version));
  }
}

function refuseWrites({ fleet }: Play, from: number, until: number): void {
  const { store } = fleet;
  fleet.after(from, () => {
    store.refusesWrites = true;
  });
  fleet.after(until, () => {
    store.refusesWrites = false;
  });
}

/** The store comes back from its state at a moment; without a history where daemons had not saved one by then. */
function restoreCopy({ fleet }: Play, { hasHistory }: { hasHistory: boolean }): void {
  const { store } = fleet;
  let restore: () => void = () => undefined;
  fleet.after(SECOND_AT, () => {
    restore = store.copy();
  });
  fleet.after(END_AT + DOWN_MILLISECONDS, () => {
    restore();
    if (!hasHistory) store.history = { versions: new Map(), completeAt: 0 };
  });
}

for (const size of [
  { daemons: 6, runners: 12, streamsPerSecond: 40 },
  { daemons: 20, runners: 24, streamsPerSecond: 80 },
]) {
  const { daemons, runners } = size;

  /** Runners list their prompts, so that only what they cannot tell is left to conclude. */
  const expectUnmixed = async (
    endAt: number,
    spoil: (play: Play) => void,
    listsPrompts = true,
  ): Promise<void> => {
    const options = { lostByCallers: 0, pauseMilliseconds: 6_000, listsPrompts, seed: 77 };
    const fleet = new TestStreamFleet({ ...size, ...options });
    spoil({ fleet, half: runners / 2, all: runners });
    fleet.after(endAt, () => fleet.killAll());
    await fleet.play(endAt + AFTERWARDS_MILLISECONDS);
    expect(fleet.tally.taken).toBeGreaterThanOrEqual(FEWEST_TAKEN_UP);
    expect(fleet.tally.mixed).toBeLessThanOrEqual(ALLOWED_MIXED);
  };

  describe(`streams of a version that an old history lacks, before ${daemons} daemons`, () => {
    it('are not mixed where the version before is back at some runners', async () => {
      // Guards against a version that counts as new although streams began there as the only one that served.
      await expectUnmixed(END_AT, (play) => {
        refuseWrites(play, SECOND_AT, END_AT + DOWN_MILLISECONDS);
        release(play, 'v2', SECOND_AT, play.all);
        release(play, 'v1', END_AT - 100, play.half);
      });
    });

    it('are not mixed where the version before is back at all runners', async () => {
      // Guards against the only version that is known as the only one that there was.
      await expectUnmixed(END_AT, (play) => {
        refuseWrites(play, SECOND_AT, END_AT + DOWN_MILLISECONDS);
        release(play, 'v2', SECOND_AT, play.all);
        release(play, 'v1', END_AT + 100, play.all);
      });
    });

    it('are not mixed in that case where the history is too old to count as complete', async () => {
      // Guards against the same conclusion a few seconds after the start, from a history that is known to lack versions.
      const endAt = SECOND_AT + 16_000;
      await expectUnmixed(endAt, (play) => {
        refuseWrites(play, SECOND_AT, endAt + DOWN_MILLISECONDS);
        release(play, 'v2', SECOND_AT, play.all);
        release(play, 'v1', endAt + 50, play.all);
      });
    });

    it('are not mixed in that case where the store comes back from an older copy', async () => {
      // Guards against the same after a restore.
      await expectUnmixed(END_AT, (play) => {
        restoreCopy(play, { hasHistory: true });
        release(play, 'v2', SECOND_AT, play.all);
        release(play, 'v1', END_AT + 100, play.all);
      });
    });

    it('are not mixed where the store comes back from a copy without any history', async () => {
      // Guards against the same at the first release of a site, where no version returns.
      await expectUnmixed(END_AT, (play) => {
        restoreCopy(play, { hasHistory: false });
        release(play, 'v2', END_AT - 200, play.all);
      });
    });

    it('are not mixed where the only other runners had said that they leave', async () => {
      // Guards against entries that are still ready of runners that get nothing new: streams began at the other version.
      const spoil = (play: Play) => {
        const { fleet, half, all } = play;
        refuseWrites(play, SECOND_AT, END_AT + DOWN_MILLISECONDS);
        release(play, 'v2', SECOND_AT, half);
        fleet.after(SECOND_AT + 900, () => {
          for (const { runners: table } of fleet.daemons) {
            for (let index = half; index < all; index += 1) table.markLeaving(`runner-${index}@v1`);
          }
        });
      };
      await expectUnmixed(END_AT, spoil, false);
    });

    it('are not mixed where the history names it as gone, and it comes back beside the other one', async () => {
      // Guards against a hold that does not apply to such a version, which the history forgets after a while.
      const backAt = 34_000;
      const endAt = backAt + 3_000;
      await expectUnmixed(endAt, (play) => {
        release(play, 'v2', 1_000, play.half);
        release(play, 'v1', 10_000, play.half);
        refuseWrites(play, backAt - 100, endAt + DOWN_MILLISECONDS);
        release(play, 'v2', backAt, play.half);
        release(play, 'v1', endAt - 500, play.half);
      });
    });
  });
}
