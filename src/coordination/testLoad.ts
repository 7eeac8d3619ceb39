/**
 * Simulates the load of a fleet in virtual time: daemons choose runners for prompts, some of them popular, either by
 * the loads that daemons report to each other or by asking coordinators.
 */
import { create } from '@bufbuild/protobuf';

import { DaemonNewsSchema } from '../generated/baobabdock/v1/news_pb.js';
import { PeerLoads } from '../news/PeerLoads.js';
import { seededRandom } from '../random/seededRandom.js';
import { RunnerChoice } from '../runners/RunnerChoice.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { WarmPlaces } from '../runners/WarmPlaces.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { coordinatorsInOrder, coordinatorsOf } from './daemonRoles.js';
import { GrantLedger } from './GrantLedger.js';

/** Options of {@link simulateLoad}. */
export interface LoadOptions {
  seed: number;
  daemons: number;
  runners: number;
  /** Requests per second of the whole fleet. */
  requestsPerSecond: number;
  /** Whether coordinators choose; otherwise each daemon chooses by the loads that all daemons report to each other. */
  isCoordinated: boolean;
  /** Interval between two load reports of a daemon, in ms. */
  newsMilliseconds: number;
  /** Share of the runners whose data centre is evacuated. */
  evacuatedShare?: number;
  /** From this virtual time on no coordinator answers, in ms. */
  coordinatorsUnresponsiveAt?: number;
}

/** What runners and callers got. */
export interface LoadResult {
  /** Share of the requests that went to a runner with over twice the mean load plus three requests. */
  readonly overLimit: number;
  /** The largest ratio, at any moment, of the load of the busiest runner to the mean load. */
  readonly worstRatio: number;
  /** Share of the requests that went to a runner that had not had their prompt before. */
  readonly cold: number;
}

const SECONDS = 12;
const WARM_UP_MILLISECONDS = 4_000;
const REQUEST_MILLISECONDS = 600;
const PROMPTS = 400;
const POPULAR_SHARE = 0.15;
const LIMIT_FACTOR = 2;
const LIMIT_SLACK = 3;

interface Daemon {
  readonly entry: DaemonEntry;
  readonly table: RunnerTable;
  readonly choice: RunnerChoice;
  readonly loads: PeerLoads;
  readonly grants: GrantLedger;
  /** The latest grant of each coordinator, by coordinator name. */
  readonly counted: Map<string, number>;
}

const EVACUATED = 'evacuated';

function daemonOf(index: number, { runners, seed, evacuatedShare = 0 }: LoadOptions): Daemon {
  const address = `10.0.${Math.floor(index / 250)}.${1 + (index % 250)}:7000`;
  const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
  const entry = { name: `daemon-${index}`, dataCentre: 'here', ...addresses };
  const table = new RunnerTable();
  for (let runner = 0; runner < runners; runner += 1) {
    const id = `runner-${runner}`;
    const dataCentre = runner < runners * evacuatedShare ? EVACUATED : 'here';
    const place = { host: '10.1.0.1', port: 1 + runner, dataCentre };
    table.put({ id, life: id, service: 'chat', state: 'ready', ...place });
  }
  table.setEvacuated(new Set([EVACUATED]));
  const loads = new PeerLoads();
  const grants = new GrantLedger();
  const choice = new RunnerChoice({
    runners: table,
    dataCentre: 'here',
    warmPlaces: new WarmPlaces(),
    foreignLoad: (life) => loads.of(life) + grants.outstandingOf(life),
    random: seededRandom(seed + index),
  });
  return { entry, table, choice, loads, grants, counted: new Map() };
}

function reportLoad(daemon: Daemon, recipients: readonly Daemon[], now: number): void {
  const busy = daemon.table.list().filter(({ inFlight }) => inFlight > 0);
  const news = create(DaemonNewsSchema, {
    daemon: daemon.entry.name,
    life: 1,
    number: now + 1,
    loads: busy.map(({ entry, inFlight }) => ({ runner: entry.life, requests: inFlight })),
    grants: [...daemon.counted].map(([coordinator, grant]) => ({ coordinator, grant })),
  });
  for (const recipient of recipients) {
    if (recipient === daemon) continue;
    recipient.loads.take(news, now);
    const own = news.grants.find(({ coordinator }) => coordinator === recipient.entry.name);
    if (own) recipient.grants.acknowledge(daemon.entry.name, own.grant);
  }
}

