/**
 * A request that crashes each runner that runs it, and comes again at all daemons.
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
    await site.until(() =>
      site.daemons.every(
        ({ daemon }) => daemon.isReady && daemon.knowledge.daemons.size === DAEMONS,
      ),
    );
    await site.until(() =>
      site.daemons.every(({ daemon }) => daemon.knowledge.secret !== undefined),
    );
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

  for (const path of ['/draft/1', '/chat/1']) {
    it(`reaches no runner any more soon after it has crashed three: ${path}`, async () => {
      const arrivals = await arrivalsAfterThreeCrashes(path);
      expect(arrivals <= LATE_ARRIVALS).toEqual(true);
      const answer = await send('a sound prompt', path);
      expect([answer.status, answer.isComplete]).toEqual([200, true]);
    });
  }
});
