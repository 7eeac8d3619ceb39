import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { RetryBudget } from './RetryBudget.js';

const SERVICE = 'tile-sales';

describe(RetryBudget.name, () => {
  // Guards against one account whose retries leave none for the others, or amplify its own
  // traffic. Here the requests of one account add to the pool's bucket, and the retries of
  // another empty it. It happens if only the bucket of the pool, or only that of the account, is
  // checked.
  it('bounds the retries of each account and of each pool', () => {
    const accounts = fc.constantFrom('a', 'b', 'c');
    // Either all accounts fail, or only one: that one must not use up what the requests of the
    // others added.
    const step = fc.record({ account: accounts, retries: fc.nat({ max: 4 }) });
    const failing = fc.constantFrom('abc', 'a');
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 20, maxLength: 80 }),
        fc.constantFrom(0, 0.1, 0.2, 1),
        fc.nat({ max: 6 }),
        failing,
        (steps, ratio, burst, failingAccounts) => {
          const budget = new RetryBudget({ ratio, burst });
          const taken = { all: 0, a: 0, b: 0, c: 0 };
          const requests = { all: 0, a: 0, b: 0, c: 0 };
          for (const { account, retries } of steps) {
            const scope = { clientAccount: account, service: SERVICE };
            budget.recordRequest(scope);
            requests.all += 1;
            requests[account] += 1;
            const wanted = failingAccounts.includes(account) ? retries : 0;
            for (let retry = 0; retry < wanted; retry += 1) {
              if (!budget.takeRetry(scope)) break;
              taken.all += 1;
              taken[account] += 1;
            }
          }
          for (const name of ['all', 'a', 'b', 'c'] as const) {
            expect(taken[name] <= ratio * requests[name] + burst + 1e-9).toEqual(true);
          }
        },
      ),
      { seed: 11 },
    );
  });

  it('allows exactly one retry for every tenth request at a ratio of 0.1', () => {
    const budget = new RetryBudget({ ratio: 0.1, burst: 1 });
    const scope = { clientAccount: 'a', service: SERVICE };
    expect([budget.takeRetry(scope), budget.takeRetry(scope)]).toEqual([true, false]);
    for (let request = 0; request < 9; request += 1) budget.recordRequest(scope);
    expect(budget.takeRetry(scope)).toEqual(false);
    budget.recordRequest(scope);
    expect([budget.takeRetry(scope), budget.takeRetry(scope)]).toEqual([true, false]);
  });

  it('keeps a bounded number of buckets', () => {
    const budget = new RetryBudget({ ratio: 0, burst: 1, maximumBuckets: 3 });
    const take = (clientAccount: string) => budget.takeRetry({ clientAccount, service: 'x' });
    expect([take('a'), take('a')]).toEqual([true, false]);
    // All accounts use the pool's bucket, so it is never the least recently used one that is
    // dropped.
    expect([take('b'), take('c'), take('d')]).toEqual([false, false, false]);
  });
});
