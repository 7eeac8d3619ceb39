/**
 * Requests for a new route or with a new key at a daemon that has heard of their configuration and does not have it yet.
 */
import { afterEach, describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';

import { expect } from 'earl';

import { callSite } from '../standIns/site/callSite.js';
import type { SiteAnswer } from '../standIns/site/callSite.js';
import { siteConfiguration, StandInSite } from '../standIns/site/StandInSite.js';

const ADDED = { name: 'added', path_prefix: '/added/', kind: 'idempotent', service: 'plain' };

const NEW_KEY = 'new-key';

const BOUND_MILLISECONDS = 2_000;

const POLL_MILLISECONDS = 5;

describe('requests that only the newest configuration allows', () => {
  let site: StandInSite;

  afterEach(() => site.stop());

  async function start(): Promise<void> {
    site = new StandInSite({ changeBoundMilliseconds: BOUND_MILLISECONDS, hasLinks: true });
    await site.start();
    await site.addRunner({ id: 'plain-1', service: 'plain' });
    for (let index = 0; index < 2; index += 1) await site.addDaemon(`daemon-${index}`);
    await site.untilConnected();
    const concerns = site.links?.comesFrom(['daemon-0']);
    site.store.faultFor({ fault: 'silent', ...(concerns && { concerns }) });
  }

  /** Changes the configuration, and calls the daemon that the store refuses until it serves. */
  async function answersUntilServed(configuration: object, call: object): Promise<SiteAnswer[]> {
    const address = site.daemons[0]?.settings.addresses.callers ?? '';
    site.store.write('op/config', configuration);
    const answers: SiteAnswer[] = [];
    while (answers.at(-1)?.status !== 200) {
      answers.push(await callSite({ address, path: '/read/', ...call }));
      await pause(POLL_MILLISECONDS);
    }
    return answers;
  }

  function reasons(answers: readonly SiteAnswer[], from: number): Set<string> {
    const statuses = answers.map(({ status }) => status);
    const heardAt = statuses.indexOf(503);
    expect(heardAt).not.toEqual(-1);
    expect(statuses.lastIndexOf(from)).toBeLessThan(heardAt);
    return new Set(answers.slice(heardAt, -1).map(({ body }) => JSON.parse(body).error as string));
  }

  // Guards against a final 404 for a route that every caller may use already.
  it('are told to come back soon to a new route', async () => {
    await start();
    const configuration = siteConfiguration(2, { routes: [{ ...ADDED, max_attempts: 2 }] });
    const answers = await answersUntilServed(configuration, { path: '/added/' });
    expect(reasons(answers, 404)).toEqual(new Set(['configuration_behind']));
  });

  // Guards against a final 401 for a key that is in use already.
  it('are told to come back soon with a new key', async () => {
    await start();
    const tenants = [{ name: 'account-2', api_keys: [NEW_KEY] }];
    const configuration = { ...siteConfiguration(2), tenants };
    const headers = { Credential: NEW_KEY };
    const answers = await answersUntilServed(configuration, { headers });
    expect(reasons(answers, 401)).toEqual(new Set(['configuration_behind']));
  });
});
