/**
 * Daemons as processes on a machine that is short of processor time for some seconds, before brittle runners.
 */
import { Agent } from 'node:http';
import { cpus } from 'node:os';
import { after, afterEach, before, describe, it } from 'node:test';

import { expect } from 'earl';

import { BusyMachine } from '../standIns/BusyMachine.js';
import { callSite } from '../standIns/site/callSite.js';
import type { SiteAnswer } from '../standIns/site/callSite.js';
import { SiteProcesses } from '../standIns/site/SiteProcesses.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const DAEMONS = 20;

const RUNNERS = 8;

const SLOTS = 4;

const WORK_MILLISECONDS = 100;

/** What all runners can do, per second, and what callers send. */
const CAPACITY = (RUNNERS * SLOTS * 1_000) / WORK_MILLISECONDS;
const LOAD = 2;

const PATHS = 97;

const BRITTLE = { limit: 3, waiting: 2 };

/** From the start of the load on, in ms. */
const BRITTLE_AT_MILLISECONDS = 1_500;
const BUSY_MILLISECONDS = 8_000;

/** Busy processes for each core. */
const BUSY_FACTOR = 4;

/** Time over which answers are counted, in ms, and the share of the capacity that has to be served in it. */
const COUNTED_MILLISECONDS = 2_000;
const SERVED_SHARE = 0.25;

const TICK_MILLISECONDS = 5;

const OK = 200;

describe('a fleet before brittle runners', () => {
  const machine = new BusyMachine();
  const agents: Agent[] = [];
  let site: StandInSite;
  let processes: SiteProcesses;
  let servedAt: number[];

  before(() => {
    processes = new SiteProcesses();
  });

  after(() => processes.remove());

  afterEach(async () => {
    machine.end();
    for (const agent of agents.splice(0)) agent.destroy();
    await processes.kill();
    await site.stop();
  });

  async function start(): Promise<void> {
    site = new StandInSite({ changeBoundMilliseconds: 1_000 });
    await site.start();
    for (let index = 0; index < RUNNERS; index += 1) {
      await site.addRunner({
        id: `plain-${index}`,
        service: 'plain',
        workMilliseconds: WORK_MILLISECONDS,
        slots: SLOTS,
        maximumWaiting: 12,
        downMilliseconds: 3_000,
      });
    }
    servedAt = [];
    await processes.start(site, DAEMONS);
  }

  function recordAnswer({ status }: SiteAnswer): void {
    if (status === OK) servedAt.push(performance.now());
  }

  /** Sends requests at a steady rate to all daemons in turn. */
  async function callUntil(isOver: () => boolean): Promise<void> {
    const ends = processes.all.map(({ settings }) => {
      const agent = new Agent({ keepAlive: true });
      agents.push(agent);
      return { address: settings.addresses.callers, agent };
    });
    const startedAt = performance.now();
    const calls: Promise<void>[] = [];
    while (!isOver()) {
      const due = ((performance.now() - startedAt) * CAPACITY * LOAD) / 1_000;
      while (calls.length < due) {
        const { address, agent } = ends[calls.length % ends.length]!;
        const path = `/write/${calls.length % PATHS}`;
        const call = callSite({ address, agent, path, headers: { 'Deadline-Ms': '1500' } });
        calls.push(call.then(recordAnswer, () => undefined));
      }
      const until = performance.now() + TICK_MILLISECONDS;
      await site.until(() => performance.now() > until);
    }
    await Promise.all(calls);
  }

  function isServing(): boolean {
    const since = performance.now() - COUNTED_MILLISECONDS;
    servedAt = servedAt.filter((at) => at > since);
    return servedAt.length >= (CAPACITY * SERVED_SHARE * COUNTED_MILLISECONDS) / 1_000;
  }

  it('serves again after the machine was short of processor time', async () => {
    // Guards against a shortage of some seconds that becomes an outage for good: crashes in step, wrong verdicts.
    await start();
    let isOver = false;
    const calls = callUntil(() => isOver);
    const startedAt = performance.now();
    const passes = (milliseconds: number) =>
      site.until(() => performance.now() - startedAt > milliseconds);
    machine.start(BUSY_FACTOR * cpus().length);
    await passes(BRITTLE_AT_MILLISECONDS);
    for (const runner of site.runners) runner.becomeBrittle(BRITTLE);
    await passes(BUSY_MILLISECONDS);
    machine.end();
    await passes(BUSY_MILLISECONDS + COUNTED_MILLISECONDS);
    await site.until(isServing);
    const crashes = () => site.runners.reduce((sum, runner) => sum + runner.crashes, 0);
    const crashesBefore = crashes();
    const countedFrom = performance.now();
    await site.until(() => performance.now() - countedFrom > 2 * COUNTED_MILLISECONDS);
    const isKept = isServing() && crashes() - crashesBefore <= 2 + RUNNERS / 10;
    isOver = true;
    await calls;
    expect(isKept).toEqual(true);
  });
});
