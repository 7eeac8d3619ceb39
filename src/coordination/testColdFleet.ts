/**
 * Plays a fleet before cold runners in virtual time: daemons learn at different moments that runners are cold, some hear
 * of no coordinator, and lists of who decides differ for a while.
 */
import { seededRandom } from '../random/seededRandom.js';
import { ColdStarts } from '../runners/ColdStarts.js';
import { RunnerAdmission } from '../runners/RunnerAdmission.js';
import { RunnerChoice } from '../runners/RunnerChoice.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { WarmPlaces } from '../runners/WarmPlaces.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { ManualClock } from '../time/ManualClock.js';
import { ColdRunnerOwners } from './ColdRunnerOwners.js';
import { askedInOrder, coordinatorsOf } from './coordinatorsOf.js';

/** How the rate of a cold runner is kept. `unlimited`: nobody counts. */
export type ColdPolicy = 'owners' | 'unlimited';

/** Options of {@link playColdStarts}. */
export interface ColdOptions {
  seed: number;
  daemons: number;
  runners: number;
  /** Of the whole fleet. */
  requestsPerSecond: number;
  /** Part of the runners that become cold at once. */
  coldShare: number;
  /** Part of the requests that are for one prompt. */
  hotShare: number;
  /** Part of the daemons that hear of no coordinator. */
  aloneShare?: number;
  /** Whether some daemons have another list of who decides. */
  listsDiffer?: boolean;
  /** How often all daemons end and start again while runners are cold, in ms; 0: never. */
  restartMilliseconds?: number;
  policy?: ColdPolicy;
  /** How many decide about a runner, at most. */
  owners?: number;
}

/** What came of it. */
export interface ColdResult {
  /** The most requests that a cold runner got within a second after all daemons knew that it was cold. */
  readonly peak: number;
  /** Requests that found no runner, as a share of those since. */
  readonly refused: number;
  /** Requests that went to cold runners, as a share of those since. */
  readonly atCold: number;
}

/** Requests a second that a cold runner bears. */
export const COLD_RATE = 9;

const COLD_AT = 4_000;

/** Daemons learn of it within this, in ms. */
const LEARNT_MILLISECONDS = 1_500;

const COLD_MILLISECONDS = 6_000;

const REQUEST_MILLISECONDS = 400;

const PROMPTS = 300;

/** A daemon that has started lists only itself for this long, in ms. */
const ALONE_MILLISECONDS = 300;

const LISTS_DIFFER_MILLISECONDS = 4_500;

const SERVICE = 'chat';

interface Daemon {
  readonly name: string;
  readonly table: RunnerTable;
  readonly choice: RunnerChoice;
  readonly learnsAt: number;
  readonly isAlone: boolean;
}

function entryOf(index: number): DaemonEntry {
  const address = '10.0.0.1:7000';
  const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
  return { name: `daemon-${index}`, dataCentre: 'here', ...addresses };
}

function runnerOf(index: number) {
  const id = `runner-${index}`;
  const place = { host: '10.1.0.1', port: 1 + index, dataCentre: 'here' };
  return { id, life: id, service: SERVICE, state: 'ready', ...place } as const;
}

/** Owns the fleet of one play. */
class ColdFleet {
  daemons: readonly Daemon[];

  readonly clock = new ManualClock();

  readonly loads = new Map<string, number>();

  private readonly random: () => number;

  private readonly entries: readonly DaemonEntry[];

  private readonly coordinators: readonly DaemonEntry[];