/**
 * Simulates the load of a fleet.
 *
 * @param options - the fleet and how it chooses runners.
 * @returns What runners and callers got after the warm-up.
 */
export function simulateLoad(options: LoadOptions): LoadResult {
  const { seed, requestsPerSecond, isCoordinated, newsMilliseconds } = options;
  const random = seededRandom(seed);
  const daemons = Array.from({ length: options.daemons }, (_, index) => daemonOf(index, options));
  const byName = new Map(daemons.map((daemon) => [daemon.entry.name, daemon]));
  const coordinators = isCoordinated ? coordinatorsOf(daemons.map(({ entry }) => entry)) : [];
  const recipients = isCoordinated
    ? coordinators.map(({ name }) => byName.get(name) as Daemon)
    : daemons;
  const running = new Map<string, number>();
  const ends: (readonly [daemon: Daemon, life: string])[][] = [];
  const known = new Set<string>();
  const counts = { requests: 0, over: 0, cold: 0, worst: 0 };

  const choose = (daemon: Daemon, prompt: string, now: number): string => {
    const silent = now >= (options.coordinatorsUnresponsiveAt ?? Number.POSITIVE_INFINITY);
    const [asked] = silent ? [] : coordinatorsInOrder(coordinators, prompt);
    const chooser = (asked && byName.get(asked.name)) ?? daemon;
    const question = { service: 'chat', sharedParts: [prompt], tried: new Set<string>(), now };
    const chosen = chooser.choice.choose({ ...question, connectionLimit: 1_000 });
    const life = chosen?.runner.entry.life ?? '';
    if (chooser !== daemon) {
      daemon.counted.set(chooser.entry.name, chooser.grants.grant(daemon.entry.name, life, now));
      daemon.choice.rememberChoice([prompt], life);
    }
    return life;
  };

  const send = (now: number): void => {
    const daemon = daemons[Math.floor(random() * daemons.length)] as Daemon;
    const isPopular = random() < POPULAR_SHARE;
    const prompt = `prompt-${isPopular ? 0 : Math.floor(random() * PROMPTS)}`;
    const life = choose(daemon, prompt, now);
    const runner = daemon.table.ofLife(life);
    if (runner) runner.inFlight += 1;
    const mean = [...running.values()].reduce((sum, count) => sum + count, 0) / options.runners;
    const load = running.get(life) ?? 0;
    running.set(life, load + 1);
    (ends[Math.floor(now + REQUEST_MILLISECONDS * (0.5 + random()))] ??= []).push([daemon, life]);
    const isKnown = known.has(`${prompt} ${life}`);
    known.add(`${prompt} ${life}`);
    if (now < WARM_UP_MILLISECONDS) return;
    counts.requests += 1;
    if (load > LIMIT_FACTOR * mean + LIMIT_SLACK) counts.over += 1;
    if (!isKnown) counts.cold += 1;
    counts.worst = Math.max(counts.worst, (load + 1) / Math.max(1, mean));
  };

  let due = 0;
  for (let now = 0; now < SECONDS * 1_000; now += 1) {
    for (const [daemon, life] of ends[now] ?? []) {
      running.set(life, (running.get(life) ?? 0) - 1);
      const runner = daemon.table.ofLife(life);
      if (runner) runner.inFlight -= 1;
    }
    for (const [index, daemon] of daemons.entries()) {
      if ((now + index * 7) % newsMilliseconds === 0) reportLoad(daemon, recipients, now);
    }
    due += requestsPerSecond / 1_000;
    for (; due >= 1; due -= 1) send(now);
  }
  const { requests, over, cold, worst } = counts;
  return { overLimit: over / requests, worstRatio: worst, cold: cold / requests };
}
