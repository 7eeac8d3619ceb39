import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../src/callers/testFakes.js';
import { callSite } from '../standIns/site/callSite.js';
import {
  SITE_HOST,
  SITE_KEY,
  siteConfiguration,
  StandInSite,
} from '../standIns/site/StandInSite.js';

/** Above the size up to which all daemons do everything themselves. */
const DAEMONS = 18;

describe('a site with a large fleet', () => {
  let site: StandInSite;
  let log: MemoryLog;

  beforeEach(async () => {
    log = new MemoryLog();
    site = new StandInSite({ log, pollMilliseconds: 20, changeBoundMilliseconds: 500 });
    await site.start();
    await site.addRunner({ id: 'plain-1', service: 'plain' });
    await site.addRunner({ id: 'engine-1', service: 'engine' });
    await site.addRunner({ id: 'engine-2', service: 'engine' });
    for (let index = 0; index < DAEMONS; index += 1) await site.addDaemon(`daemon-${index}`);
  });

  afterEach(() => site.stop());

  const readers = () => site.daemons.filter(({ daemon }) => !daemon.isRelayed).length;

  it('has its store read by a few daemons, and changes in force in all', async () => {
    await site.until(() => readers() === 3);
    site.store.write('op/config', siteConfiguration(7));
    site.store.write('servers/engine-2', undefined);
    const versionOf = ({ daemon }: (typeof site.daemons)[number]) =>
      daemon.knowledge.routes?.configuration.version;
    await site.until(() => site.daemons.every((one) => versionOf(one) === 7));
    const lists = () => site.daemons.map(({ daemon }) => daemon.knowledge.runners.size);
    await site.until(() => lists().every((size) => size === 2));
    expect(readers()).toEqual(3);
  });

  it('serves chats by the choice of coordinators', async () => {
    await site.until(() => readers() === 3);
    const parts = { 'Prompt-Prefix': 'a:800,b:20', 'Attempt-Id': 'x', Credential: SITE_KEY };
    for (const { settings } of site.daemons) {
      const headers = { ...parts, Host: SITE_HOST, 'Deadline-Ms': '5000' };
      const answer = await callSite({
        address: settings.addresses.callers,
        path: '/chat/',
        headers,
      });
      expect(answer.status).toEqual(200);
    }
    const ran = site.runners.map((runner) => runner.ran.length);
    expect(ran.reduce((sum, count) => sum + count, 0)).toEqual(DAEMONS);
    expect(Math.max(...ran)).toEqual(DAEMONS);
  });
});
