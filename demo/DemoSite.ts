/**
 * The site of the demo: its daemons as processes, and what their directories say.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { askDirectory } from '../standIns/site/askDirectory.js';
import { buildDaemon } from '../standIns/site/buildDaemon.js';
import { SiteProcess } from '../standIns/site/SiteProcess.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const RUNNERS_A_SERVICE = 4;

/** Between questions to the directory, in ms. */
const RESOLVE_MILLISECONDS = 200;

/** Between looks whether a dead daemon is still named, in ms. */
const LOOK_MILLISECONDS = 50;

/** Within which changes have to be in force, in ms. */
const CHANGE_BOUND_MILLISECONDS = 2_000;

/** Starts and ends everything. */
export class DemoSite {
  readonly site = new StandInSite({ changeBoundMilliseconds: CHANGE_BOUND_MILLISECONDS });

  /** Where callers connect, as the directory has told them last. */
  addresses: readonly string[] = [];

  /** Daemons that the demo has not ended. */
  readonly living = new Set<SiteProcess>();

  private readonly daemons: SiteProcess[] = [];

  private readonly folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param count - of daemons.
   */
  async start(count: number): Promise<void> {
    const program = buildDaemon(this.folder);
    await this.site.start();
    for (let index = 0; index < RUNNERS_A_SERVICE; index += 1) {
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
      this.living.add(daemon);
      daemon.start();
    }
    for (const daemon of this.daemons) await this.site.until(() => daemon.isReady());
    await this.site.until(() => this.isNamedByAll(count));
    this.timer = setInterval(() => {
      void this.resolve();
    }, RESOLVE_MILLISECONDS);
    await this.resolve();
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await this.site.stop();
    rmSync(this.folder, { recursive: true });
  }

  /**
   * @param index - of a daemon.
   * @returns The daemon, which counts as ended from now on.
   */
  take(index: number): SiteProcess {
    const daemon = this.daemons[index] as SiteProcess;
    this.living.delete(daemon);
    return daemon;
  }

  /**
   * @param dead - a daemon that has just been killed.
   * @param longest - how long it is waited for, in ms.
   * @returns How long any living daemon's directory went on to name it, in ms.
   */
  async namedFor(dead: SiteProcess, longest: number): Promise<number> {
    const since = performance.now();
    let lastNamed = since;
    while (performance.now() - since < longest) {
      if (await this.isNamed(dead)) lastNamed = performance.now();
      await new Promise((done) => {
        setTimeout(done, LOOK_MILLISECONDS);
      });
    }
    return Math.round(lastNamed - since);
  }

  private async isNamed({ settings }: SiteProcess): Promise<boolean> {
    const answers = await this.askAll();
    return answers.some((answer) => answer.includes(settings.addresses.callers));
  }

  private async isNamedByAll(count: number): Promise<boolean> {
    const answers = await this.askAll();
    return answers.every((answer) => answer.length === count);
  }

  private askAll(): Promise<(readonly string[])[]> {
    return Promise.all([...this.living].map(({ settings }) => askDirectory(settings)));
  }

  /** Callers keep what they know while nobody answers. */
  private async resolve(): Promise<void> {
    for (const { settings } of this.living) {
      const addresses = await askDirectory(settings);
      if (addresses.length === 0) continue;
      this.addresses = addresses;
      return;
    }
  }
}
