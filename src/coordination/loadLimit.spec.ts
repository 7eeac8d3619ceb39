import { describe, it } from 'node:test';

import { expect } from 'earl';

import { simulateLoad } from './testLoad.js';

/**
 * The operators' limit: the largest share of requests that may go to a runner with over twice the mean load plus three
 * requests.
 */
const LIMIT = 0.03;

/** A large fleet, in which prompts are popular enough to overload single runners. */
const FLEET = { daemons: 80, runners: 98, requestsPerSecond: 630 };

/** Interval between load reports if every daemon reports to every other one and sends 80 datagrams a second, in ms. */
const ALL_TO_ALL_INTERVAL_MILLISECONDS = 988;

/** Interval between load reports if daemons report to the coordinators only, in ms. */
const TO_COORDINATORS_INTERVAL_MILLISECONDS = 250;

describe('the load of runners behind a large fleet', () => {
  it('is within the limit when coordinators choose, while one prompt gets a sixth of the traffic', () => {
    // Guards against one runner with thirteen times the mean while others idle. A prompt becomes popular, and eighty
    // daemons choose for it by counts that are a second old, so that each of them sees room where all of them send. 12
    // in 100 requests are over the limit without coordinators, 1 in 2,000 with them.
    const alone = simulateLoad({
      ...FLEET,
      seed: 1,
      isCoordinated: false,
      newsMilliseconds: ALL_TO_ALL_INTERVAL_MILLISECONDS,
    });
    expect(alone.overLimit > LIMIT).toEqual(true);
    for (const seed of [1, 2, 3]) {
      const options = { ...FLEET, seed, newsMilliseconds: TO_COORDINATORS_INTERVAL_MILLISECONDS };
      const { overLimit, worstRatio } = simulateLoad({ ...options, isCoordinated: true });
      expect([overLimit < LIMIT / 10, worstRatio < 4]).toEqual([true, true]);
    }
  });

  it('is within the limit while a quarter of the runners is evacuated, as the mean is over all runners', () => {
    // Guards against a bound on the mean of the runners that take work, which is a third higher than the mean that the
    // operators' limit uses.
    for (const seed of [1, 2, 3]) {
      const options = { ...FLEET, seed, newsMilliseconds: TO_COORDINATORS_INTERVAL_MILLISECONDS };
      const { overLimit } = simulateLoad({ ...options, isCoordinated: true, evacuatedShare: 0.25 });
      expect(overLimit < LIMIT).toEqual(true);
    }
  });

  it('stays below half of the uncoordinated overload when coordinators stop answering', () => {
    const options = { ...FLEET, seed: 1, newsMilliseconds: TO_COORDINATORS_INTERVAL_MILLISECONDS };
    const unresponsive = simulateLoad({
      ...options,
      isCoordinated: true,
      coordinatorsUnresponsiveAt: 6_000,
    });
    const alone = simulateLoad({
      ...FLEET,
      seed: 1,
      isCoordinated: false,
      newsMilliseconds: ALL_TO_ALL_INTERVAL_MILLISECONDS,
    });
    expect(unresponsive.overLimit < alone.overLimit / 2).toEqual(true);
  });
});
