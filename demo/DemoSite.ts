/**
 * The site of the demo: its daemons as processes, and the answers of their directories.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { askDirectory } from '../standIns/site/askDirectory.js';
import { buildDaemon } from '../standIns/site/buildDaemon.js';
import { SiteProcess } from '../standIns/site/SiteProcess.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const RUNNERS_PER_SERVICE = 4;

/** Interval between requests to the directory, in ms. */
const RESOLVE_MILLISECONDS = 200;

/** Interval between checks whether a killed daemon is still listed, in ms. */
const CHECK_MILLISECONDS = 50;

/** Time within which changes have to be in force, in ms. */
const CHANGE_BOUND_MILLISECONDS = 2_000;

/** Starts and stops the store, the runners and the daemons. */
export class DemoSite {
  readonly site = new StandInSite({ changeBoundMilliseconds: CHANGE_BOUND_MILLISECONDS });

  /** Caller addresses of the last answer of a directory. */
  addresses: readonly string[] = [];

  /** Daemons that the demo has neither stopped nor killed. */
  readonly running = new Set<SiteProcess>();

  private readonly daemons: SiteProcess[] = [];

  private readonly folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param count - number of daemons.
   */
  async start(count: number): Promise<void> {
    const program = buildDaemon(this.folder);
    await this.site.start();
    for (let index = 0; index < RUNNERS_PER_SERVICE; index += 1) {
      await this.site.addRunner({ id: `plain-${index}`, service: 'plain', workMilliseconds: 15 });
      await this.site.addRunner({
        id: `engine-${index}`,
        service: 'engine',
        eventMilliseconds: 20,
      });
    }
    for (let index = 0; index < count; index += 1) {
      const settings = await this.site.settingsOf(`daemon-${index}`);
      const daemon = new SiteProcess({ settings, folder: this.folder, program });
      this.daemons.push(daemon);
      this.running.add(daemon);
      daemon.start();
    }
    for (const daemon of this.daemons) await this.site.until(() => daemon.isReady());
    await this.site.until(() => this.areAllListed(count));
    this.timer = setInterval(() => {
      void this.resolve();
    }, RESOLVE_MILLISECONDS);
    await this.resolve();
  }

  /** Stops all parts and removes their files. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await this.site.stop();
    rmSync(this.folder, { recursive: true });
  }

  /**
   * @param index - index of a daemon that is about to be stopped or killed.
   * @returns The daemon, which no longer counts as running.
   */
  remove(index: number): SiteProcess {
    const daemon = this.daemons[index] as SiteProcess;
    this.running.delete(daemon);
    return daemon;
  }

  /**
   * @param killed - a daemon that has just been killed.
   * @param observed - how long the directories are observed, in ms.
   * @returns Time until no directory of a running daemon listed it any more, in ms.
   */
  async millisecondsListed(killed: SiteProcess, observed: number): Promise<number> {
    const since = performance.now();
    let lastListedAt = since;
    while (performance.now() - since < observed) {
      if (await this.isListed(killed)) lastListedAt = performance.now();
      await new Promise((done) => {
        setTimeout(done, CHECK_MILLISECONDS);
      });
    }
    return Math.round(lastListedAt - since);
  }

  private async isListed({ settings }: SiteProcess): Promise<boolean> {
    const answers = await this.askAll();
    return answers.some((answer) => answer.includes(settings.addresses.callers));
  }

  private async areAllListed(count: number): Promise<boolean> {
    const answers = await this.askAll();
    return answers.every((answer) => answer.length === count);
  }

  private askAll(): Promise<(readonly string[])[]> {
    return Promise.all([...this.running].map(({ settings }) => askDirectory(settings)));
  }

  /** Keeps the addresses of the last answer while no directory answers. */
  private async resolve(): Promise<void> {
    for (const { settings } of this.running) {
      const addresses = await askDirectory(settings);
      if (addresses.length === 0) continue;
      this.addresses = addresses;
      return;
    }
  }
}
