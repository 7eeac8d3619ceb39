/**
 * What is measured of control: a change coming into force, the cost of standing still, deaths, a cut region.
 */
import { mean, percentile, rounded } from './figures.js';
import type { VirtualDaemon } from './VirtualDaemon.js';
import { VirtualFleet } from './VirtualFleet.js';

/** Options of a run. */
export interface ControlRunOptions {
  members: number;
  seed: number;
  /** Share of messages lost. */
  loss: number;
  /** Configuration changes that are measured. */
  changes: number;
  /** Daemons that are killed one after the other. */
  deaths: number;
  /** How long the cut region stays alone, in seconds. */
  cutSeconds: number;
}

/** One line of the result; times in seconds unless said otherwise. */
export interface ControlResult {
  readonly members: number;
  readonly seed: number;
  readonly loss: number;
  readonly joinedSeconds: number;
  readonly inForceMedianSeconds: number;
  readonly inForceMaximumSeconds: number;
  readonly controlBytesPerSecond: number;
  readonly controlBytesPerSecondMaximum: number;
  readonly messagesPerSecond: number;
  readonly newsAgeMedianMilliseconds: number;
  readonly newsAgeP99Milliseconds: number;
  readonly summaryAgeMedianMilliseconds: number;
  readonly summaryAgeP99Milliseconds: number;
  readonly waitingWatches: number;
  readonly processorShare: number;
  readonly detectFirstMedianSeconds: number;
  readonly detectAllMedianSeconds: number;
  readonly detectAllMaximumSeconds: number;
  readonly suspicionsPerHour: number;
  readonly falseDeaths: number;
  readonly healSeconds: number;
  readonly falseDeathsWhileHealing: number;
}

const SECOND = 1_000;
const HOUR_SECONDS = 3_600;
const SETTLE = 30 * SECOND;
/** 6,500 changes a day are one each 13 s. */
const BETWEEN_CHANGES = 13 * SECOND;
const BETWEEN_DEATHS = 5 * SECOND;
const AFTER_DEATHS = 40 * SECOND;
const HEAL_LIMIT = 300 * SECOND;
const STEP = 100;

/** Runs a step at a time until the condition holds or the limit is over. */
function runUntil(fleet: VirtualFleet, limit: number, condition: () => boolean): number {
  const start = fleet.time.now;
  while (fleet.time.now - start < limit && !condition()) {
    fleet.time.runUntil(fleet.time.now + STEP);
  }
  return fleet.time.now - start;
}

function everybodySeesEverybody(fleet: VirtualFleet): boolean {
  const living = fleet.living();
  return living.every(
    ({ membership }) =>
      membership.members().filter(({ state }) => state === 'alive').length === living.length,
  );
}

/** Time from each commit until the last living daemon has the revision in force. */
function measureChanges(fleet: VirtualFleet, changes: number): number[] {
  const waiting = new Map<number, { at: number; left: number; done: number }>();
  const applied = new Map<VirtualDaemon, number>();
  const end = fleet.observeApplied((daemon, revision) => {
    const had = applied.get(daemon) ?? 0;
    for (const [committed, entry] of waiting) {
      if (committed <= had || committed > revision) continue;
      entry.left -= 1;
      if (entry.left === 0) entry.done = fleet.time.now - entry.at;
    }
    applied.set(daemon, revision);
  });
  for (let change = 0; change < changes; change += 1) {
    fleet.store.commit();
    const revision = fleet.store.document.revision();
    waiting.set(revision, { at: fleet.time.now, left: fleet.living().length, done: Infinity });
    fleet.time.runUntil(fleet.time.now + BETWEEN_CHANGES);
  }
  end();
  return [...waiting.values()].map(({ done }) => done);
}

interface Cost {
  readonly bytes: number;
  readonly bytesMaximum: number;
  readonly messages: number;
  readonly processorShare: number;
}

/** Sent bytes: what is sent is received, so the sum of both is twice as much. */
function costSince(fleet: VirtualFleet, start: number, before: ReadonlyMap<string, number>): Cost {
  const seconds = (fleet.time.now - start) / SECOND;
  const bytes: number[] = [];
  const messages: number[] = [];
  for (const [daemonId, count] of fleet.wire.counts) {
    bytes.push((count.bytes - (before.get(`${daemonId} bytes`) ?? 0)) / seconds);
    messages.push((count.messages - (before.get(`${daemonId} messages`) ?? 0)) / seconds);
  }
  const deciding = fleet.daemons.map(
    ({ self, decidingMilliseconds }) =>
      (decidingMilliseconds - (before.get(`${self.daemonId} deciding`) ?? 0)) / SECOND / seconds,
  );
  return {
    bytes: mean(bytes),
    bytesMaximum: Math.max(...bytes),
    messages: mean(messages),
    processorShare: mean(deciding),
  };
}

