/**
 * Daemons as processes before runners of several software versions, and what happens to both.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { SiteProcess } from '../standIns/site/SiteProcess.js';
import { siteConfiguration, StandInSite } from '../standIns/site/StandInSite.js';

/** With 70 ms between events, a stream takes 3.5 s. */
const EVENTS = 50;
const EVENT_MILLISECONDS = 70;

const TIMEOUT_MILLISECONDS = 15_000;

/** From the end of all processes to their start, in ms. */
const DOWN_MILLISECONDS = 300;

/** How long a runner serves after its entry has been removed, in ms. */
const SERVES_ON_MILLISECONDS = 6_000;

/** From the time at which all daemons are ready until they are used, in ms. */
const SETTLING_MILLISECONDS = 1_500;

/** Number of runners of a version that have to serve for its streams to go on. */
const FEWEST_RUNNERS = 2;

/** Options of a {@link VersionedFleet}. */
export interface VersionedFleetOptions {
  daemons: number;
  /** Version of each runner at the start. */
  versions: readonly string[];
  /** How long after an answer runners close the connection, in ms; they keep it by default. */
  closesAfterMilliseconds?: number | undefined;
  /** Folder for the settings files. */
  folder: string;
  /** Arguments of the runtime. */
  program: readonly string[];
}

/** A runner that is listed, with its version. */
interface ListedRunner {
  readonly runner: SiteRunner;
  readonly version: string;
}

/** Starts, changes and ends the fleet. */
export class VersionedFleet {
  readonly site = new StandInSite({ pollMilliseconds: 20, changeBoundMilliseconds: 2_000 });

  processes: readonly SiteProcess[] = [];

  private readonly options: VersionedFleetOptions;

  private listed: readonly ListedRunner[] = [];

  private added = 0;

  /**
   * @param options - sizes, and the program of the daemons.
   */
  constructor(options: VersionedFleetOptions) {
    this.options = options;
  }

  /** Starts everything; resolves when all daemons are ready and know each other. */
  async start(): Promise<void> {
    const { daemons, versions, folder, program } = this.options;
    await this.site.start();
    this.site.store.write('op/config', siteConfiguration(2, { timeout: TIMEOUT_MILLISECONDS }));
    for (const version of versions) await this.addRunner(version);
    const processes: SiteProcess[] = [];
    for (let index = 0; index < daemons; index += 1) {
      const settings = await this.site.settingsOf(`daemon-${index}`);
      processes.push(new SiteProcess({ settings, folder, program }));
    }
    this.processes = processes;
    for (const one of processes) one.start();
    for (const one of processes) await this.site.until(() => one.isReady());
    await wait(SETTLING_MILLISECONDS);
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    await Promise.all(this.processes.map((one) => one.kill()));
    await this.site.stop();
  }

  /**
   * @param index - a position, counted on from the first daemon behind the last one.
   * @returns The daemon's address for callers.
   */
  addressOf(index: number): string {
    return this.processes[index % this.processes.length]?.settings.addresses.callers ?? '';
  }

  /**
   * @param version - a software version.
   * @returns Whether enough listed runners have it.
   */
  serves(version: string): boolean {
    return this.listed.filter((one) => one.version === version).length >= FEWEST_RUNNERS;
  }

  /**
   * @param version - version of a runner that starts and is listed.
   */
  async addRunner(version: string): Promise<void> {
    this.added += 1;
    const { closesAfterMilliseconds = Number.POSITIVE_INFINITY } = this.options;
    const runner = await this.site.addRunner({
      id: `engine-${this.added}`,
      service: 'engine',
      version,
      events: EVENTS,
      eventMilliseconds: EVENT_MILLISECONDS,
      slots: 64,
      ...{ echoes: true, servesReport: true },
      closesAfterMilliseconds,
    });
    this.listed = [...this.listed, { runner, version }];
  }

  /**
   * Removes the entries of runners, which serve on for some seconds.
   *
   * @param version - version of the runners.
   * @param count - how many of them, the oldest first.
   */
  unlist(version: string, count: number): void {
    const leaving = this.listed.filter((one) => one.version === version).slice(0, count);
    this.listed = this.listed.filter((one) => !leaving.includes(one));
    for (const { runner } of leaving) {
      this.site.store.write(`servers/${runner.id}`, undefined);
      setTimeout(() => runner.stop(), SERVES_ON_MILLISECONDS).unref();
    }
  }

  /**
   * Kills daemons at the same moment, and starts them again.
   *
   * @param concerned - the daemons; all by default.
   */
  async kill(concerned: readonly SiteProcess[] = this.processes): Promise<void> {
    await Promise.all(concerned.map((one) => one.kill()));
    await wait(DOWN_MILLISECONDS);
    for (const one of concerned) one.start();
  }

  /**
   * Stops daemons as a loss of power does: they are silent first, and gone once their machines are back.
   *
   * @param milliseconds - how long they are silent.
   * @param concerned - the daemons; all by default.
   */
  async losePower(
    milliseconds: number,
    concerned: readonly SiteProcess[] = this.processes,
  ): Promise<void> {
    for (const one of concerned) one.signal('SIGSTOP');
    await wait(milliseconds);
    await this.kill(concerned);
  }
}
