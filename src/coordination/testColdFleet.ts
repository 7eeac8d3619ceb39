/**
 * Simulates a fleet with cold runners in virtual time: daemons learn at different moments that runners are cold, some
 * know no coordinator, and lists of owners differ for a while.
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
import { coordinatorsInOrder, coordinatorsOf } from './daemonRoles.js';

/** How the rate of a cold runner is enforced. `owners`: by its owner daemons; `unlimited`: not at all. */
export type ColdPolicy = 'owners' | 'unlimited';

/** Options of {@link simulateColdStarts}. */
export interface ColdOptions {
  seed: number;
  daemons: number;
  runners: number;
  /** Requests per second of the whole fleet. */
  requestsPerSecond: number;
  /** Share of the runners that become cold at once. */
  coldShare: number;
  /** Share of the requests that use the same prompt. */
  hotShare: number;
  /** Share of the daemons that know no coordinator. */
  isolatedShare?: number;
  /** Whether some daemons have a different list of owners. */
  listsDiffer?: boolean;
  /** Interval between restarts of all daemons while runners are cold, in ms; 0: never. */
  restartMilliseconds?: number;
  policy?: ColdPolicy;
  /** Maximum number of owners of one runner. */
  maximumOwners?: number;
}

/** What runners and callers got. */
export interface ColdResult {
  /** The most requests that one cold runner got within a second after all daemons knew that it was cold. */
  readonly peak: number;
  /** Share of the requests since then that found no runner. */
  readonly refused: number;
  /** Share of the requests since then that went to cold runners. */
  readonly atCold: number;
}

/** Requests per second that a cold runner sustains. */
export const COLD_RATE = 9;

/** When runners become cold, in ms of virtual time. */
const COLD_AT = 4_000;

/** All daemons know of the cold runners within this time, in ms. */
const PROPAGATION_MILLISECONDS = 1_500;

/** How long the runners stay cold, in ms. */
const COLD_MILLISECONDS = 6_000;

/** Mean duration of a request, in ms. */
const REQUEST_MILLISECONDS = 400;

const PROMPTS = 300;

/** A restarted daemon lists only itself for this long, in ms. */
const LONE_START_MILLISECONDS = 300;

/** When the lists of owners agree at the latest, in ms of virtual time. */
const LISTS_DIFFER_MILLISECONDS = 4_500;

const SERVICE = 'chat';

interface Daemon {
  readonly name: string;
  readonly table: RunnerTable;
  readonly choice: RunnerChoice;
  readonly learnsAt: number;
  readonly isIsolated: boolean;
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

/** The fleet of one simulation. */
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

  /** Restarts all daemons; they know from the store which runners are cold. */
  restart(now: number): void {
    this.restartedAt = now;
    this.daemons = this.createDaemons().map((daemon) => ({ ...daemon, learnsAt: now }));
  }

  /** @returns Incarnation of the runner that a request goes to; `undefined` if no runner may get it. */
  send(prompt: string, now: number): string | undefined {
    const daemon = this.daemons[Math.floor(this.random() * this.daemons.length)] as Daemon;
    const [asked] = daemon.isIsolated ? [] : coordinatorsInOrder(this.coordinators, prompt);
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
    const learnsAt = COLD_AT + random() * PROPAGATION_MILLISECONDS;
    const isIsolated = random() < (options.isolatedShare ?? 0);
    return { name, table, choice, learnsAt, isIsolated };
  }

  private createColdStarts(name: string, index: number, entries: readonly DaemonEntry[]) {
    const { options, clock, random } = this;
    const { policy = 'owners', listsDiffer = false, daemons } = options;
    const eligible = this.coordinators.length > 0 ? this.coordinators : entries;
    const names = eligible.map((entry) => entry.name);
    // Every second daemon still lists a daemon that has just died as the first eligible owner.
    const others = ['daemon-gone', ...names.slice(1)];
    const isOutdated = () =>
      listsDiffer && index % 2 === 0 && clock.monotonicMilliseconds() < LISTS_DIFFER_MILLISECONDS;
    const owners = new ColdRunnerOwners({
      daemon: name,
      clock,
      deciders: () => (isOutdated() ? others : names),
      ...(options.maximumOwners && { maximumOwners: options.maximumOwners }),
    });
    return new ColdStarts({
      rateOf: () => (policy === 'unlimited' ? undefined : COLD_RATE),
      ownershipOf: (life) => owners.ownershipOf(life),
      daemons: () =>
        clock.monotonicMilliseconds() - this.restartedAt < LONE_START_MILLISECONDS ? 1 : daemons,
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
 * Simulates requests to a fleet whose runners become cold.
 *
 * @param options - the fleet, its load, and how the rate of cold runners is enforced.
 * @returns What cold runners and callers got.
 */
export function simulateColdStarts(options: ColdOptions): ColdResult {
  const fleet = new ColdFleet(options);
  const random = seededRandom(options.seed + 1);
  const cold = Math.ceil(options.runners * options.coldShare);
  const arrivals = new Map<string, number[]>();
  const ends = new Map<number, string[]>();
  const counts = { requests: 0, refused: 0, cold: 0 };
  let due = 0;
  for (let now = 0; now < COLD_AT + COLD_MILLISECONDS; now += 1) {
    fleet.clock.advance(1);
    const since = now - COLD_AT - PROPAGATION_MILLISECONDS;
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
      const isCounted = now >= COLD_AT + PROPAGATION_MILLISECONDS;
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
