/**
 * Addresses in the directory after a daemon has died. Daemons are built and run as processes.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { askDirectory } from '../standIns/site/askDirectory.js';
import { buildDaemon } from '../standIns/site/buildDaemon.js';
import { SiteProcess } from '../standIns/site/SiteProcess.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

/** A small fleet, in which all hear all. */
const SMALL = 5;

/** A fleet with coordinators. */
const LARGE = 18;

/** The test gives up after this time: longer than a lease and what follows it, in ms. */
const PATIENCE_MILLISECONDS = 15_000;

describe('the directory after a daemon has died', () => {
  // Guards against callers that are directed to a daemon which has been dead for more than 6 s, where their connections
  // hang: the directory must not rely on the store's list, since an entry stays until its lease of 9 s ends, and longer
  // while nobody reads the store.
  let folder: string;
  let program: string[];
  let site: StandInSite;
  let processes: SiteProcess[];

  /** Whether the answers of the first ones name just the second ones. */
  async function allName(asked: SiteProcess[], named: SiteProcess[]): Promise<boolean> {
    const expected = named.map(({ settings }) => settings.addresses.callers).sort();
    const answers = await Promise.all(asked.map(({ settings }) => askDirectory(settings)));
    return answers.every((answer) => [...answer].sort().join() === expected.join());
  }

  async function comesTrue(condition: () => Promise<boolean>): Promise<boolean> {
    const givenUpAt = performance.now() + PATIENCE_MILLISECONDS;
    let holds = false;
    await site.until(async () => {
      holds = await condition();
      return holds || performance.now() > givenUpAt;
    });
    return holds;
  }

  async function start(count: number): Promise<void> {
    processes = [];
    for (let index = 0; index < count; index += 1) {
      const settings = await site.settingsOf(`daemon-${index}`);
      processes.push(new SiteProcess({ settings, folder, program }));
    }
    for (const one of processes) one.start();
    await site.until(() => allName(processes, processes));
  }

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));
    program = buildDaemon(folder);
  });

  after(() => rmSync(folder, { recursive: true }));

  beforeEach(async () => {
    site = new StandInSite({ pollMilliseconds: 50, changeBoundMilliseconds: 2_000 });
    await site.start();
    await site.addRunner({ id: 'plain-1', service: 'plain' });
  });

  afterEach(async () => {
    await Promise.all(processes.map((one) => one.kill()));
    await site.stop();
  });

  it('does not name it although the store still does', async () => {
    await start(SMALL);
    const [dead, ...living] = processes;
    await dead?.kill();
    expect(await comesTrue(() => allName(living, living))).toEqual(true);
    expect(site.store.keys('daemons/').length).toEqual(SMALL);
  });

  async function loseOneWithoutStore(count: number): Promise<boolean> {
    await start(count);
    const [dead, ...living] = processes;
    site.store.faultFor({ fault: 'busy' });
    await dead?.kill();
    return comesTrue(() => allName(living, living));
  }

  it('does not name it while the store refuses everybody', async () => {
    expect(await loseOneWithoutStore(SMALL)).toEqual(true);
  });

  it('does not name it while the store refuses everybody since some daemons have started', async () => {
    // Guards against daemons that keep naming a dead one while the store is away, because they do not know the fleet's
    // secret yet and cannot read the others' messages about it.
    expect(await loseOneWithoutStore(LARGE)).toEqual(true);
  });

  it('does not name one that stands still, and names it again when it goes on', async () => {
    await start(SMALL);
    const [frozen, ...others] = processes;
    site.store.faultFor({ fault: 'busy' });
    frozen?.signal('SIGSTOP');
    expect(await comesTrue(() => allName(others, others))).toEqual(true);
    frozen?.signal('SIGCONT');
    expect(await comesTrue(() => allName(processes, processes))).toEqual(true);
  });

  it('does not name one that stops as planned while the store is away', async () => {
    await start(SMALL);
    const [leaving, ...living] = processes;
    site.store.faultFor({ fault: 'busy' });
    leaving?.signal('SIGTERM');
    expect(await comesTrue(() => allName(living, living))).toEqual(true);
  });
});