function snapshot(fleet: VirtualFleet): Map<string, number> {
  const counts = new Map<string, number>();
  for (const [daemonId, count] of fleet.wire.counts) {
    counts.set(`${daemonId} bytes`, count.bytes);
    counts.set(`${daemonId} messages`, count.messages);
  }
  for (const { self, decidingMilliseconds } of fleet.daemons) {
    counts.set(`${self.daemonId} deciding`, decidingMilliseconds);
  }
  return counts;
}

/** Kills some daemons; says when the first and when the last of the others believed it. */
function measureDeaths(fleet: VirtualFleet, deaths: number): { first: number[]; all: number[] } {
  const first: number[] = [];
  const all: number[] = [];
  const seen = new Map<
    string,
    { at: number; believers: Set<string>; first: number; all: number }
  >();
  const end = fleet.observe((daemon, action) => {
    if (action.kind !== 'note' || action.note !== 'died') return;
    const death = seen.get(action.daemonId);
    if (!death) return;
    const after = fleet.time.now - death.at;
    death.first = Math.min(death.first, after);
    death.believers.add(daemon.self.daemonId);
    if (fleet.living().every(({ self }) => death.believers.has(self.daemonId))) {
      death.all = Math.min(death.all, after);
    }
  });
  for (let death = 0; death < deaths; death += 1) {
    const living = fleet.living();
    const victim = living[Math.floor(fleet.wire.random() * living.length)]!;
    seen.set(victim.self.daemonId, {
      at: fleet.time.now,
      believers: new Set(),
      first: Infinity,
      all: Infinity,
    });
    fleet.kill(victim);
    fleet.time.runUntil(fleet.time.now + BETWEEN_DEATHS);
  }
  fleet.time.runUntil(fleet.time.now + AFTER_DEATHS);
  end();
  for (const death of seen.values()) {
    first.push(death.first);
    all.push(death.all);
  }
  return { first, all };
}

/**
 * Measures one fleet.
 *
 * @param options - size, seed and faults.
 * @returns The figures.
 */
export function measureControl(options: ControlRunOptions): ControlResult {
  const fleet = new VirtualFleet(options);
  let suspicions = 0;
  let falseDeaths = 0;
  const victims = new Set<string>();
  fleet.observe((_daemon, action) => {
    if (action.kind !== 'note') return;
    const isFalse = !victims.has(action.daemonId);
    if (action.note === 'suspected' && action.reason === 'own_probe' && isFalse) suspicions += 1;
    if (action.note === 'died' && isFalse) falseDeaths += 1;
  });
  fleet.start();
  const joined = runUntil(fleet, SETTLE, () => everybodySeesEverybody(fleet));
  fleet.time.runUntil(SETTLE);

  const before = snapshot(fleet);
  const start = fleet.time.now;
  const inForce = measureChanges(fleet, options.changes);
  const cost = costSince(fleet, start, before);
  const quietHours = (fleet.time.now - start) / SECOND / HOUR_SECONDS;
  const quietSuspicions = suspicions;
  const quietDeaths = falseDeaths;
  const ages = fleet.daemons.map(({ membership }) => membership.newsAges(fleet.time.now));
  const newsAges = ages.flatMap(({ news }) => news);
  const summaryAges = ages.flatMap(({ summaries }) => summaries);

  const { waitingWatches } = fleet.store;
  fleet.wire.cut('sofia');
  fleet.time.runUntil(fleet.time.now + options.cutSeconds * SECOND);
  fleet.wire.cut(undefined);
  falseDeaths = 0;
  const healed = runUntil(fleet, HEAL_LIMIT, () => everybodySeesEverybody(fleet));
  const healDeaths = falseDeaths;

  const deaths = measureDeaths(fleet, options.deaths);
  const seconds = (milliseconds: number) => rounded(milliseconds / SECOND, 2);
  return {
    members: options.members,
    seed: options.seed,
    loss: options.loss,
    joinedSeconds: seconds(joined),
    inForceMedianSeconds: seconds(percentile(inForce, 0.5)),
    inForceMaximumSeconds: seconds(Math.max(...inForce)),
    controlBytesPerSecond: rounded(cost.bytes),
    controlBytesPerSecondMaximum: rounded(cost.bytesMaximum),
    messagesPerSecond: rounded(cost.messages, 1),
    newsAgeMedianMilliseconds: rounded(percentile(newsAges, 0.5)),
    newsAgeP99Milliseconds: rounded(percentile(newsAges, 0.99)),
    summaryAgeMedianMilliseconds: rounded(percentile(summaryAges, 0.5)),
    summaryAgeP99Milliseconds: rounded(percentile(summaryAges, 0.99)),
    waitingWatches,
    processorShare: rounded(cost.processorShare, 5),
    detectFirstMedianSeconds: seconds(percentile(deaths.first, 0.5)),
    detectAllMedianSeconds: seconds(percentile(deaths.all, 0.5)),
    detectAllMaximumSeconds: seconds(Math.max(...deaths.all)),
    suspicionsPerHour: rounded(quietSuspicions / quietHours, 1),
    falseDeaths: quietDeaths,
    healSeconds: seconds(healed),
    falseDeathsWhileHealing: healDeaths,
  };
}
