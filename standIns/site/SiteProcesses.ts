/**
 * Daemons of a site as separate processes, so that they share no event loop.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { buildDaemon } from './buildDaemon.js';
import { SiteProcess } from './SiteProcess.js';
import type { StandInSite } from './StandInSite.js';

/** Builds the daemon once, then starts and ends its processes. */
export class SiteProcesses {
  /** The processes of the current site. */
  all: readonly SiteProcess[] = [];

  private readonly folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));

  private readonly program = buildDaemon(this.folder);

  /**
   * @param site - the site whose store and runners the daemons use.
   * @param count - number of daemons, named `daemon-0` and on.
   */
  async start(site: StandInSite, count: number): Promise<void> {
    const { folder, program } = this;
    const processes: SiteProcess[] = [];
    for (let index = 0; index < count; index += 1) {
      const settings = await site.settingsOf(`daemon-${index}`);
      processes.push(new SiteProcess({ settings, folder, program }));
    }
    this.all = processes;
    for (const one of processes) one.start();
    for (const one of processes) await site.until(() => one.isReady());
  }

  /** Kills all processes. */
  async kill(): Promise<void> {
    await Promise.all(this.all.map((one) => one.kill()));
    this.all = [];
  }

  /** Removes the built program. */
  remove(): void {
    rmSync(this.folder, { recursive: true });
  }
}
