/**
 * An evacuated data centre, with real daemons, runners and a store.
 */
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { callSite } from '../standIns/site/callSite.js';
import type { SiteAnswer } from '../standIns/site/callSite.js';
import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const DAEMONS = 3;
const REQUESTS = 30;

const ORDER = 'op/evacuate/north';

describe('an evacuated data centre', () => {
  let site: StandInSite;
  let north: SiteRunner;
  let south: SiteRunner;

  function send(daemon: number, path = '/read/1'): Promise<SiteAnswer> {
    const address = site.daemons[daemon]?.settings.addresses.callers ?? '';
    return callSite({ address, path });
  }

  async function sendAll(): Promise<SiteAnswer[]> {
    const indices = Array.from({ length: DAEMONS * REQUESTS }, (_, index) => index % DAEMONS);
    return Promise.all(indices.map((daemon) => send(daemon)));
  }

  function untilEvacuated(...names: string[]): Promise<void> {
    return site.until(() =>
      site.daemons.every(({ daemon }) => daemon.knowledge.evacuated.join() === names.join()),
    );
  }

  beforeEach(async () => {
    site = new StandInSite();
    await site.start();
    north = await site.addRunner({ id: 'north-1', service: 'plain', dataCentre: 'north' });
    south = await site.addRunner({ id: 'south-1', service: 'plain', dataCentre: 'south' });
    for (let index = 0; index < DAEMONS; index += 1) await site.addDaemon(`daemon-${index}`);
    await site.until(() => site.daemons.every(({ daemon }) => daemon.isReady));
  });

  afterEach(() => site.stop());

  it('gets no requests until it is taken back, also from a daemon that starts meanwhile', async () => {
    site.store.write(ORDER, {});
    await untilEvacuated('north');
    await site.addDaemon('daemon-late');
    await site.until(() => site.daemons.every(({ daemon }) => daemon.isReady));
    const statuses = (await sendAll()).map(({ status }) => status);
    expect(new Set(statuses)).toEqual(new Set([200]));
    expect((await send(DAEMONS)).status).toEqual(200);
    expect(north.arrivals.length).toEqual(0);
    site.store.write(ORDER, undefined);
    await untilEvacuated();
    await sendAll();
    expect(north.arrivals.length > 0).toEqual(true);
  });

  it('has its requests refused at once, with a time to come back, where no other has a runner', async () => {
    south.stop();
    site.store.write(`servers/${south.id}`, undefined);
    site.store.write(ORDER, {});
    await untilEvacuated('north');
    const isGone = () =>
      site.daemons.every(({ daemon }) => daemon.knowledge.runners.get(south.id) === undefined);
    await site.until(isGone);
    const answer = await send(0);
    expect([answer.status, Number(answer.headers['retry-after']) >= 1]).toEqual([503, true]);
    expect(north.arrivals.length).toEqual(0);
  });

  it('lets an answer that is under way go on to its end', async () => {
    const events = { events: 40, eventMilliseconds: 5 };
    await site.addRunner({ id: 'engine-1', service: 'engine', dataCentre: 'north', ...events });
    const [first] = site.daemons;
    await site.until(() => first?.daemon.knowledge.runners.get('engine-1') !== undefined);
    const headers = { 'Prompt-Prefix': 'aa:10,bb:5' };
    const address = first?.settings.addresses.callers ?? '';
    const answered = callSite({ address, path: '/chat/1', method: 'POST', headers });
    await site.until(() => site.runners.some(({ id, ran }) => id === 'engine-1' && ran.length > 0));
    site.store.write(ORDER, {});
    await untilEvacuated('north');
    expect((await answered).body.match(/token/gu)?.length).toEqual(events.events);
  });

  it('changes nothing where the order cannot be read', async () => {
    const notJson = site.store.write(ORDER, 'not an order');
    await site.until(() =>
      site.daemons.every(({ daemon }) => daemon.knowledge.revision >= notJson),
    );
    await sendAll();
    expect(north.arrivals.length > 0).toEqual(true);
  });
});
