/**
 * A request that crashes each runner that runs it, and is repeated at all daemons.
 */
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { callSite } from '../standIns/site/callSite.js';
import type { SiteAnswer } from '../standIns/site/callSite.js';
import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const DAEMONS = 3;
const RUNNERS = 8;

/** Crashes after which a request is not to run any more. */
const CRASHES = 3;

/** Arrivals that are allowed once all daemons had the time to know, in all. */
const LATE_ARRIVALS = 3;

/** In which all daemons have to know, in ms. */
const KNOWN_MILLISECONDS = 3_000;

/** Times that it comes again after that. */
const REPEATS = 30;

const FATAL = 'fatal prompt';

describe('a request that crashes runners', () => {
  let site: StandInSite;
  let runners: SiteRunner[];
  let sent: number;

  /** Sends it to the daemons in turn. */
  function send(body: string, path: string): Promise<SiteAnswer> {
    const address = site.daemons[sent % DAEMONS]?.settings.addresses.callers ?? '';
    sent += 1;
    return callSite({ address, path, body, headers: { 'Prompt-Prefix': 'aa:10,bb:5' } });
  }

  function crashes(): number {
    return runners.reduce((sum, runner) => sum + runner.crashes, 0);
  }

  function fatalRuns(): number {
    return runners.flatMap(({ ran }) => ran).filter(({ body }) => body === FATAL).length;
  }

  beforeEach(async () => {
    sent = 0;
    site = new StandInSite({ changeBoundMilliseconds: 500 });
    await site.start();
    const isFatal = ({ body }: { body: string }) => body === FATAL;
    runners = await Promise.all(
      Array.from({ length: RUNNERS }, (_, index) =>
        site.addRunner({ id: `engine-${index}`, service: 'engine', isFatal }),
      ),
    );
    await site.addRunner({ id: 'plain-1', service: 'plain' });
    for (let index = 0; index < DAEMONS; index += 1) await site.addDaemon(`daemon-${index}`);
    await site.untilConnected();
  });

  afterEach(() => site.stop());

  async function arrivalsAfterThreeCrashes(path: string): Promise<number> {
    await site.until(async () => {
      await send(FATAL, path);
      return crashes() >= CRASHES;
    });
    const knownAt = performance.now() + KNOWN_MILLISECONDS;
    await site.until(async () => {
      await send(FATAL, path);
      return performance.now() > knownAt;
    });
    const before = fatalRuns();
    for (let index = 0; index < REPEATS; index += 1) await send(FATAL, path);
    return fatalRuns() - before;
  }

  async function quarantine(): Promise<void> {
    await site.until(async () => (await send(FATAL, '/draft/1')).body.includes('quarantined'));
  }

  it('is refused at once by a daemon that starts while the store is away', async () => {
    await quarantine();
    const seeds = site.daemons.map(({ settings }) => settings.addresses.peers);
    site.store.faultFor({ fault: 'busy' });
    const { daemon, settings } = await site.addDaemon('daemon-late', seeds);
    await site.until(() => daemon.isReady);
    const before = fatalRuns();
    await site.until(async () => {
      const address = settings.addresses.callers;
      const headers = { 'Prompt-Prefix': 'aa:10,bb:5' };
      const answer = await callSite({ address, path: '/draft/1', body: FATAL, headers });
      return answer.body.includes('quarantined');
    });
    expect(fatalRuns() - before <= LATE_ARRIVALS).toEqual(true);
  });

  it('is still refused after all daemons have ended and started again', async () => {
    await quarantine();
    await site.until(() => site.store.keys('fleet/quarantine').length > 0);
    for (const { daemon, closeRoles } of site.daemons.splice(0)) {
      closeRoles();
      await daemon.stop();
    }
    const { daemon } = await site.addDaemon('daemon-0');
    await site.until(() => daemon.isReady);
    sent = 0;
    const answer = await send(FATAL, '/draft/1');
    expect([answer.status, Number(answer.headers['retry-after']) > 0]).toEqual([503, true]);
  });

  it('runs again once an operator has released it', async () => {
    await quarantine();
    const metrics = `http://${site.daemons[0]?.settings.addresses.metrics}/quarantine`;
    const page = (await (await fetch(metrics)).json()) as { requests: { digest: string }[] };
    const [listed] = page.requests;
    const released = await fetch(`${metrics}/${listed?.digest}`, { method: 'DELETE' });
    expect(released.status).toEqual(204);
    const before = fatalRuns();
    await site.until(async () => {
      await send(FATAL, '/draft/1');
      return fatalRuns() > before;
    });
    const unknown = await fetch(`${metrics}/unknown`, { method: 'DELETE' });
    expect(unknown.status).toEqual(404);
  });

  for (const path of ['/draft/1', '/chat/1']) {
    it(`reaches no runner any more soon after it has crashed three: ${path}`, async () => {
      const arrivals = await arrivalsAfterThreeCrashes(path);
      expect(arrivals <= LATE_ARRIVALS).toEqual(true);
      const answer = await send('a sound prompt', path);
      expect([answer.status, answer.isComplete]).toEqual([200, true]);
    });
  }
});
