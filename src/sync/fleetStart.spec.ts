import { describe, it } from 'node:test';

import { expect } from 'earl';

import { simulateFleetStart } from './testFleetStart.js';

/** Time within which 95 % of the daemons must know everything after all have started at once, in ms. */
const LIMIT_MILLISECONDS = 2_000;

const RUNNERS_PER_DAEMON = 10;

async function percentile95(daemons: number, learnsFromFleet: boolean): Promise<number> {
  const runners = daemons * RUNNERS_PER_DAEMON;
  const knownAt = await simulateFleetStart({ daemons, runners, learnsFromFleet });
  expect(knownAt.length).toEqual(daemons);
  return knownAt[Math.ceil(0.95 * daemons) - 1] ?? Number.POSITIVE_INFINITY;
}

describe('a start of all daemons at once', () => {
  it('gives 95 % of the daemons all knowledge within two seconds, for each size of the fleet', async () => {
    for (const daemons of [30, 100, 300, 394]) {
      expect((await percentile95(daemons, true)) < LIMIT_MILLISECONDS).toEqual(true);
    }
  });

  it('takes longer than two seconds if each of 300 daemons reads the whole store', async () => {
    // Checks that the case above can fail: its load misses the limit if daemons do not learn from each other.
    expect((await percentile95(300, false)) > LIMIT_MILLISECONDS).toEqual(true);
  });
});
