import { describe, it } from 'node:test';

import { expect } from 'earl';

import { playLoad } from './testLoad.js';

/** The operators' limit: at most this share of requests at a runner with over twice the mean and three. */
const LIMIT = 0.03;

const FLEET = { daemons: 80, runners: 98, requestsPerSecond: 630 };

/** All tell all, as long as each daemon sends 80 datagrams a second. */
const ALL_TELL_ALL_MILLISECONDS = 988;

const TELL_COORDINATORS_MILLISECONDS = 250;

describe('the load of runners behind a large fleet', () => {
  it('is within the limit where coordinators choose, while one prompt gets a sixth of the traffic', () => {
    // Symptom: one runner has thirteen times the mean while others idle. Sequence: a prompt becomes popular, and eighty
    // daemons choose for it by counts that are a second old. Cause: each of them sees room where all of them send.
    // 12 in 100 requests are over the limit without coordinators, 1 in 2,000 with them.
    const alone = playLoad({
      ...FLEET,
      seed: 1,
      isCoordinated: false,
      newsMilliseconds: ALL_TELL_ALL_MILLISECONDS,
    });
    expect(alone.overLimit > LIMIT).toEqual(true);
    for (const seed of [1, 2, 3]) {
      const options = { ...FLEET, seed, newsMilliseconds: TELL_COORDINATORS_MILLISECONDS };
      const { overLimit, worstRatio } = playLoad({ ...options, isCoordinated: true });
      expect([overLimit < LIMIT / 10, worstRatio < 4]).toEqual([true, true]);
    }
  });

  it('is within the limit while a quarter of the runners is evacuated: the mean is that of all', () => {
    // Guards against a bound on the mean of those that take work, which is a third higher than the operators' mean.
    for (const seed of [1, 2, 3]) {
      const options = { ...FLEET, seed, newsMilliseconds: TELL_COORDINATORS_MILLISECONDS };
      const { overLimit } = playLoad({ ...options, isCoordinated: true, evacuatedShare: 0.25 });
      expect(overLimit < LIMIT).toEqual(true);
    }
  });

  it('goes on at once where no coordinator answers, at less than half of the load beyond the limit', () => {
    const options = { ...FLEET, seed: 1, newsMilliseconds: TELL_COORDINATORS_MILLISECONDS };
    const silent = playLoad({ ...options, isCoordinated: true, coordinatorsSilentAt: 6_000 });
    const alone = playLoad({
      ...FLEET,
      seed: 1,
      isCoordinated: false,
      newsMilliseconds: ALL_TELL_ALL_MILLISECONDS,
    });
    expect(silent.overLimit < alone.overLimit / 2).toEqual(true);
  });
});
