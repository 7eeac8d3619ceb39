import { describe, it } from 'node:test';

import { expect } from 'earl';

import { FairQueue } from './FairQueue.js';
import type { FairQueueItem } from './FairQueue.js';
import type { Priority } from './gateTypes.js';

interface Load {
  readonly clientAccount: string;
  readonly count: number;
  readonly work?: number;
  readonly weight?: number;
  readonly priority?: Priority;
  readonly queuedAt?: number;
}

function fill(queue: FairQueue<FairQueueItem>, loads: readonly Load[]): void {
  for (const load of loads) {
    const { clientAccount, count, work = 500, weight = 1 } = load;
    for (let index = 0; index < count; index += 1)
      queue.push({
        attemptId: `${clientAccount}${load.priority ?? ''}${index}`,
        clientAccount,
        priority: load.priority ?? 'standard',
        accountWeight: weight,
        work,
        queuedAt: load.queuedAt ?? 0,
      });
  }
}

/** Takes requests from the queue and sums up their tokens of work by account. */
function tokensServed(queue: FairQueue<FairQueueItem>, turns: number): Record<string, number> {
  const tokens: Record<string, number> = {};
  for (let turn = 0; turn < turns; turn += 1) {
    const item = queue.take(0);
    if (item) tokens[item.clientAccount] = (tokens[item.clientAccount] ?? 0) + item.work;
  }
  return tokens;
}

describe(FairQueue.name, () => {
  const table: [string, Load[], number, Record<string, number>][] = [
    [
      'a surge of one account leaves the others their turns',
      [
        { clientAccount: 'surge', count: 400 },
        { clientAccount: 'quiet', count: 5 },
      ],
      10,
      { surge: 2_500, quiet: 2_500 },
    ],
    [
      'shares follow weights',
      [
        { clientAccount: 'heavy', count: 100, weight: 3 },
        { clientAccount: 'light', count: 100 },
      ],
      40,
      { heavy: 15_000, light: 5_000 },
    ],
    [
      'shares are tokens, not requests',
      [
        { clientAccount: 'long', count: 50, work: 2_000 },
        { clientAccount: 'short', count: 400, work: 100 },
      ],
      210,
      { long: 20_000, short: 20_000 },
    ],
    [
      'a more urgent class goes first',
      [
        { clientAccount: 'weekly', count: 50, priority: 'background' },
        { clientAccount: 'counter', count: 3, priority: 'urgent' },
      ],
      3,
      { counter: 1_500 },
    ],
  ];
  for (const [name, loads, turns, expected] of table) {
    it(name, () => {
      const queue = new FairQueue();
      fill(queue, loads);
      const tokens = tokensServed(queue, turns);
      expect(Object.keys(tokens).sort()).toEqual(Object.keys(expected).sort());
      for (const [account, wanted] of Object.entries(expected)) {
        // Deficit round robin is exact to one quantum and one request.
        expect(Math.abs(tokens[account]! - wanted) <= 2_512).toEqual(true);
      }
    });
  }

  it('gives aged requests of a lower class every eighth turn, if aging is enabled', () => {
    // Guards against starvation: with strict priority classes, a weekly summary in the background class never
    // starts while urgent requests keep coming.
    const loads: Load[] = [
      { clientAccount: 'counter', count: 100, priority: 'urgent' },
      { clientAccount: 'weekly', count: 5, priority: 'background', queuedAt: -20_000 },
    ];
    const aging = new FairQueue({ agingMilliseconds: 10_000 });
    fill(aging, loads);
    expect(tokensServed(aging, 16)).toEqual({ counter: 14 * 500, weekly: 2 * 500 });
    const strict = new FairQueue();
    fill(strict, loads);
    expect(tokensServed(strict, 16)).toEqual({ counter: 16 * 500 });
  });

  it('does not let a surge of one account keep others out of a full queue', () => {
    const queue = new FairQueue();
    fill(queue, [
      { clientAccount: 'surge', count: 10 },
      { clientAccount: 'quiet', count: 1 },
    ]);
    const newcomer: FairQueueItem = {
      attemptId: 'n',
      clientAccount: 'quiet',
      priority: 'standard',
      accountWeight: 1,
      work: 500,
      queuedAt: 0,
    };
    expect(queue.requestToDisplace(newcomer)?.attemptId).toEqual('surge9');
    expect(queue.requestToDisplace({ ...newcomer, clientAccount: 'surge' })).toEqual(undefined);
  });

  it('does not count a surge of others as ahead of a request beyond its share', () => {
    const queue = new FairQueue();
    fill(queue, [{ clientAccount: 'surge', count: 100 }]);
    const [item] = queue.items();
    const quiet = { ...item!, attemptId: 'q', clientAccount: 'quiet' };
    expect(queue.workAhead(quiet)).toEqual({ work: 500, requests: 1 });
    expect(queue.workAhead({ ...item!, attemptId: 's' })).toEqual({ work: 50_000, requests: 100 });
  });
});
