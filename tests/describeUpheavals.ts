/**
 * Plays a loss of daemons, or changes of versions, beside callers of streams, and counts which streams go on.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';

import { expect } from 'earl';

import { buildDaemon } from '../standIns/site/buildDaemon.js';
import type { CalledStream } from './StreamCallers.js';
import { StreamCallers, versionsIn } from './StreamCallers.js';
import { VersionedFleet } from './VersionedFleet.js';

/** Streams that may hold events of two versions. */
const ALLOWED_MIXED = 2;

/** Minimum number of streams that are taken up, and how often they go on, compared with how often new ones begin. */
const FEWEST_TAKEN_UP = 12;
const LEAST_SHARE = 0.5;

/** Streams begin for so long before the first fault, and after the last one; in ms. */
const BEFORE_MILLISECONDS = 4_500;
const AFTER_MILLISECONDS = 3_000;

/** Cases at the same time; each has a site of its own. */
const CONCURRENCY = 3;

const TIMEOUT_MILLISECONDS = 100_000;

const OK = 200;

/** What happens to a fleet while streams are in progress. */
export interface Upheaval {
  /** Tells one failure from the others. */
  readonly name: string;
  readonly sizes: readonly number[];
  readonly versions: readonly string[];
  /** How long the fleet serves before the streams begin, in ms. */
  readonly quietMilliseconds?: number;
  /** How long streams begin before the first fault, in ms. */
  readonly beforeMilliseconds?: number;
  /** Number of callers that begin together; the fault comes when most have their first events. None begin before them. */
  readonly callersInStep?: number;
  /** How long after an answer runners close the connection, in ms; they keep it by default. */
  readonly closesAfterMilliseconds?: number;
  /** Share of the daemons that are lost and at which no stream is taken up; all are lost by default. */
  readonly lostShare?: number;
  readonly pausesMilliseconds?: readonly number[];
  /** Calls `isCounted` when streams that are taken up have to go on. */
  readonly play: (fleet: VersionedFleet, isCounted: () => void) => Promise<void>;
}

/** What became of the streams. */
class StreamOutcome {
  private readonly streams: readonly CalledStream[];

  private readonly countedFrom: number;

  constructor(streams: readonly CalledStream[], countedFrom: number) {
    this.streams = streams;
    this.countedFrom = countedFrom;
  }

  /** @returns All counts. */
  get text(): string {
    const { streams, owed, fresh, takenUp } = this;
    const versions = [...new Set(owed.flatMap((stream) => versionsIn(stream).slice(0, 1)))].sort();
    const goesOn = versions.map((version) => {
      const those = this.owedOf(version);
      return `${those.filter((one) => this.goesOn(one)).length} of ${those.length} of ${version}`;
    });
    const whole = streams.filter(({ isComplete }) => isComplete).length;
    const begun = `${this.begun} of ${fresh.length} new streams began`;
    const mixed = `${this.mixed} of ${streams.length} hold events of two versions`;
    return `${mixed}, ${whole} whole, ${takenUp} taken up, went on: ${goesOn.join(', ')}; ${begun}`;
  }

  /** @returns Whether the promises were kept, and enough streams were taken up to say so. */
  get isKept(): boolean {
    if (this.mixed > ALLOWED_MIXED || this.owed.length < FEWEST_TAKEN_UP) return false;
    const least = (this.begun / this.fresh.length) * LEAST_SHARE;
    const versions = new Set(this.owed.map((stream) => versionsIn(stream)[0] ?? ''));
    return [...versions].every((version) => {
      const those = this.owedOf(version);
      const goesOn = those.filter((one) => this.goesOn(one)).length;
      return those.length < FEWEST_TAKEN_UP || goesOn / those.length >= least;
    });
  }

  private get mixed(): number {
    return this.streams.filter((stream) => versionsIn(stream).length > 1).length;
  }

  private get takenUp(): number {
    return this.streams.filter(({ takeUps }) => takeUps.length > 0).length;
  }

  private get fresh(): CalledStream[] {
    return this.streams.filter(({ sentAt }) => sentAt >= this.countedFrom);
  }

  private get begun(): number {
    return this.fresh.filter(({ body }) => body !== '').length;
  }

  /** Streams that have to go on: enough runners of their version served during a take-up. */
  private get owed(): CalledStream[] {
    return this.streams.filter((stream) => this.owedTakeUps(stream).length > 0);
  }

  private owedOf(version: string): CalledStream[] {
    return this.owed.filter((stream) => versionsIn(stream)[0] === version);
  }

  private goesOn(stream: CalledStream): boolean {
    return this.owedTakeUps(stream).some(({ status }) => status === OK);
  }

  private owedTakeUps({ takeUps }: CalledStream) {
    return takeUps.filter(({ sentAt, isOwed }) => isOwed && sentAt >= this.countedFrom);
  }
}

async function playUpheaval(
  upheaval: Upheaval,
  { daemons, program, folder }: { daemons: number; program: readonly string[]; folder: string },
): Promise<StreamOutcome> {
  const {
    versions,
    quietMilliseconds = 0,
    lostShare = 0,
    callersInStep,
    play,
    ...options
  } = upheaval;
  const { closesAfterMilliseconds, beforeMilliseconds = BEFORE_MILLISECONDS } = upheaval;
  const own = mkdtempSync(join(folder, 'fleet-'));
  const fleet = new VersionedFleet({
    ...{ daemons, versions, folder: own, program, closesAfterMilliseconds },
  });
  const lost = Math.ceil(daemons * lostShare);
  const callers = new StreamCallers({
    ...options,
    addressOf: ({ number, attempt, isTakeUp }) => {
      const first = isTakeUp ? lost : 0;
      return fleet.addressOf(first + ((number + attempt) % (daemons - first)));
    },
    serves: (version) => fleet.serves(version),
  });
  let countedFrom = Number.POSITIVE_INFINITY;
  const isCounted = () => {
    countedFrom = performance.now();
  };
  try {
    await fleet.start();
    await wait(quietMilliseconds);
    if (callersInStep !== undefined) await callers.beginTogether(callersInStep);
    callers.start();
    if (callersInStep === undefined) await wait(beforeMilliseconds);
    await play(fleet, isCounted);
    await wait(AFTER_MILLISECONDS);
    await callers.stop();
    return new StreamOutcome(callers.streams, countedFrom);
  } finally {
    await fleet.stop();
  }
}

/**
 * Defines a test for each of the upheavals, at each of its sizes.
 *
 * @param title - what the streams have in common.
 * @param upheavals - what happens to the fleets.
 */
export function describeUpheavals(title: string, upheavals: readonly Upheaval[]): void {
  describe(title, { concurrency: CONCURRENCY }, () => {
    let folder: string;
    let program: readonly string[];

    before(() => {
      folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));
      program = buildDaemon(folder);
    });

    after(() => rmSync(folder, { recursive: true }));

    const define = (upheaval: Upheaval, daemons: number) => {
      const name = `go on at their version when ${upheaval.name}, ${daemons} daemons`;
      it(name, { timeout: TIMEOUT_MILLISECONDS }, async (context) => {
        const outcome = await playUpheaval(upheaval, { daemons, program, folder });
        context.diagnostic(outcome.text);
        expect(outcome.isKept ? '' : outcome.text).toEqual('');
      });
    };

    for (const upheaval of upheavals) {
      for (const daemons of upheaval.sizes) define(upheaval, daemons);
    }
  });
}
