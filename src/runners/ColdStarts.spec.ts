import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { ColdStarts } from './ColdStarts.js';
import type { ColdOwnership } from './ColdStarts.js';
import { Runner } from './Runner.js';
import { TEST_RUNNER } from './testRunner.js';

const RATE = 10;

const LONG = 60_000;

describe(ColdStarts.name, () => {
  let ownership: ColdOwnership;
  let coldStarts: ColdStarts;
  let runner: Runner;

  beforeEach(() => {
    ownership = { share: 1, settledMilliseconds: LONG };
    coldStarts = new ColdStarts({
      rateOf: (service) => (service === 'chat' ? RATE : undefined),
      ownershipOf: () => ownership,
      daemons: () => 10,
      random: () => 0.5,
    });
    runner = new Runner(TEST_RUNNER);
    runner.coldUntil = 5_000;
  });

  function sentWithin(from: number, until: number): number {
    let sent = 0;
    for (let now = from; now < until; now += 10) {
      if (!coldStarts.hasRoom(runner, now)) continue;
      coldStarts.sent(runner, now);
      sent += 1;
    }
    return sent;
  }

  it('leaves warm runners alone, and services without a rate', () => {
    expect(coldStarts.hasRoom(runner, 5_000)).toEqual(true);
    const other = new Runner({ ...TEST_RUNNER, service: 'plain' });
    other.coldUntil = 5_000;
    expect(coldStarts.hasRoom(other, 0)).toEqual(true);
  });

  it('gives an owner its part of the rate', () => {
    expect(sentWithin(0, 1_000)).toEqual(RATE);
    ownership = { share: 0.5, settledMilliseconds: LONG };
    expect(sentWithin(1_000, 2_000)).toEqual(RATE / 2);
  });

  it('has no room for the first second of an owner: the one before may have sent as much', () => {
    ownership = { share: 1, settledMilliseconds: 999 };
    expect(coldStarts.hasRoom(runner, 0)).toEqual(false);
  });

  it('gives a daemon that is no owner its part of a half, from a random moment on', () => {
    ownership = { share: 0, settledMilliseconds: LONG };
    expect(coldStarts.hasRoom(runner, 0)).toEqual(false);
    expect(coldStarts.hasRoomForOthers(runner, 0)).toEqual(false);
    expect(coldStarts.hasRoomForOthers(runner, 1_000)).toEqual(true);
    coldStarts.sent(runner, 1_000);
    expect(coldStarts.hasRoomForOthers(runner, 2_900)).toEqual(false);
    expect(coldStarts.hasRoomForOthers(runner, 3_000)).toEqual(true);
  });

  it('begins anew where the runner becomes cold again', () => {
    coldStarts.sent(runner, 1_000);
    runner.coldUntil = 20_000;
    ownership = { share: 0, settledMilliseconds: LONG };
    expect(coldStarts.hasRoomForOthers(runner, 12_000)).toEqual(false);
  });
});
