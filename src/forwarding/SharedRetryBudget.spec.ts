import { describe, it } from 'node:test';

import { expect } from 'earl';

import { SharedRetryBudget } from './SharedRetryBudget.js';
import type { SharedRetryBudgetOptions } from './SharedRetryBudget.js';
import type { FleetTrouble, ServiceFailure } from './testRetryFleet.js';
import { playRetries, RETRY_FLEETS, RETRY_WINDOW_MILLISECONDS } from './testRetryFleet.js';

const LIMITS = {
  ratio: 0.2,
  allowance: 10,
  windowMilliseconds: RETRY_WINDOW_MILLISECONDS,
  daemons: () => 1,
};

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
      const plays = RETRY_FLEETS.flatMap((fleet) =>
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

  /** With requests of some windows, all answered; then the most that can be sent once more at one moment. */
  function spendAfter(requests: number, idleMilliseconds: number): number {
    const budget = createAccount(LIMITS);
    for (let count = 0; count < requests; count += 1) budget.recordRequest('plain', count * 10);
    const now = requests * 10 + idleMilliseconds;
    let spent = 0;
    while (spent < requests && budget.take('plain', now)) spent += 1;
    return spent;
  }

  it('holds no more than the allowance and a part of what the latest requests may have', () => {
    expect(spendAfter(0, 0)).toEqual(0);
    expect(spendAfter(1_000, 0)).toEqual(50);
    expect(spendAfter(4_000, 0)).toEqual(50);
    expect(spendAfter(4_000, RETRY_WINDOW_MILLISECONDS / 2)).toEqual(30);
    expect(spendAfter(4_000, RETRY_WINDOW_MILLISECONDS + 1)).toEqual(10);
  });

  it('earns again what it has spent, with the requests that come', () => {
    const budget = createAccount(LIMITS);
    const after: number[] = [];
    for (let request = 1; request <= 40; request += 1) {
      budget.recordRequest('plain', request);
      if (budget.take('plain', request)) after.push(request);
    }
    expect(after).toEqual([7, 14, 20, 27, 34, 40]);
  });

  it('retries nearly all that fail where one in ten does, in a fleet of any size', () => {
    const plays = RETRY_FLEETS.map((fleet) =>
      playRetries({ ...fleet, trouble: 'none', failure: 'some', createAccount }),
    );
    const shares = plays.map(({ granted, wanted }) => granted / wanted);
    expect(Math.min(...shares) > 0.95).toEqual(true);
  });
});