  private restartedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ColdOptions) {
    this.random = seededRandom(options.seed);
    this.entries = Array.from({ length: options.daemons }, (_, index) => entryOf(index));
    this.coordinators = coordinatorsOf(this.entries);
    this.daemons = this.createDaemons();
  }

  /** All daemons end, and start with what the store says. */
  restart(now: number): void {
    this.restartedAt = now;
    this.daemons = this.createDaemons().map((daemon) => ({ ...daemon, learnsAt: now }));
  }

  /** @returns The life of the runner that a request goes to, if there is one. */
  send(prompt: string, now: number): string | undefined {
    const daemon = this.daemons[Math.floor(this.random() * this.daemons.length)] as Daemon;
    const [asked] = daemon.isAlone ? [] : askedInOrder(this.coordinators, prompt);
    const chooser = this.daemons.find(({ name }) => name === asked?.name) ?? daemon;
    const tried = new Set<string>();
    const question = { service: SERVICE, sharedParts: [prompt], tried, connectionLimit: 1e6, now };
    return chooser.choice.choose(question)?.runner.entry.life;
  }

  private createDaemons(): Daemon[] {
    const { entries } = this;
    return entries.map((entry, index) => this.createDaemon(entry.name, index, entries));
  }

  private createDaemon(name: string, index: number, entries: readonly DaemonEntry[]): Daemon {
    const { options, random } = this;
    const table = new RunnerTable();
    for (let runner = 0; runner < options.runners; runner += 1) table.put(runnerOf(runner));
    const choice = new RunnerChoice({
      runners: table,
      dataCentre: 'here',
      warmPlaces: new WarmPlaces(),
      admission: new RunnerAdmission({ coldStarts: this.createColdStarts(name, index, entries) }),
      foreignLoad: (life) => this.loads.get(life) ?? 0,
      random,
    });
    const learnsAt = COLD_AT + random() * LEARNT_MILLISECONDS;
    const isAlone = random() < (options.aloneShare ?? 0);
    return { name, table, choice, learnsAt, isAlone };
  }

  private createColdStarts(name: string, index: number, entries: readonly DaemonEntry[]) {
    const { options, clock, random } = this;
    const { policy = 'owners', listsDiffer = false, daemons } = options;
    const deciding = this.coordinators.length > 0 ? this.coordinators : entries;
    const names = deciding.map((entry) => entry.name);
    // Every second daemon still lists one that has just died as the first of those that decide.
    const others = ['daemon-gone', ...names.slice(1)];
    const isBehind = () =>
      listsDiffer && index % 2 === 0 && clock.monotonicMilliseconds() < LISTS_DIFFER_MILLISECONDS;
    const owners = new ColdRunnerOwners({
      daemon: name,
      clock,
      deciders: () => (isBehind() ? others : names),
      ...(options.owners && { owners: options.owners }),
    });
    return new ColdStarts({
      rateOf: () => (policy === 'unlimited' ? undefined : COLD_RATE),
      ownershipOf: (life) => owners.ownershipOf(life),
      daemons: () =>
        clock.monotonicMilliseconds() - this.restartedAt < ALONE_MILLISECONDS ? 1 : daemons,
      random,
    });
  }
}

function peakOf(arrivals: readonly number[]): number {
  let first = 0;
  let peak = 0;
  for (const [index, at] of arrivals.entries()) {
    while (at - (arrivals[first] as number) >= 1_000) first += 1;
    peak = Math.max(peak, index - first + 1);
  }
  return peak;
}

/**
 * @param options - the fleet, its load, and how it shares the rate of cold runners.
 * @returns What cold runners and callers got.
 */
export function playColdStarts(options: ColdOptions): ColdResult {
  const fleet = new ColdFleet(options);
  const random = seededRandom(options.seed + 1);
  const cold = Math.ceil(options.runners * options.coldShare);
  const arrivals = new Map<string, number[]>();
  const ends = new Map<number, string[]>();
  const counts = { requests: 0, refused: 0, cold: 0 };
  let due = 0;
  for (let now = 0; now < COLD_AT + COLD_MILLISECONDS; now += 1) {
    fleet.clock.advance(1);
    const since = now - COLD_AT - LEARNT_MILLISECONDS;
    if (since > 0 && since % (options.restartMilliseconds || Number.POSITIVE_INFINITY) === 0) {
      fleet.restart(now);
    }
    for (const life of ends.get(now) ?? []) fleet.loads.set(life, (fleet.loads.get(life) ?? 1) - 1);
    for (const { table, learnsAt } of fleet.daemons) {
      if (Math.ceil(learnsAt) !== now) continue;
      const coldMilliseconds = COLD_AT + COLD_MILLISECONDS - now;
      for (let index = 0; index < cold; index += 1) {
        table.put({ ...runnerOf(index), coldMilliseconds }, now);
      }
    }
    due += options.requestsPerSecond / 1_000;
    for (; due >= 1; due -= 1) {
      const isHot = random() < options.hotShare;
      const prompt = `prompt-${isHot ? 0 : 1 + Math.floor(random() * PROMPTS)}`;
      const life = fleet.send(prompt, now);
      const isCounted = now >= COLD_AT + LEARNT_MILLISECONDS;
      if (isCounted) counts.requests += 1;
      if (life === undefined) {
        if (isCounted) counts.refused += 1;
        continue;
      }
      const end = now + Math.ceil(REQUEST_MILLISECONDS * (0.5 + random()));
      ends.set(end, [...(ends.get(end) ?? []), life]);
      fleet.loads.set(life, (fleet.loads.get(life) ?? 0) + 1);
      const isCold = Number(life.split('-')[1]) < cold;
      if (!isCounted || !isCold) continue;
      counts.cold += 1;
      arrivals.set(life, [...(arrivals.get(life) ?? []), now]);
    }
  }
  const { requests, refused, cold: atCold } = counts;
  const peak = Math.max(0, ...[...arrivals.values()].map(peakOf));
  return { peak, refused: refused / requests, atCold: atCold / requests };
}
