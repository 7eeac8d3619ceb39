/**
 * A small deployment on loopback: the platform's store and runners in this process, and daemons as processes.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { setTimeout as wait } from 'node:timers/promises';

import { StoreStandIn } from '../../standIns/site/StoreStandIn.js';
import { configuration } from './configuration.js';
import { Daemon, freeAddresses } from './Daemon.js';
import type { DaemonOptions } from './Daemon.js';
import { Runner } from './Runner.js';
import type { Run, RunnerOptions } from './Runner.js';

/** Options of {@link Site.start}. */
export interface SiteOptions {
  daemons: number;
  runners: readonly Omit<RunnerOptions, 'write' | 'onRun'>[];
  configuration?: object;
}

/** Starts and ends all parts, and keeps the record. */
export class Site {
  readonly store = new StoreStandIn();

  readonly runners: Runner[] = [];

  readonly daemons: Daemon[] = [];

  readonly runs: Run[] = [];

  /** Whether the disruption is left out. */
  readonly isCalm = process.env.TROUBLE === '0';

  private readonly folder = mkdtempSync(join(tmpdir(), 'review-'));

  private readonly startedAt = performance.now();

  private readonly lines: string[] = [];

  /** @param text - a line of the record. */
  note(text: string): void {
    const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    this.lines.push(`${seconds} ${text}`);
  }

  /** @param options - the daemons and runners. */
  async start({ daemons, runners, configuration: first }: SiteOptions): Promise<void> {
    const address = await this.store.start();
    this.store.write('op/config', first ?? configuration(1));
    for (const options of runners) {
      const runner = new Runner({
        ...options,
        write: (key, value) => {
          this.store.write(key, value);
        },
        onRun: (run) => {
          this.runs.push(run);
          this.note(`run ${run.attempt} at ${run.runner} ${run.version} after ${run.after}`);
        },
      });
      await runner.start();
      this.runners.push(runner);
    }
    const all: Omit<DaemonOptions, 'seeds'>[] = [];
    for (let index = 0; index < daemons; index += 1) {
      const addresses = await freeAddresses();
      all.push({ name: `front-${index}`, folder: this.folder, addresses, store: address });
    }
    const seeds = all.slice(0, 3).map(({ addresses }) => addresses.peers);
    for (const options of all) this.daemons.push(new Daemon({ ...options, seeds }));
    for (const daemon of this.daemons) daemon.start();
    for (const daemon of this.daemons) await daemon.untilReady();
    // Daemons have to know each other.
    await wait(3_000);
  }

  /** @returns Addresses of the daemons that run. */
  addresses(): string[] {
    return this.daemons
      .filter(({ isRunning }) => isRunning)
      .map(({ addresses }) => addresses.callers);
  }

  /** Ends all processes, and writes the record and the logs. */
  async stop(): Promise<void> {
    for (const daemon of this.daemons) await daemon.kill();
    for (const runner of this.runners) runner.close();
    this.store.stop();
    const folder = process.env.RECORD_FOLDER ?? '.';
    writeFileSync(join(folder, 'record.txt'), `${this.lines.join('\n')}\n`);
    const logs = process.env.LOGS;
    if (logs !== undefined)
      for (const { name, log } of this.daemons)
        writeFileSync(join(dirname(`${logs}/x`), `${name}.log`), log);
    rmSync(this.folder, { recursive: true });
  }
}

/** Longest time of a whole scenario, in ms. */
const LONGEST_MILLISECONDS = 110_000;

/**
 * Runs a scenario and exits: with 1 if the rule was broken, 0 if it held, 2 if it could not run.
 *
 * @param scenario - resolves to what broke the rule; empty if it held.
 */
export async function runScenario(scenario: (site: Site) => Promise<string[]>): Promise<void> {
  // A signal ends the process without its exit handlers, which end the daemons.
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(2));
  const site = new Site();
  const timer = setTimeout(() => {
    process.stdout.write('the scenario took too long\n');
    void site.stop().finally(() => process.exit(2));
  }, LONGEST_MILLISECONDS);
  let status = 2;
  try {
    const broken = await scenario(site);
    for (const line of broken) site.note(`BROKEN ${line}`);
    process.stdout.write(broken.length > 0 ? `${broken.join('\n')}\n` : 'the rule held\n');
    status = broken.length > 0 ? 1 : 0;
  } catch (error) {
    process.stdout.write(`${(error as Error).stack}\n`);
  }
  clearTimeout(timer);
  await site.stop();
  process.exit(status);
}
