/**
 * Requests that may be run in some regions only, with real daemons and runners in three regions.
 */
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { askDirectory } from '../standIns/site/askDirectory.js';
import { callSite } from '../standIns/site/callSite.js';
import type { SiteAnswer } from '../standIns/site/callSite.js';
import { siteConfiguration, StandInSite } from '../standIns/site/StandInSite.js';

const REGIONS = { north: 'region-n', east: 'region-e', south: 'region-s' };

const REQUESTS = 20;

const HOMES_ROUTE = {
  name: 'at-home',
  path_prefix: '/at-home/',
  kind: 'idempotent',
  service: 'plain',
  max_attempts: 2,
};

describe('requests that have homes', () => {
  let site: StandInSite;

  async function inForce(homes: readonly string[]): Promise<void> {
    const route = { ...HOMES_ROUTE, allowed_regions: homes };
    site.store.write('op/config', siteConfiguration(2, { routes: [route] }));
    const isKnown = () =>
      site.daemons.every(({ daemon }) => daemon.knowledge.routes?.configuration.version === 2);
    await site.until(isKnown);
  }

  async function sendAll(): Promise<SiteAnswer[]> {
    const answers: SiteAnswer[] = [];
    for (let index = 0; index < REQUESTS; index += 1) {
      const address = site.daemons[index % site.daemons.length]?.settings.addresses.callers ?? '';
      answers.push(await callSite({ address, path: '/at-home/1', method: 'GET' }));
    }
    return answers;
  }

  beforeEach(async () => {
    site = new StandInSite({ dataCentreRegions: REGIONS });
    await site.start();
    for (const dataCentre of Object.keys(REGIONS)) {
      await site.addRunner({ id: `runner-${dataCentre}`, service: 'plain', dataCentre });
      await site.addDaemon(`daemon-${dataCentre}`, [], dataCentre);
    }
    await site.until(() =>
      site.daemons.every(({ daemon }) => daemon.isReady && daemon.knowledge.daemons.size === 3),
    );
  });

  afterEach(() => site.stop());

  it('reach runners of these regions only, by way of any daemon', async () => {
    await inForce(['region-n', 'region-e']);
    const statuses = (await sendAll()).map(({ status }) => status);
    expect(new Set(statuses)).toEqual(new Set([200]));
    const arrivals = site.runners.map(({ arrivals: { length } }) => length > 0);
    expect(arrivals).toEqual([true, true, false]);
  });

  it('are refused at once, as not run, where no home has a runner', async () => {
    await inForce(['region-x']);
    const answers = await sendAll();
    expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([503]));
    expect(answers.every(({ headers }) => Number(headers['retry-after']) > 0)).toEqual(true);
  });

  it('are sent to daemons of their homes and of the caller’s region', async () => {
    await inForce(['region-n']);
    const [north, east] = site.daemons;
    if (!north || !east) throw new Error('the site has no daemons');
    const addresses = await askDirectory(north.settings, { zone: 'east', region: 'region-e' });
    expect(addresses).toEqual([east, north].map(({ settings }) => settings.addresses.callers));
  });
});
