import { describe, it } from 'node:test';

import { expect } from 'earl';

import { partSubject } from './requestSubjects.js';
import { TestCrashFleet } from './testCrashFleet.js';
import type { TestCrashFleetOptions, TestOutcome, TestRequest } from './testCrashFleet.js';

const SECONDS = 1_000;

/** Crashes after which no request with the part is to reach a runner, and the time in which all daemons know. */
const CRASHES = 5;
const KNOWN_MILLISECONDS = 3_000;

/** Arrivals at runners that are allowed after that, in all. */
const LATE_ARRIVALS = 3;

const SERVICE = 'chat';

const FIRST_PARTS = 4;
const SECOND_PARTS = 40;

/** Sound requests per second for each runner. */
const RATE = 4;

let created = 0;

/** @returns A request that is like no other. */
function requestWith(parts: readonly string[], isFatal = false): TestRequest {
  created += 1;
  const milliseconds = isFatal ? 150 : 200 + (created % 10) * 100;
  return { digest: created.toString(16).padStart(32, '0'), parts, milliseconds, isFatal };
}

/** A sound request's parts: the outermost ones are popular, the others are asked for every few seconds. */
function soundParts(number: number): string[] {
  return [`a${number % FIRST_PARTS}`, `b${(number * 7) % SECOND_PARTS}`];
}

class Load {
  sent = 0;

  refused = 0;

  readonly ends: TestOutcome[] = [];

  readonly fleet: TestCrashFleet;

  constructor(fleet: TestCrashFleet) {
    this.fleet = fleet;
  }

  /** Sends sound requests for a time; one that is interrupted is sent once more. */
  run(milliseconds: number, perSecond: number, partsOf = soundParts, from = 0): this {
    const pause = SECONDS / perSecond;
    for (let at = from + pause, number = 0; at < from + milliseconds; at += pause, number += 1) {
      const parts = partsOf(number);
      this.fleet.after(at, () => this.send(requestWith(parts)));
    }
    return this;
  }

  private send(request: TestRequest): void {
    this.sent += 1;
    this.fleet.send(request, undefined, (end) => {
      this.ends.push(end);
      if (end === 'refused') this.refused += 1;
      if (end === 'broken') this.fleet.send(request, undefined, () => undefined);
    });
  }
}

function fleetOf(options: Partial<TestCrashFleetOptions> = {}): TestCrashFleet {
  return new TestCrashFleet({ daemons: 9, runners: 12, seed: 1, ...options });
}

interface FatalOptions {
  readonly partsOf: (number: number) => readonly string[];
  readonly until: number;
  readonly from?: number;
  readonly pause?: number;
  readonly fatalVersion?: string;
}

function sendFatal(
  fleet: TestCrashFleet,
  { partsOf, until, from = 0, pause = 250, fatalVersion }: FatalOptions,
): void {
  for (let at = from + pause, number = 0; at < until; at += pause, number += 1) {
    const request = requestWith(partsOf(number), true);
    fleet.after(at, () => fleet.send({ ...request, ...(fatalVersion && { fatalVersion }) }));
  }
}

function lateArrivals(fleet: TestCrashFleet, part: string): number {
  const { digest } = partSubject(SERVICE, part);
  const decisive = fleet.crashesUnder(part)[CRASHES - 1] ?? Number.POSITIVE_INFINITY;
  return fleet.arrivalsOf(digest).filter((at) => at > decisive + KNOWN_MILLISECONDS).length;
}

function isQuarantinedEverywhere(fleet: TestCrashFleet, part: string): boolean {
  const { digest } = partSubject(SERVICE, part);
  return fleet.daemons.every(({ quarantine }) => quarantine.stateOf(digest) === 'quarantined');
}

function quarantinedCount({ daemons }: TestCrashFleet): number {
  return daemons.reduce(
    (sum, { quarantine }) => sum + quarantine.decisions.quarantinedPartCount,
    0,
  );
}

