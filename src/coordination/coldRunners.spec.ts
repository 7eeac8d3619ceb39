import { describe, it } from 'node:test';

import { expect } from 'earl';

import { COLD_RATE, simulateColdStarts } from './testColdFleet.js';
import type { ColdOptions } from './testColdFleet.js';

/**
 * Most requests that a cold runner may get in any second: 1.5 times its cold rate, plus an allowance of 5, both set by
 * the operators.
 */
const BOUND = COLD_RATE * 1.5 + 5;

/** Runners per daemon. */
const RUNNERS_PER_DAEMON = 0.47;

/** Requests per second for each runner, counted as if all were warm. */
const LOAD = 9;

function optionsFor(daemons: number): Pick<ColdOptions, 'daemons' | 'runners'> {
  return { daemons, runners: Math.max(8, Math.round(daemons * RUNNERS_PER_DAEMON)) };
}

function simulate(daemons: number, options: Partial<ColdOptions>) {
  const { runners } = optionsFor(daemons);
  const base = { seed: 1, coldShare: 1 / 3, hotShare: 0.05, requestsPerSecond: runners * LOAD };
  return simulateColdStarts({ ...base, ...optionsFor(daemons), ...options });
}

const CASES: Readonly<Record<string, Partial<ColdOptions>>> = {
  'a third of a service is cold at once': { coldShare: 1 / 3 },
  'a prompt gets two fifths of the traffic and half of the runners are cold': {
    coldShare: 0.5,
    hotShare: 0.4,
  },
  'all runners are cold, as in a fleet that has just started': { coldShare: 1 },
  'a third of the daemons knows no coordinator': { hotShare: 0.2, isolatedShare: 0.35 },
  'no daemon knows a coordinator, and all runners are cold': { coldShare: 1, isolatedShare: 1 },
  'all daemons restart': { coldShare: 1, hotShare: 0.2, restartMilliseconds: 1_100 },
  'all daemons restart before any of them may send as an owner': {
    coldShare: 1,
    restartMilliseconds: 600,
  },
  'daemons disagree about the owners': { coldShare: 0.5, hotShare: 0.2, listsDiffer: true },
};

describe('cold runners', () => {
  for (const [what, options] of Object.entries(CASES)) {
    it(`get no more requests than their limit within a second while ${what}`, () => {
      for (const daemons of [9, 90, 195, 390]) {
        expect(simulate(daemons, options).peak <= BOUND).toEqual(true);
      }
    });
  }

  it('would exceed their limit without admission control', () => {
    // Guards the cases above: their load has to exceed the limit when no daemon enforces it.
    const hot = { coldShare: 0.5, hotShare: 0.4, policy: 'unlimited' } as const;
    expect(simulate(90, hot).peak > BOUND).toEqual(true);
  });

  it('cause no refused request while warm runners are left', () => {
    for (const daemons of [9, 90, 195]) {
      expect(simulate(daemons, { coldShare: 0.5, hotShare: 0.4 }).refused).toEqual(0);
    }
  });
});
