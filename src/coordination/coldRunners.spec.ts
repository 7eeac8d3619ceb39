import { describe, it } from 'node:test';

import { expect } from 'earl';

import { COLD_RATE, playColdStarts } from './testColdFleet.js';
import type { ColdOptions } from './testColdFleet.js';

/** What a cold runner may get in any second: the operators' factor over its rate, and their allowance. */
const BOUND = COLD_RATE * 1.5 + 5;

const RUNNERS_A_DAEMON = 0.47;

/** Requests a second at each runner, as if all were warm. */
const LOAD = 9;

function optionsFor(daemons: number): Pick<ColdOptions, 'daemons' | 'runners'> {
  return { daemons, runners: Math.max(8, Math.round(daemons * RUNNERS_A_DAEMON)) };
}

function play(daemons: number, options: Partial<ColdOptions>) {
  const { runners } = optionsFor(daemons);
  const base = { seed: 1, coldShare: 1 / 3, hotShare: 0.05, requestsPerSecond: runners * LOAD };
  return playColdStarts({ ...base, ...optionsFor(daemons), ...options });
}

const CASES: Readonly<Record<string, Partial<ColdOptions>>> = {
  'a third of a service is cold at once': { coldShare: 1 / 3 },
  'a prompt gets two fifths of the traffic and half of the runners are cold': {
    coldShare: 0.5,
    hotShare: 0.4,
  },
  'all runners are cold, as in a fleet that has just started': { coldShare: 1 },
  'a third of the daemons hears of no coordinator': { hotShare: 0.2, aloneShare: 0.35 },
  'no daemon hears of a coordinator, and all runners are cold': { coldShare: 1, aloneShare: 1 },
  'all daemons end and start again': { coldShare: 1, hotShare: 0.2, restartMilliseconds: 1_100 },
  'all daemons end and start again before any of them decides': {
    coldShare: 1,
    restartMilliseconds: 600,
  },
  'daemons differ in who decides': { coldShare: 0.5, hotShare: 0.2, listsDiffer: true },
};

describe('cold runners', () => {
  for (const [what, options] of Object.entries(CASES)) {
    it(`get no more than they bear within a second while ${what}`, () => {
      for (const daemons of [9, 90, 195, 390]) {
        expect(play(daemons, options).peak <= BOUND).toEqual(true);
      }
    });
  }

  it('would get more than they bear from daemons that do not count', () => {
    // Guards the cases above: their load has to break the bound where nobody keeps it.
    const hot = { coldShare: 0.5, hotShare: 0.4, policy: 'unlimited' } as const;
    expect(play(90, hot).peak > BOUND).toEqual(true);
  });

  it('cost no request where warm ones are left', () => {
    for (const daemons of [9, 90, 195]) {
      expect(play(daemons, { coldShare: 0.5, hotShare: 0.4 }).refused).toEqual(0);
    }
  });
});
