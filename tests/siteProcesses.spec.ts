/**
 * Built daemons as processes: results of callers around starts, stops and losses.
 */
import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import { promisify } from 'node:util';

import { expect } from 'earl';

import { buildDaemon } from '../standIns/site/buildDaemon.js';
import { callSite } from '../standIns/site/callSite.js';
import { SiteProcess } from '../standIns/site/SiteProcess.js';
import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { siteConfiguration, StandInSite } from '../standIns/site/StandInSite.js';

const DAEMONS = 3;
const ENDED_BY_SIGNAL = null;
const MISTAKES_IN_SETTINGS = 1;

const LATER_ROUTE = {
  name: 'later',
  path_prefix: '/later/',
  kind: 'idempotent',
  service: 'plain',
  max_attempts: 2,
};

describe('a site of processes', () => {
  let folder: string;
  let program: string[];
  let site: StandInSite;
  let plain: SiteRunner;
  let processes: SiteProcess[];

  async function allReady(): Promise<void> {
    for (const one of processes) await site.until(() => one.isReady());
  }

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));
    program = buildDaemon(folder);
  });

  after(() => rmSync(folder, { recursive: true }));

  beforeEach(async () => {
    site = new StandInSite();
    await site.start();
    plain = await site.addRunner({ id: 'plain-1', service: 'plain' });
    await site.addRunner({ id: 'engine-1', service: 'engine', eventMilliseconds: 50 });
    processes = [];
    for (let index = 0; index < DAEMONS; index += 1) {
      const settings = await site.settingsOf(`daemon-${index}`);
      processes.push(new SiteProcess({ settings, folder, program }));
    }
    for (const one of processes) one.start();
    await allReady();
  });

  afterEach(async () => {
    await Promise.all(processes.map((one) => one.kill()));
    await site.stop();
  });

  function addressOf(index: number): string {
    return processes[index]?.settings.addresses.callers ?? '';
  }

  it('serves by the last acknowledged configuration after all daemons were lost at once', async () => {
    // Guards against a route that is unknown after a power loss although the store had acknowledged it: daemons must
    // not keep it in their memory only.
    site.store.write('op/config', siteConfiguration(2, { routes: [LATER_ROUTE] }));
    await Promise.all(processes.map((one) => one.kill()));
    for (const one of processes) one.start();
    await allReady();
    for (const [index] of processes.entries()) {
      const answer = await callSite({ address: addressOf(index), path: '/later/a' });
      expect(answer.status).toEqual(200);
    }
  });

  it('serves callers who connect while all daemons start', async () => {
    // Guards against callers that find no daemon for half a second after a power loss: the port must be open before the
    // program is loaded, and requests must wait for the configuration.
    await Promise.all(processes.map((one) => one.kill()));
    const [first] = processes;
    const address = addressOf(0);
    first?.start();
    const statuses: number[] = [];
    const isServed = () =>
      callSite({ address, path: '/read/a' }).then(
        ({ status }) => statuses.push(status) > 0,
        () => false,
      );
    await site.until(isServed);
    expect(statuses).toEqual([200]);
    for (const one of processes.slice(1)) one.start();
    await allReady();
  });

  it('says "come back" while nothing is known, and serves once the store is back', async () => {
    // Guards against a 404 for existing routes from daemons that start while the store is away and know no
    // configuration yet.
    site.store.faultFor({ fault: 'busy' });
    await Promise.all(processes.map((one) => one.kill()));
    for (const one of processes) one.start();
    const address = addressOf(0);
    const isThere = () => callSite({ address, path: '/read/a' }).then(Boolean, () => false);
    await site.until(isThere);
    const refused = await callSite({ address, path: '/read/a' });
    expect(refused.status).toEqual(503);
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    site.store.faultFor({ fault: 'none' });
    await allReady();
    expect((await callSite({ address, path: '/read/a' })).status).toEqual(200);
  });

  it('learns everything from another daemon while the store turns it away', async () => {
    // Guards against a built daemon that cannot read the answers of other daemons, and so sends requests to a runner
    // that left two seconds before: the bundle, run as a script, could not import the decompression module dynamically.
    site.store.write('op/config', siteConfiguration(2, { routes: [LATER_ROUTE] }));
    const isInForce = async (one: SiteProcess) => {
      const address = one.settings.addresses.callers;
      const answer = await callSite({ address, path: '/later/a' }).catch(() => undefined);
      return answer?.status === 200;
    };
    for (const one of processes) await site.until(() => isInForce(one));
    site.store.faultFor({ fault: 'busy' });
    const seeds = processes.map(({ settings }) => settings.addresses.peers);
    const settings = await site.settingsOf('daemon-late', seeds);
    const late = new SiteProcess({ settings, folder, program });
    processes.push(late);
    late.start();
    await site.until(() => isInForce(late));
  });

  it('answers what waited through a pause of the process, once', async () => {
    // Guards against requests that run twice or get no answer when a process is paused and resumed: timers that are due
    // run before data that has arrived.
    const [paused] = processes;
    paused?.signal('SIGSTOP');
    const headers = { 'Deadline-Ms': '60000' };
    const pending = callSite({ address: addressOf(0), path: '/write/a', headers });
    const served = await callSite({ address: addressOf(1), path: '/write/b' });
    paused?.signal('SIGCONT');
    expect([served.status, (await pending).status]).toEqual([200, 200]);
    expect(plain.ran.length).toEqual(2);
  });

  it('finishes a stream in a planned stop and ends with success', async () => {
    const [first] = processes;
    const stop = () => first?.signal('SIGTERM');
    const headers = { 'Prompt-Prefix': 'a:1,b:1', Model: 'm' };
    const path = '/chat/';
    const answer = await callSite({ address: addressOf(0), path, headers, onData: stop });
    expect(answer.isComplete).toEqual(true);
    expect(await first?.ended()).toEqual(0);
    expect(first?.log).toEqual(expect.includes('"event":"router.stopped"'));
  });

  it('ends with a failure and one line where nobody says where its settings are', async () => {
    // Guards against a daemon that exits with success although it was started without settings and has served nothing.
    const env = { ...process.env, BAOBABDOCK_BOOT: undefined };
    const start = promisify(execFile)(process.execPath, program, { env });
    const failure = await start.then(
      () => undefined,
      (error: { code: number; stderr: string }) => error,
    );
    expect(failure?.code).toEqual(MISTAKES_IN_SETTINGS);
    expect(failure?.stderr).toEqual(
      'the daemon cannot start: BAOBABDOCK_BOOT does not name a settings file\n',
    );
  });

  it('keeps the settings in force where new ones are wrong, and does not start with wrong ones', async () => {
    const [first] = processes;
    if (!first) throw new Error('there is no process');
    first.writeSettings({ router: { ...first.settings, stopSeconds: -1, nmae: 'x' } });
    first.signal('SIGHUP');
    await site.until(() => first.log.includes('"event":"router.settings_refused"'));
    expect((await callSite({ address: addressOf(0), path: '/read/a' })).status).toEqual(200);
    first.signal('SIGKILL');
    expect(await first.ended()).toEqual(ENDED_BY_SIGNAL);
    first.start();
    expect(await first.ended()).toEqual(MISTAKES_IN_SETTINGS);
    expect(first.complaints).toEqual(expect.includes('router.stopSeconds'));
    expect(first.complaints).toEqual(expect.includes('router.nmae'));
  });
});