describe('quarantine of a part of prompts, in virtual time', () => {
  for (const daemons of [6, 20, 90, 195, 390]) {
    // Guards against a part whose crashes are filed under requests of which no two are alike.
    it(`sends no more requests with the part to runners after a few crashes: ${daemons} daemons`, () => {
      const fleet = fleetOf({ daemons, runners: Math.max(12, daemons), seed: daemons });
      const load = new Load(fleet).run(12 * SECONDS, RATE * Math.min(100, daemons));
      sendFatal(fleet, { partsOf: () => ['a0', 'bad', 'c'], from: 2_000, until: 12_000 });
      fleet.play(14 * SECONDS);
      expect(lateArrivals(fleet, 'bad')).toEqual(0);
      expect(fleet.fatalCrashes.length <= CRASHES).toEqual(true);
      expect(isQuarantinedEverywhere(fleet, 'bad')).toEqual(true);
      expect(load.refused).toEqual(0);
    });
  }

  it('finds the part wherever it is, and two of them', () => {
    const places = [
      (number: number) => ['bad', `b${number % SECOND_PARTS}`],
      (number: number) => [`a${number % FIRST_PARTS}`, 'bad'],
      (number: number) => [`a${number % FIRST_PARTS}`, 'b1', `d${number}`, 'bad'],
      (number: number) => ['a0', number % 2 ? 'bad' : 'worse'],
    ];
    for (const [seed, partsOf] of places.entries()) {
      const fleet = fleetOf({ seed });
      const load = new Load(fleet).run(12 * SECONDS, 60);
      sendFatal(fleet, { partsOf, from: 2_000, until: 12_000 });
      fleet.play(14 * SECONDS);
      expect([lateArrivals(fleet, 'bad'), lateArrivals(fleet, 'worse')]).toEqual([0, 0]);
      expect(load.refused / load.sent < 0.01).toEqual(true);
    }
  });

  // Guards against sound requests that are refused because a part of theirs was beside each crash.
  it('serves requests with a part that was always beside the one that crashes runners', () => {
    const fleet = fleetOf();
    new Load(fleet).run(20 * SECONDS, 60);
    sendFatal(fleet, { partsOf: () => ['a0', 'beside', 'bad'], from: 2_000, until: 20_000 });
    const later = new Load(fleet).run(8 * SECONDS, 4, () => ['a0', 'beside', 'e'], 10 * SECONDS);
    fleet.play(22 * SECONDS);
    expect(lateArrivals(fleet, 'bad') <= LATE_ARRIVALS).toEqual(true);
    expect(later.refused <= 2).toEqual(true);
    expect(later.ends.at(-1)).toEqual('answered');
  });

  it('sends no more of them though every third message gets lost', () => {
    const fleet = fleetOf({ loss: 0.3 });
    new Load(fleet).run(12 * SECONDS, 60);
    sendFatal(fleet, { partsOf: () => ['a0', 'bad'], from: 2_000, until: 12_000 });
    fleet.play(14 * SECONDS);
    expect(lateArrivals(fleet, 'bad') <= LATE_ARRIVALS).toEqual(true);
  });

  // Guards against a popular part that begins to crash runners and is trusted for answers of before.
  it('finds a popular part that was sound until then', () => {
    const fleet = fleetOf();
    new Load(fleet).run(4 * SECONDS, 60, () => ['a0', 'bad']);
    new Load(fleet).run(16 * SECONDS, 60);
    sendFatal(fleet, { partsOf: () => ['a0', 'bad'], from: 4_000, until: 16_000 });
    fleet.play(18 * SECONDS);
    expect(lateArrivals(fleet, 'bad')).toEqual(0);
    expect(isQuarantinedEverywhere(fleet, 'bad')).toEqual(true);
  });

  // Guards against sound parts that are blamed for crashes of another cause, with and without a part that crashes runners.
  it('refuses no sound requests while runners also crash for other reasons', () => {
    const totals = { sent: 0, refused: 0 };
    for (let seed = 1; seed <= 40; seed += 1) {
      const fleet = fleetOf({ seed });
      const load = new Load(fleet).run(10 * SECONDS, 60);
      if (seed % 2) sendFatal(fleet, { partsOf: () => ['a0', 'bad'], until: 12_000 });
      for (const at of [2, 2.5, 4, 6]) fleet.after(at * SECONDS, () => fleet.crashRunners(1 / 3));
      fleet.play(13 * SECONDS);
      expect(lateArrivals(fleet, 'bad') <= LATE_ARRIVALS).toEqual(true);
      totals.sent += load.sent;
      totals.refused += load.refused;
    }
    expect(totals.refused / totals.sent < 0.001).toEqual(true);
  });

  it('finds a rare part while runners end by themselves twice as often', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const fleet = fleetOf({ seed });
      const load = new Load(fleet).run(20 * SECONDS, 60);
      const partsOf = (number: number) => [`a${number % FIRST_PARTS}`, 'bad'];
      sendFatal(fleet, { partsOf, until: 20_000, pause: 1_000 });
      for (let at = 1; at < 20; at += 0.5) fleet.after(at * SECONDS, () => fleet.crashOne());
      fleet.play(21 * SECONDS);
      expect(lateArrivals(fleet, 'bad') <= LATE_ARRIVALS).toEqual(true);
      expect(load.refused / load.sent < 0.01).toEqual(true);
    }
  });

  it('blames no part when all runners end together again and again', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const fleet = fleetOf({ seed });
      new Load(fleet).run(20 * SECONDS, 60);
      for (let at = 2; at < 18; at += 3.5) fleet.after(at * SECONDS, () => fleet.crashRunners(1));
      const blamed: number[] = [];
      const look = () => blamed.push(quarantinedCount(fleet));
      for (let at = 0; at < 20; at += 0.1) fleet.after(at * SECONDS, look);
      fleet.play(21 * SECONDS);
      expect(Math.max(...blamed)).toEqual(0);
    }
  });

  describe('that crashes runners of one software version only', () => {
    // Guards against requests that are refused although runners of another version answer them.
    it('goes to runners of the other version, and is no longer refused there', () => {
      const fleet = fleetOf({ versions: ['v1', 'v2'] });
      new Load(fleet).run(20 * SECONDS, 60);
      const partsOf = () => ['a0', 'bad'];
      sendFatal(fleet, { partsOf, from: 1_000, until: 20_000, fatalVersion: 'v1' });
      fleet.play(22 * SECONDS);
      const { digest } = partSubject(SERVICE, 'bad');
      const served = fleet.arrivalsOf(digest).filter((at) => at > 15_000).length;
      const crashes = fleet.fatalCrashes.filter(({ at }) => at > 10_000);
      expect(crashes).toEqual([]);
      expect(served >= 18).toEqual(true);
    });
  });

  describe('whose cause is gone', () => {
    const DAY_SECONDS = 86_400;

    function trialsIn(seconds: number, isMended: boolean): { fleet: TestCrashFleet; late: Load } {
      const fleet = fleetOf({ daemons: 3 });
      const partsOf = () => ['a0', 'bad'];
      sendFatal(fleet, { partsOf, until: 4_000 });
      const late = new Load(fleet);
      if (isMended) late.run(seconds * SECONDS, 1, partsOf, 5_000);
      else sendFatal(fleet, { partsOf, from: 5_000, until: seconds * SECONDS, pause: 20_000 });
      fleet.play((seconds + 5) * SECONDS);
      return { fleet, late };
    }

    it('is served again after a single trial', () => {
      const { fleet, late } = trialsIn(120, true);
      expect(quarantinedCount(fleet)).toEqual(0);
      expect(late.ends.at(-1)).toEqual('answered');
    });

    it('crashes three more runners at most on a whole day if it is not', () => {
      const { fleet } = trialsIn(DAY_SECONDS / 12, false);
      const trials = fleet.fatalCrashes.filter(({ at }) => at > 8_000);
      expect(trials.length >= 1 && trials.length <= LATE_ARRIVALS).toEqual(true);
    });
  });
});

