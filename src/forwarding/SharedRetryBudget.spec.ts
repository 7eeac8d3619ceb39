import { describe, it } from 'node:test';

import { expect } from 'earl';

import { SharedRetryBudget } from './SharedRetryBudget.js';
import type { SharedRetryBudgetOptions } from './SharedRetryBudget.js';
import type { FleetTrouble, ServiceFailure } from './testRetryFleet.js';
import { playRetries } from './testRetryFleet.js';

/** Fleets as large as the deployments, with their allowances. */
const FLEETS = [
  { daemons: 6, allowance: 52 },
  { daemons: 9, allowance: 58 },
  { daemons: 90, allowance: 220 },
  { daemons: 195, allowance: 430 },
  { daemons: 390, allowance: 430 },
];

const FAILURES: readonly ServiceFailure[] = ['some', 'most', 'bursts'];

const CASES: readonly { name: string; troubles: readonly FleetTrouble[] }[] = [
  { name: 'while daemons stay', troubles: ['none', 'paused'] },
  {
    name: 'while daemons end and start again',
    troubles: ['killed_together', 'killed_in_turn', 'rolled'],
  },
  { name: 'however the list of daemons changes', troubles: ['lists_short', 'added', 'gone'] },
];

function createAccount(options: SharedRetryBudgetOptions): SharedRetryBudget {
  return new SharedRetryBudget(options);
}

describe(SharedRetryBudget.name, () => {
  for (const { name, troubles } of CASES) {
    // Guards against repeats beyond the fleet's limit, summed over the lives of all daemons.
    it(`keeps the fleet within its limit ${name}`, () => {
      const plays = FLEETS.flatMap((fleet) =>
        troubles.flatMap((trouble) =>
          FAILURES.map((failure) => ({ ...fleet, trouble, failure, createAccount })),
        ),
      );
      const broken = plays.flatMap((play) => {
        const { excess } = playRetries(play);
        return excess > 0 ? [`${play.daemons} ${play.trouble} ${play.failure}: ${excess}`] : [];
      });
      expect(broken).toEqual([]);
    });
  }
});
