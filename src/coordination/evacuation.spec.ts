import { describe, it } from 'node:test';

import { expect } from 'earl';

import { TEST_DATA_CENTRES, TEST_SERVICE, TestFleet } from './testFleet.js';
import type { TestDaemon } from './testDaemon.js';

/** The shortest time within which any change has to be in force, in ms. */
const BOUND_MILLISECONDS = 3_000;

/** Time within which an order to evacuate has to be in force, in ms. */
const EVACUATION_MILLISECONDS = 5_000;

/** A daemon that was cut off or has restarted is exempt from the bound for this long, in ms. */
const RECONNECTION_MILLISECONDS = 4_000;

const RUNNERS = 84;

const ORDER_AT = 8_000;

const END_AT = 18_000;

const SEEDS = [1, 2, 3, 4];

/** Faults that occur beside the order. */
type Fault = 'none' | 'cuts' | 'starts' | 'no_history' | 'store_away' | 'all_start';

interface Evacuation {
  readonly daemons: number;
  readonly seed: number;
  readonly fault: Fault;
  /** When each order is given or lifted, in ms after the first one, and for which data centre. */
  readonly orders: readonly (readonly [number, 'begin' | 'end', string])[];
}

interface Snapshot {
  readonly afterMilliseconds: number;
  /** Share of the connected daemons that send requests to an evacuated data centre, or send none to another one. */
  readonly wrong: number;
}

function createFleet({ daemons, seed }: Evacuation): TestFleet {
  return new TestFleet({ daemons, runners: RUNNERS, seed, boundMilliseconds: BOUND_MILLISECONDS });
}

function readyDataCentresOf({ knowledge }: TestDaemon): string {
  const places = knowledge.runners.readyOf(TEST_SERVICE).map(({ entry }) => entry.dataCentre);
  return [...new Set(places)].sort().join();
}

function injectFault(fleet: TestFleet, fault: Fault): void {
  const since = fleet.now - ORDER_AT;
  if (fault === 'cuts' && since === -2_000) fleet.disconnect(0.3, ORDER_AT + 2_000);
  if (fault === 'no_history' && since === 100) fleet.compactHistory();
  if (fault === 'store_away' && since === 50) fleet.makeStoreUnavailable(ORDER_AT + 3_000);
  const isRestart = fault === 'all_start' ? since === 200 : fault === 'starts';
  if (!isRestart || since < 0 || since % 200 !== 0) return;
  const count = fault === 'all_start' ? fleet.daemons.length : 1;
  for (let index = 0; index < count; index += 1) {
    fleet.restart((since / 200 + index) % fleet.daemons.length);
  }
}

/** @returns The share of wrong daemons after each step from the order on. */
function simulate(evacuation: Evacuation): Snapshot[] {
  const fleet = createFleet(evacuation);
  const evacuated = new Set<string>();
  const snapshots: Snapshot[] = [];
  while (fleet.now < END_AT) {
    const since = fleet.now - ORDER_AT;
    for (const [at, what, dataCentre] of evacuation.orders) {
      if (at !== since) continue;
      if (what === 'begin') {
        evacuated.add(dataCentre);
        fleet.evacuate(dataCentre);
      } else {
        evacuated.delete(dataCentre);
        fleet.liftEvacuation(dataCentre);
      }
    }
    injectFault(fleet, evacuation.fault);
    fleet.step();
    if (since < 0) continue;
    const connected = fleet.daemons.filter(
      ({ startedAt, disconnectedUntil }) =>
        Math.max(startedAt, disconnectedUntil) + RECONNECTION_MILLISECONDS <= fleet.now,
    );
    const expected = TEST_DATA_CENTRES.filter((name) => !evacuated.has(name))
      .sort()
      .join();
    const wrong = connected.filter((daemon) => readyDataCentresOf(daemon) !== expected).length;
    snapshots.push({
      afterMilliseconds: fleet.now - ORDER_AT,
      wrong: wrong / Math.max(1, connected.length),
    });
  }
  return snapshots;
}

/** @returns The largest share of wrong daemons later than this time after the last order. */
function wrongAfter(evacuation: Evacuation, milliseconds: number): number {
  const last = Math.max(...evacuation.orders.map(([at]) => at));
  const late = simulate(evacuation).filter(
    ({ afterMilliseconds }) => afterMilliseconds >= last + milliseconds,
  );
  return Math.max(...late.map(({ wrong }) => wrong));
}

const NORTH = [[0, 'begin', 'north']] as const;

describe('an evacuated data centre', () => {
  it('is known to 99 in 100 daemons within 2 s, and within 3 s in a fleet of 390', () => {
    for (const [daemons, milliseconds] of [
      [9, 2_000],
      [90, 2_000],
      [195, 2_000],
      [390, 3_000],
    ] as const) {
      for (const seed of SEEDS) {
        const evacuation = { daemons, seed, fault: 'none', orders: NORTH } as const;
        expect(wrongAfter(evacuation, milliseconds) <= 0.01).toEqual(true);
      }
    }
  });

  for (const fault of ['cuts', 'starts', 'no_history', 'store_away', 'all_start'] as const) {
    it(`gets no requests from connected daemons after the bound, with fault: ${fault}`, () => {
      // Guards against requests to an evacuated data centre from a daemon that missed the order because it was
      // disconnected or started later.
      for (const daemons of [9, 90, 195, 390]) {
        for (const seed of daemons > 100 ? [1] : SEEDS) {
          const evacuation = { daemons, seed, fault, orders: NORTH };
          expect(wrongAfter(evacuation, EVACUATION_MILLISECONDS)).toEqual(0);
        }
      }
    });
  }

  it('is the same for all daemons after orders in quick succession for two data centres', () => {
    // Guards against an order that is lifted within a second and stays in force at a daemon that lost one message.
    const orders = [
      [0, 'begin', 'north'],
      [300, 'begin', 'east'],
      [600, 'end', 'north'],
      [900, 'begin', 'north'],
      [1_500, 'end', 'east'],
    ] as const;
    for (const daemons of [9, 90, 195]) {
      for (const seed of SEEDS) {
        const evacuation = { daemons, seed, fault: 'none', orders } as const;
        expect(wrongAfter(evacuation, EVACUATION_MILLISECONDS)).toEqual(0);
      }
    }
  });
});
