import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { ColdStarts } from './ColdStarts.js';
import type { ColdOwnership } from './ColdStarts.js';
import { Runner } from './Runner.js';
import { TEST_RUNNER } from './testRunner.js';

/** Requests per second that a cold runner sustains. */
const RATE = 10;

/** Ownership is stable for long enough, in ms. */
const LONG = 60_000;

describe(ColdStarts.name, () => {
  let ownership: ColdOwnership;
  let coldStarts: ColdStarts;
  let runner: Runner;

  beforeEach(() => {
    ownership = { share: 1, stableMilliseconds: LONG };
    coldStarts = new ColdStarts({
      rateOf: (service) => (service === 'chat' ? RATE : undefined),
      ownershipOf: () => ownership,
      daemons: () => 10,
      random: () => 0.5,
    });
    runner = new Runner(TEST_RUNNER);
    runner.coldUntil = 5_000;
  });

  function sentWithin(from: number, until: number): number {
    let sent = 0;
    for (let now = from; now < until; now += 10) {
      if (!coldStarts.mayOwnerSend(runner, now)) continue;
      coldStarts.countRequest(runner, now);
      sent += 1;
    }
    return sent;
  }

  it('does not limit warm runners, or services without a rate', () => {
    expect(coldStarts.mayOwnerSend(runner, 5_000)).toEqual(true);
    const other = new Runner({ ...TEST_RUNNER, service: 'plain' });
    other.coldUntil = 5_000;
    expect(coldStarts.mayOwnerSend(other, 0)).toEqual(true);
  });

  it('gives an owner its share of the rate', () => {
    expect(sentWithin(0, 1_000)).toEqual(RATE);
    ownership = { share: 0.5, stableMilliseconds: LONG };
    expect(sentWithin(1_000, 2_000)).toEqual(RATE / 2);
  });

  it('blocks a new owner for its first second, as the previous one may have used up the rate', () => {
    ownership = { share: 1, stableMilliseconds: 999 };
    expect(coldStarts.mayOwnerSend(runner, 0)).toEqual(false);
  });

  it('gives a daemon that is not an owner its part of half the rate, starting at a random moment', () => {
    ownership = { share: 0, stableMilliseconds: LONG };
    expect(coldStarts.mayOwnerSend(runner, 0)).toEqual(false);
    expect(coldStarts.mayNonOwnerSend(runner, 0)).toEqual(false);
    expect(coldStarts.mayNonOwnerSend(runner, 1_000)).toEqual(true);
    coldStarts.countRequest(runner, 1_000);
    expect(coldStarts.mayNonOwnerSend(runner, 2_900)).toEqual(false);
    expect(coldStarts.mayNonOwnerSend(runner, 3_000)).toEqual(true);
  });

  it('starts a new cold period when the runner becomes cold again', () => {
    coldStarts.countRequest(runner, 1_000);
    runner.coldUntil = 20_000;
    ownership = { share: 0, stableMilliseconds: LONG };
    expect(coldStarts.mayNonOwnerSend(runner, 12_000)).toEqual(false);
  });
});
