import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { RolloutDecisions } from './RolloutDecisions.js';
import { unavailableAllowance } from './rolloutTurn.js';
import type { EngineFault } from './testPool.js';
import { TestPool } from './testPool.js';

const MINUTE = 60_000;
const HOUR = 60 * MINUTE;

function healthy(count: number): EngineFault[] {
  return Array.from({ length: count }, () => 'none' as const);
}

describe(RolloutDecisions.name, () => {
  it('moves every engine by steps that keep capacity, and settles the version', () => {
    const pool = new TestPool({ faults: healthy(8) });
    pool.run(HOUR, () => pool.rollout.state !== 'running');
    expect([pool.rollout.state, pool.wantedVersion, pool.mostUnavailable]).toEqual([
      'finished',
      '2',
      2,
    ]);
    expect(new Set(pool.versions())).toEqual(new Set(['2']));
  });

  it('gives no order to a runner before its requests have ended', () => {
    // Guards against answers that are cut off during a roll-out: a runner is drained, its load report is older
    // than the drain and shows no requests, and the version is unloaded under requests that had just arrived.
    // A load report lags and does not show the present.
    const pool = new TestPool({ faults: healthy(4), busyMilliseconds: 30_000 });
    pool.run(HOUR, () => pool.orders.length > 0);
    const [first] = pool.orders;
    const engine = pool.engines.find(({ id }) => id === first?.runnerId);
    expect((first?.at ?? 0) >= (engine?.busyUntil ?? Infinity)).toEqual(true);
    expect(engine?.busyUntil ?? 0).toBeGreaterThan(30_000);
  });

  // While the roll-out waits for an unresponsive engine, it still changes others; a failing load halts it
  // sooner.
  const halting: [string, EngineFault, string, number][] = [
    ['refuses', 'refuses', 'a: r01: refused an order: no', 5],
    ['loses its load', 'load_vanishes', 'a: r01: did not load 2 in 3 attempts', 5],
    ['falls silent', 'silent', 'a: r01: does not answer', 4],
  ];
  for (const [name, fault, reason, untouchedAtLeast] of halting) {
    it(`halts itself when an engine ${name}, and takes no further one`, () => {
      // Guards against a bad version that takes one engine after the other out of service: each engine unloads
      // the good version and fails to load the bad one, and the next engine is drained. The failures have to be
      // counted.
      const faults = healthy(8);
      faults[1] = fault;
      const pool = new TestPool({ faults });
      pool.run(HOUR, () => pool.rollout.state === 'halted');
      pool.run(MINUTE);
      const ordersAtHalt = pool.orders.length;
      pool.run(10 * MINUTE);
      expect(pool.orders.length).toEqual(ordersAtHalt);
      expect([pool.rollout.state, pool.rollout.resumesAs]).toEqual(['halted', 'running']);
      expect(pool.reports.filter((event) => event === 'rolloutHalted').length).toEqual(1);
      expect(pool.mostUnavailable).toEqual(2);
      expect(pool.lastReason).toEqual(reason);
      const untouched = pool.versions().filter((version) => version === '1').length;
      expect(untouched).toBeGreaterThanOrEqual(untouchedAtLeast);
    });
  }

  it('goes on when an answer is lost or an engine dies', () => {
    // Guards against a roll-out that never ends: the answer to an order is lost, or the engine dies while it
    // loads. The order has to be repeated or given up.
    for (const fault of ['answers_lost', 'dies'] as const) {
      const faults = healthy(8);
      faults[0] = fault;
      const pool = new TestPool({ faults });
      pool.run(HOUR, () => pool.rollout.state !== 'running');
      expect([pool.rollout.state, pool.mostUnavailable]).toEqual(['finished', 2]);
    }
  });

  it('drains nothing when too many runners are unavailable in other data centres', () => {
    const elsewhere = { runners: 4, unavailable: 3 };
    const pool = new TestPool({ faults: healthy(8), elsewhere });
    pool.run(10 * MINUTE);
    expect([pool.mostUnavailable, pool.orders.length]).toEqual([0, 0]);
  });

  it('does not empty a data centre although the service as a whole could spare it', () => {
    // Guards against refusing all callers of one data centre during a roll-out: a quarter of forty runners may
    // be unavailable, the data centre has four of them, and all four are drained at once. The share has to
    // limit each data centre as well as the whole service.
    const elsewhere = { runners: 36, unavailable: 0 };
    const pool = new TestPool({ faults: healthy(4), elsewhere });
    pool.run(HOUR, () => pool.rollout.state !== 'running');
    expect([pool.rollout.state, pool.mostUnavailable]).toEqual(['finished', 1]);
  });

  it('waits for the turn of its data centre, and restores the old version during a roll-back', () => {
    const rollout = { dataCentres: ['b', 'a'] };
    const pool = new TestPool({ faults: healthy(4), rollout });
    pool.run(5 * MINUTE);
    expect(pool.orders.length).toEqual(0);
    pool.updateRollout({ finishedDataCentres: ['b'] });
    pool.run(20_000);
    pool.updateRollout({ state: 'rolling_back', finishedDataCentres: ['b', 'a'] });
    pool.run(HOUR, () => pool.rollout.finishedDataCentres.length === 1);
    expect([pool.rollout.state, ...pool.rollout.finishedDataCentres]).toEqual([
      'rolling_back',
      'b',
    ]);
    expect(new Set(pool.versions())).toEqual(new Set(['1']));
  });

  it('paces loads to the weight store', () => {
    const pool = new TestPool({
      faults: healthy(12),
      rollout: { maximumUnavailableShare: 1 },
      concurrentLoads: 3,
      weightBytesPerSecond: 2 ** 30 / 20,
    });
    pool.run(HOUR, () => pool.rollout.state !== 'running');
    const loads = pool.orders.filter(({ order }) => order.kind === 'load_version');
    const gaps = loads.slice(1).map(({ at }, index) => at - (loads[index]?.at ?? 0));
    expect([loads.length, Math.min(...gaps) >= 20_000]).toEqual([12, true]);
    const quick = new TestPool({
      faults: healthy(12),
      rollout: { maximumUnavailableShare: 1 },
      concurrentLoads: 3,
      weightBytesPerSecond: 2 ** 40,
    });
    quick.run(HOUR, () => quick.rollout.state !== 'running');
    expect([quick.rollout.state, quick.mostLoading]).toEqual(['finished', 3]);
  });

  it('keeps capacity whatever fails and whoever holds the lease', () => {
    const fault = fc.constantFrom<EngineFault>(
      'none',
      'none',
      'none',
      'refuses',
      'load_vanishes',
      'answers_lost',
      'silent',
      'dies',
    );
    const property = fc.property(
      fc.array(fault, { minLength: 1, maxLength: 12 }),
      fc.double({ min: 0.05, max: 0.6, noNaN: true }),
      fc.integer({ min: 1, max: 3 }),
      fc.array(fc.integer({ min: 1, max: 300 }), { maxLength: 4 }),
      (faults, maximumUnavailableShare, maximumFailures, changes) => {
        const pool = new TestPool({
          faults,
          rollout: { maximumUnavailableShare, maximumFailures },
        });
        for (const seconds of changes) {
          pool.run(seconds * 1000);
          pool.changeHolder();
        }
        pool.run(HOUR, () => pool.rollout.state !== 'running');
        const allowance = unavailableAllowance(faults.length, maximumUnavailableShare);
        expect(pool.mostUnavailable).toBeLessThanOrEqual(allowance);
        if (pool.rollout.state === 'finished') {
          const alive = pool.engines.filter(({ dead }) => !dead);
          expect(alive.every(({ state }) => state.versions.join() === '2')).toEqual(true);
        }
      },
    );
    fc.assert(property, { seed: 3, numRuns: 120 });
  });
});
