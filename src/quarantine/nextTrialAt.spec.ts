import { describe, it } from 'node:test';

import { expect } from 'earl';

import { nextTrialAt } from './nextTrialAt.js';

const crashesAt = (...times: number[]) => times.map((at, life) => ({ life, at }));

describe(nextTrialAt.name, () => {
  it('waits longer after each trial that crashed a runner, and for a release after the third', () => {
    expect(nextTrialAt(crashesAt(0, 500, 900))).toEqual(60_900);
    expect(nextTrialAt(crashesAt(0, 500, 900, 61_000))).toEqual(1_861_000);
    expect(nextTrialAt(crashesAt(0, 900, 61_000, 1_870_000))).toEqual(37_870_000);
    const last = crashesAt(0, 900, 61_000, 1_870_000, 37_900_000);
    expect(nextTrialAt(last)).toEqual(Number.POSITIVE_INFINITY);
  });
});
