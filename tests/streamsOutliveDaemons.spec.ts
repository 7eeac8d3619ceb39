/**
 * Streams go on at the software version that began them, also after all daemons have ended at the same moment.
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

/** Streams end, and connections are closed, for some seconds before the first fault, in ms. */
const LONG_MILLISECONDS = 9_000;

/** Cases at the same time; each has a site of its own. */
const CONCURRENCY = 3;

const TIMEOUT_MILLISECONDS = 100_000;

const OK = 200;

const OLD = ['v1', 'v1', 'v1', 'v1'];
const BOTH = ['v1', 'v1', 'v2', 'v2', 'v2', 'v2'];

/** What happens to a fleet while streams are in progress. */
interface Upheaval {
  /** Tells one failure from the others. */
  readonly name: string;
  readonly sizes: readonly number[];
  readonly versions: readonly string[];
  /** How long the fleet serves before the streams begin, in ms. */
  readonly quietMilliseconds?: number;
  /** How long streams begin before the first fault, in ms. */
  readonly beforeMilliseconds?: number;
  /** How long after an answer runners close the connection, in ms; they keep it by default. */
  readonly closesAfterMilliseconds?: number;
  /** Share of the daemons that are lost and at which no stream is taken up; all are lost by default. */
  readonly lostShare?: number;
  readonly pausesMilliseconds?: readonly number[];
  /** Calls `isCounted` when streams that are taken up have to go on. */
  readonly play: (fleet: VersionedFleet, isCounted: () => void) => Promise<void>;
}

/** Runners close connections so soon after their answers, in ms. */
const CLOSES_MILLISECONDS = 50;

async function losePowerOfHalf(fleet: VersionedFleet, isCounted: () => void): Promise<void> {
  isCounted();
  const lost = fleet.processes.slice(0, fleet.processes.length / 2);
  const released = wait(1_000).then(() => fleet.addRunner('v2'));
  await Promise.all([fleet.losePower(2_000, lost), released]);
}

function killAll(fleet: VersionedFleet, isCounted: () => void): Promise<void> {
  isCounted();
  return fleet.kill();
}

const UPHEAVALS: readonly Upheaval[] = [
  // Guards against daemons that refuse the streams of others because they alone have seen the only version there was.
  {
    name: 'half lose power before the first runner of another version starts',
    ...{ sizes: [6, 20], versions: OLD, quietMilliseconds: 30_000, lostShare: 0.5 },
    play: losePowerOfHalf,
  },
  // Guards against daemons that record no stream, since each closed connection puts the version of its runner in doubt.
  {
    name: 'half lose power before a release, and runners close connections after their answers',
    ...{ sizes: [6], versions: OLD, beforeMilliseconds: LONG_MILLISECONDS, lostShare: 0.5 },
    ...{ closesAfterMilliseconds: CLOSES_MILLISECONDS },
    play: losePowerOfHalf,
  },
  // Guards against the same while two versions serve.
  {
    name: 'all are killed while two versions serve, and runners close connections after their answers',
    ...{ sizes: [6], versions: BOTH, beforeMilliseconds: LONG_MILLISECONDS },
    ...{ closesAfterMilliseconds: CLOSES_MILLISECONDS },
    play: killAll,
  },
  // Guards against daemons that take the only version that they see after their start for that of any stream.
  {
    name: 'all are killed during a release',
    ...{ sizes: [6, 20], versions: BOTH },
    play: async (fleet, isCounted) => {
      fleet.unlist('v1', 2);
      await wait(1_000);
      isCounted();
      await fleet.kill();
    },
  },
  // Guards against versions that are known again after one start, and forgotten by a second one soon after.
  {
    name: 'all are killed twice during a release',
    ...{ sizes: [6], versions: BOTH },
    play: async (fleet, isCounted) => {
      fleet.unlist('v1', 2);
      await wait(1_000);
      isCounted();
      await fleet.kill();
      await wait(1_200);
      await fleet.kill();
    },
  },
  // Guards against daemons that know no stream after their start, and so refuse all while two versions serve.
  {
    name: 'all are killed while two versions serve',
    ...{ sizes: [6, 20], versions: BOTH },
    play: killAll,
  },
  // Guards against records that are written in a planned stop only, or only after some time without a fault.
  {
    name: 'all lose power while two versions serve',
    ...{ sizes: [6], versions: BOTH },
    play: async (fleet, isCounted) => {
      isCounted();
      await fleet.losePower(1_000);
    },
  },
  // Guards against daemons that forget by their start that there was only one version before another one came.
  {
    name: 'all are killed before the first runner of another version starts',
    ...{ sizes: [6], versions: OLD, pausesMilliseconds: [2_000, 2_400, 600, 2_000, 2_400] },
    play: async (fleet, isCounted) => {
      const killed = fleet.kill();
      await wait(1_500);
      await Promise.all([fleet.addRunner('v2'), killed]);
      isCounted();
    },
  },
  // Guards against records and histories that are right for one release only, or for one loss.
  {
    name: 'all are killed again and again during two releases in series',
    ...{ sizes: [6], versions: [...OLD, 'v1', 'v1'] },
    play: async (fleet, isCounted) => {
      const replace = async (from: string, to: string) => {
        for (let left = 6; left > 0; left -= 1) {
          await fleet.addRunner(to);
          fleet.unlist(from, 1);
          await wait(1_000);
        }
      };
      const releases = replace('v1', 'v2').then(() => replace('v2', 'v3'));
      await wait(2_500);
      isCounted();
      await fleet.kill();
      await wait(3_700);
      await fleet.kill();
      await wait(3_700);
      await Promise.all([fleet.kill(), releases]);
    },
  },
  // Guards against daemons that conclude from a store that does not answer that there is no record.
  {
    name: 'all are killed and the store is silent for three seconds',
    ...{ sizes: [6], versions: BOTH },
    play: async (fleet, isCounted) => {
      fleet.site.store.faultFor({ fault: 'silent' });
      await Promise.all([fleet.kill(), wait(3_000)]);
      fleet.site.store.faultFor({ fault: 'none' });
      isCounted();
    },
  },
];

/** What became of the streams. */
class Outcome {
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

describe('streams that outlive the daemons', { concurrency: CONCURRENCY }, () => {
  let folder: string;
  let program: string[];

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));
    program = buildDaemon(folder);
  });

  after(() => rmSync(folder, { recursive: true }));

  async function outcomeOf(upheaval: Upheaval, daemons: number): Promise<Outcome> {
    const { versions, quietMilliseconds = 0, lostShare = 0, play, ...options } = upheaval;
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
      callers.start();
      await wait(beforeMilliseconds);
      await play(fleet, isCounted);
      await wait(AFTER_MILLISECONDS);
      await callers.stop();
      return new Outcome(callers.streams, countedFrom);
    } finally {
      await fleet.stop();
    }
  }

  for (const upheaval of UPHEAVALS) {
    for (const daemons of upheaval.sizes) {
      const name = `go on at their version when ${upheaval.name}, ${daemons} daemons`;
      it(name, { timeout: TIMEOUT_MILLISECONDS }, async (context) => {
        const outcome = await outcomeOf(upheaval, daemons);
        context.diagnostic(outcome.text);
        expect(outcome.isKept ? '' : outcome.text).toEqual('');
      });
    }
  }
});
