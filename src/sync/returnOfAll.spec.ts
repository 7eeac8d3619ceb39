import { describe, it } from 'node:test';

import { expect } from 'earl';

import { playReturn } from './testReturn.js';

/** In which 95 in 100 daemons have to know everything after a start of all, in ms. */
const AIM_MILLISECONDS = 2_000;

const RUNNERS_A_DAEMON = 10;

async function latestOfMost(daemons: number, learnsFromFleet: boolean): Promise<number> {
  const runners = daemons * RUNNERS_A_DAEMON;
  const knownAt = await playReturn({ daemons, runners, learnsFromFleet });
  expect(knownAt.length).toEqual(daemons);
  return knownAt[Math.ceil(0.95 * daemons) - 1] ?? Number.POSITIVE_INFINITY;
}

describe('a start of all daemons at once', () => {
  it('lets 95 in 100 know everything within two seconds, however many there are', async () => {
    for (const daemons of [30, 100, 300, 394]) {
      expect((await latestOfMost(daemons, true)) < AIM_MILLISECONDS).toEqual(true);
    }
  });

  it('would take longer where each of 300 read all of the store', async () => {
    // Guards the case above: its load has to miss the aim without what daemons tell each other.
    expect((await latestOfMost(300, false)) > AIM_MILLISECONDS).toEqual(true);
  });
});
