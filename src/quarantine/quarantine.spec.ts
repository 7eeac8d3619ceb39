import { describe, it } from 'node:test';

import { expect } from 'earl';

import { TestCrashFleet } from './testCrashFleet.js';
import type { TestCrashDaemon, TestCrashFleetOptions, TestRequest } from './testCrashFleet.js';

/** Time within which all daemons have to know of the third crash, in ms. */
const KNOWN_MILLISECONDS = 3_000;

/**
 * Total number of arrivals at runners that are allowed after that time, where many messages get lost.
 */
const LATE_ARRIVALS = 3;

const SECONDS = 1_000;

const FATAL: TestRequest = { digest: 'f'.repeat(32), milliseconds: 150, isFatal: true };

function digestOf(number: number): string {
  return number.toString(16).padStart(32, '0');
}

/** Harmless requests per second for each runner. */
const RATE = 4;

class Traffic {
  refused = 0;

  sent = 0;

  readonly fleet: TestCrashFleet;

  private readonly popular: number;

  constructor(fleet: TestCrashFleet, popularShare = 0) {
    this.fleet = fleet;
    this.popular = popularShare;
  }

  /** Sends harmless requests for a time; one that is interrupted is sent once more. */
  run(milliseconds: number, perSecond: number): void {
    const pause = SECONDS / perSecond;
    for (let at = pause; at < milliseconds; at += pause) {
      this.fleet.after(at, () => this.sendHarmless());
    }
  }

  private sendHarmless(): void {
    this.sent += 1;
    const { random } = this.fleet;
    const isPopular = random() < this.popular;
    const digest = isPopular ? 'a'.repeat(32) : digestOf(this.sent);
    const request = { digest, milliseconds: 200 + 1_000 * random(), isFatal: false };
    this.fleet.send(request, undefined, (end) => {
      if (end === 'refused') this.refused += 1;
      if (end !== 'broken') return;
      this.fleet.send(request, undefined, (second) => {
        if (second === 'refused') this.refused += 1;
      });
    });
  }
}

function repeatFatal(fleet: TestCrashFleet, milliseconds: number, pause = 100): void {
  for (let at = pause; at < milliseconds; at += pause) fleet.after(at, () => fleet.send(FATAL));
}

function lateArrivals(fleet: TestCrashFleet): number {
  const [, , third = Number.POSITIVE_INFINITY] = fleet.crashes;
  const arrivals = fleet.arrivalsOf(FATAL.digest);
  return arrivals.filter((at) => at > third + KNOWN_MILLISECONDS).length;
}

function fleetOf(options: Partial<TestCrashFleetOptions> = {}): TestCrashFleet {
  return new TestCrashFleet({ daemons: 9, runners: 12, seed: 1, ...options });
}

/** @returns Sum of the numbers of quarantined requests at all daemons, sampled every 50 ms. */
function watchQuarantined(fleet: TestCrashFleet, milliseconds: number): () => number {
  let quarantined = 0;
  const look = () => {
    for (const { quarantine } of fleet.daemons)
      quarantined += quarantine.decisions.quarantinedCount;
  };
  for (let at = 50; at < milliseconds; at += 50) fleet.after(at, look);
  return () => quarantined;
}

function hasQuarantined({ quarantine }: TestCrashDaemon): boolean {
  return quarantine.stateOf(FATAL.digest) === 'quarantined';
}

describe('quarantine of a request that crashes runners, in virtual time', () => {
  for (const daemons of [3, 6, 20, 66, 195, 390]) {
    it(`sends the request to no more runners soon after the third crash: ${daemons} daemons`, () => {
      const fleet = fleetOf({ daemons, runners: Math.max(10, daemons), seed: daemons });
      const traffic = new Traffic(fleet);
      traffic.run(12 * SECONDS, RATE * Math.min(100, daemons));
      repeatFatal(fleet, 12 * SECONDS);
      fleet.play(13 * SECONDS);
      expect(lateArrivals(fleet)).toEqual(0);
      expect(fleet.daemons.every(hasQuarantined)).toEqual(true);
      expect(traffic.refused).toEqual(0);
    });
  }

  it('sends the request to no more runners though every third message gets lost', () => {
    const fleet = fleetOf({ loss: 0.3 });
    repeatFatal(fleet, 12 * SECONDS);
    fleet.play(13 * SECONDS);
    expect(lateArrivals(fleet) <= LATE_ARRIVALS).toEqual(true);
    expect(fleet.daemons.every(hasQuarantined)).toEqual(true);
  });

  for (const daemons of [9, 66]) {
    it(`reaches a daemon that has just started, or was partitioned: ${daemons} daemons`, () => {
      const fleet = fleetOf({ daemons });
      const [cut, started] = fleet.daemons as [TestCrashDaemon, TestCrashDaemon];
      cut.isPartitioned = true;
      repeatFatal(fleet, 4 * SECONDS);
      fleet.play(5 * SECONDS);
      fleet.boot(started);
      cut.isPartitioned = false;
      fleet.play(KNOWN_MILLISECONDS);
      expect([cut, started].map(hasQuarantined)).toEqual([true, true]);
    });
  }

  it('ends at all daemons once an operator has released the request at one', () => {
    const fleet = fleetOf();
    repeatFatal(fleet, 4 * SECONDS);
    fleet.play(5 * SECONDS);
    expect(fleet.daemons[3]?.quarantine.release(FATAL.digest)).toEqual(true);
    fleet.play(KNOWN_MILLISECONDS);
    expect(fleet.daemons.some(hasQuarantined)).toEqual(false);
  });

  it('refuses no harmless requests while runners also crash for other reasons', () => {
    const totals = { sent: 0, refused: 0 };
    for (let seed = 1; seed <= 40; seed += 1) {
      const fleet = fleetOf({ seed });
      const traffic = new Traffic(fleet);
      traffic.run(10 * SECONDS, 60);
      repeatFatal(fleet, 10 * SECONDS, 400);
      for (const at of [2, 4, 6]) fleet.after(at * SECONDS, () => fleet.crashRunners(1 / 3));
      fleet.play(12 * SECONDS);
      totals.sent += traffic.sent;
      totals.refused += traffic.refused;
    }
    expect(totals.refused).toEqual(0);
  });

  it('never quarantines a popular request that runners answer', () => {
    for (let seed = 1; seed <= 40; seed += 1) {
      const fleet = fleetOf({ seed });
      new Traffic(fleet, 0.3).run(10 * SECONDS, 60);
      for (const at of [2, 3, 4, 5]) fleet.after(at * SECONDS, () => fleet.crashRunners(1 / 3));
      const quarantined = watchQuarantined(fleet, 11 * SECONDS);
      fleet.play(11 * SECONDS);
      expect(quarantined()).toEqual(0);
    }
  });
});