describe('quarantine of a part of long prompts, in virtual time', () => {
  // Guards against a part that is never found behind the first ones of a long prompt, or of the parts of a crash.
  it('finds the part at any place of prompts of any length', () => {
    const prompts = [
      { daemons: 3, count: 40, place: 36 },
      { daemons: 6, count: 33, place: 32 },
      { daemons: 6, count: 400, place: 0 },
      { daemons: 20, count: 100, place: 70 },
      { daemons: 20, count: 1_200, place: 1_199 },
    ];
    for (const { daemons, count, place } of prompts) {
      const fleet = fleetOf({ daemons, seed: count });
      const promptWith = (part: string) =>
        Array.from({ length: count }, (_, index) => (index === place ? part : `a${index}`));
      const [sound, fatal] = [promptWith('good'), promptWith('bad')];
      const load = new Load(fleet).run(12 * SECONDS, 10, () => sound);
      sendFatal(fleet, { partsOf: () => fatal, until: 14_000, pause: 700 });
      fleet.play(16 * SECONDS);
      expect(lateArrivals(fleet, 'bad') <= LATE_ARRIVALS).toEqual(true);
      expect(isQuarantinedEverywhere(fleet, 'bad')).toEqual(true);
      expect(load.refused / load.sent < 0.1).toEqual(true);
    }
  });

  // Guards against the same where prompts have nothing else in common, so that no answer tells which parts are sound.
  it('finds the only part that long prompts have in common', () => {
    for (const [count, place] of [
      [60, 59],
      [900, 450],
    ] as const) {
      const fleet = fleetOf({ daemons: 6, seed: count });
      const partsOf = (number: number) =>
        Array.from({ length: count }, (_, index) =>
          index === place ? 'bad' : `${number}-${index}`,
        );
      const load = new Load(fleet).run(8 * SECONDS, 10);
      sendFatal(fleet, { partsOf, until: 12_000, pause: 700 });
      fleet.play(14 * SECONDS);
      expect(lateArrivals(fleet, 'bad') <= LATE_ARRIVALS).toEqual(true);
      expect(load.refused).toEqual(0);
    }
  });
});
