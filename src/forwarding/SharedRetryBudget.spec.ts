import { describe, it } from 'node:test';

import { expect } from 'earl';

import { SharedRetryBudget } from './SharedRetryBudget.js';
import type { SharedRetryBudgetOptions } from './SharedRetryBudget.js';
import type { FleetTrouble, ServiceFailure } from './testRetryFleet.js';
import { simulateRetries, RETRY_FLEETS, RETRY_WINDOW_MILLISECONDS } from './testRetryFleet.js';

const LIMITS = {
  ratio: 0.2,
  allowance: 10,
  windowMilliseconds: RETRY_WINDOW_MILLISECONDS,
  daemons: () => 1,
};

const FAILURES: readonly ServiceFailure[] = ['some', 'most', 'bursts'];

const CASES: readonly { name: string; troubles: readonly FleetTrouble[] }[] = [
  { name: 'while all daemons keep running', troubles: ['none', 'paused'] },
  {
    name: 'while daemons are restarted',
    troubles: ['killed_together', 'killed_in_turn', 'rolled'],
  },
  { name: 'however the list of daemons changes', troubles: ['lists_short', 'added', 'gone'] },
];

function createAccount(options: SharedRetryBudgetOptions): SharedRetryBudget {
  return new SharedRetryBudget(options);
}

describe(SharedRetryBudget.name, () => {
  for (const { name, troubles } of CASES) {
    // Guards against more retries than the fleet's limit allows, summed over the incarnations of all daemons.
    it(`keeps the fleet within its limit ${name}`, () => {
      const plays = RETRY_FLEETS.flatMap((fleet) =>
        troubles.flatMap((trouble) =>
          FAILURES.map((failure) => ({ ...fleet, trouble, failure, createAccount })),
        ),
      );
      const broken = plays.flatMap((play) => {
        const { excess } = simulateRetries(play);
        return excess > 0 ? [`${play.daemons} ${play.trouble} ${play.failure}: ${excess}`] : [];
      });
      expect(broken).toEqual([]);
    });
  }

  /** Counts requests that need no retry, waits, and returns how many retries are then possible at one moment. */
  function spendAfter(requests: number, idleMilliseconds: number): number {
    const budget = createAccount(LIMITS);
    for (let count = 0; count < requests; count += 1) budget.recordRequest('plain', count * 10);
    const now = requests * 10 + idleMilliseconds;
    let spent = 0;
    while (spent < requests && budget.take('plain', now)) spent += 1;
    return spent;
  }

  it('limits the bucket to the allowance and a share of what the latest requests earn', () => {
    expect(spendAfter(0, 0)).toEqual(0);
    expect(spendAfter(1_000, 0)).toEqual(50);
    expect(spendAfter(4_000, 0)).toEqual(50);
    expect(spendAfter(4_000, RETRY_WINDOW_MILLISECONDS / 2)).toEqual(30);
    expect(spendAfter(4_000, RETRY_WINDOW_MILLISECONDS + 1)).toEqual(10);
  });

  it('refills a spent bucket with new requests', () => {
    const budget = createAccount(LIMITS);
    const after: number[] = [];
    for (let request = 1; request <= 40; request += 1) {
      budget.recordRequest('plain', request);
      if (budget.take('plain', request)) after.push(request);
    }
    expect(after).toEqual([7, 14, 20, 27, 34, 40]);
  });

  it('allows nearly all retries if one request in ten fails, in a fleet of any size', () => {
    const plays = RETRY_FLEETS.map((fleet) =>
      simulateRetries({ ...fleet, trouble: 'none', failure: 'some', createAccount }),
    );
    const shares = plays.map(({ granted, wanted }) => granted / wanted);
    expect(Math.min(...shares) > 0.95).toEqual(true);
  });
});
