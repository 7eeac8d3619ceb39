/**
 * Runners that announce in their answers that they leave, while the store still lists them as ready.
 */
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { callSite } from '../standIns/site/callSite.js';
import type { SiteAnswer } from '../standIns/site/callSite.js';
import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const DAEMONS = 3;
const RUNNERS = 3;
const REQUESTS = 60;

/** In which a runner that leaves must get no more requests, in ms. */
const DRAIN_MILLISECONDS = 2_000;

describe('a runner whose answers say that it leaves', () => {
  let site: StandInSite;
  let runners: SiteRunner[];
  let leaving: SiteRunner;

  function send(daemon: number): Promise<SiteAnswer> {
    const address = site.daemons[daemon]?.settings.addresses.callers ?? '';
    return callSite({ address, path: '/read/1' });
  }

  async function sendMany(daemon: number): Promise<void> {
    for (let index = 0; index < REQUESTS; index += 1) await send(daemon);
  }

  beforeEach(async () => {
    site = new StandInSite({ changeBoundMilliseconds: 500 });
    await site.start();
    runners = await Promise.all(
      Array.from({ length: RUNNERS }, (_, index) =>
        site.addRunner({ id: `plain-${index}`, service: 'plain' }),
      ),
    );
    [leaving] = runners as [SiteRunner];
    for (let index = 0; index < DAEMONS; index += 1) await site.addDaemon(`daemon-${index}`);
    await site.untilConnected();
  });

  afterEach(() => site.stop());

  /** Sends until the leaving runner has answered once by way of a daemon, and waits for the time that it has to. */
  async function hearItLeave(daemon: number): Promise<void> {
    site.store.faultFor({ fault: 'busy' });
    leaving.saysLeaving = true;
    await site.until(async () => (await send(daemon)).headers['server-leaving'] !== undefined);
    const heardAt = performance.now();
    await site.until(() => performance.now() > heardAt + DRAIN_MILLISECONDS);
    leaving.arrivals.splice(0);
  }

  it('gets no more requests from the daemon that it has told', async () => {
    await hearItLeave(0);
    await sendMany(0);
    expect(leaving.arrivals.length).toEqual(0);
  });

  it('is believed at the head of a stream, while the rest is on its way', async () => {
    const events = { events: 1_000, eventMilliseconds: 1 };
    const engine = await site.addRunner({ id: 'engine-1', service: 'engine', ...events });
    const [first] = site.daemons;
    const runnersOfFirst = first?.daemon.knowledge.runners;
    await site.until(() => runnersOfFirst?.get(engine.id) !== undefined);
    engine.saysLeaving = true;
    let leavingLives: readonly string[] = [];
    const answer = await callSite({
      address: first?.settings.addresses.callers ?? '',
      path: '/chat/1',
      headers: { 'Prompt-Prefix': 'aa:10,bb:5' },
      onData: () => {
        leavingLives = runnersOfFirst?.leavingLives ?? [];
      },
    });
    expect(leavingLives.length).toEqual(1);
    expect([answer.status, answer.isComplete]).toEqual([200, true]);
  });

  it('gets no more requests from the others', async () => {
    await hearItLeave(0);
    await sendMany(1);
    expect(leaving.arrivals.length).toEqual(0);
  });
});
