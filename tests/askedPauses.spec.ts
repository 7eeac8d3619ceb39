/**
 * Runners that refuse requests with a Retry-After.
 */
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { callSite } from '../standIns/site/callSite.js';
import type { SiteAnswer } from '../standIns/site/callSite.js';
import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const RUNNERS = 3;

/** What a runner asks for, in seconds. */
const ASKED_SECONDS = 8;

/** From this time after its answer on the request counts, in ms. */
const GRACE_MILLISECONDS = 500;

/** Arrivals that are allowed until its end. */
const ALLOWED = 2;

describe('a runner that refuses with a time to come back', () => {
  let site: StandInSite;
  let runners: SiteRunner[];

  function send(): Promise<SiteAnswer> {
    const address = site.daemons[0]?.settings.addresses.callers ?? '';
    return callSite({ address, path: '/read/1' });
  }

  function arrivals({ arrivals: times }: SiteRunner): number {
    return times.length;
  }

  beforeEach(async () => {
    site = new StandInSite({ changeBoundMilliseconds: 500 });
    await site.start();
    runners = await Promise.all(
      Array.from({ length: RUNNERS }, (_, index) =>
        site.addRunner({ id: `plain-${index}`, service: 'plain' }),
      ),
    );
    await site.addDaemon('daemon-0');
    await site.until(() => site.daemons.every(({ daemon }) => daemon.isReady));
  });

  afterEach(() => site.stop());

  it('gets none until that time is over, and then serves again', async () => {
    const [refusing] = runners as [SiteRunner];
    refusing.behaviour = 'refuses';
    refusing.retryAfter = String(ASKED_SECONDS);
    await site.until(async () => {
      await send();
      return arrivals(refusing) > 0;
    });
    const [askedAt = 0] = refusing.arrivals;
    const endsAt = askedAt + ASKED_SECONDS * 1_000;
    await site.until(async () => {
      await send();
      return performance.now() > endsAt;
    });
    const late = refusing.arrivals.filter((at) => at > askedAt + GRACE_MILLISECONDS && at < endsAt);
    expect(late.length <= ALLOWED).toEqual(true);
    refusing.behaviour = 'answers';
    await site.until(async () => {
      await send();
      return refusing.ran.length > 0;
    });
  });

  it('lets callers be refused at once with the shortest time where all ask for some', async () => {
    for (const [index, runner] of runners.entries()) {
      runner.behaviour = 'refuses';
      runner.retryAfter = String(30 + index);
    }
    await site.until(async () => {
      await send();
      return runners.every((runner) => arrivals(runner) > 0);
    });
    const before = runners.map(arrivals);
    const answer = await send();
    expect(answer.status).toEqual(503);
    const retryAfter = Number(answer.headers['retry-after']);
    expect(retryAfter > 25 && retryAfter <= 30).toEqual(true);
    expect(runners.map(arrivals)).toEqual(before);
  });
});
