/**
 * A site most of whose runners are down at any time, one after the other, while their hosts refuse connections.
 */
import { Agent } from 'node:http';
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { callSite } from '../standIns/site/callSite.js';
import { sendAtRate } from '../standIns/site/sendAtRate.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const DAEMONS = 6;
const RUNNERS = 12;

/** Runners end one after the other, so that one or two are up at a time. */
const DOWN_MILLISECONDS = 2_000;
const CRASH_MILLISECONDS = 190;

/** Time after which runners are listed in a slow list. */
const LISTED_LATE_MILLISECONDS = 400;

const REQUESTS_PER_SECOND = 80;

const PLAYED_MILLISECONDS = 6_000;

describe('runners that are down', () => {
  let site: StandInSite;
  const agents: Agent[] = [];

  /** Ends the runner that has been up for longest, unless it is the only one. */
  function endOne(): void {
    const [longest, ...others] = site.runners
      .filter(({ isUp }) => isUp)
      .sort((one, other) => one.crashes - other.crashes);
    if (others.length > 0) longest?.crash();
  }

  afterEach(async () => {
    for (const agent of agents.splice(0)) agent.destroy();
    await site.stop();
  });

  /**
   * @param listedAfterMilliseconds - how long after its restart a runner is in the platform's list again.
   * @returns Numbers of requests by their outcome.
   */
  async function play(listedAfterMilliseconds: number): Promise<ReadonlyMap<string, number>> {
    site = new StandInSite({ changeBoundMilliseconds: 500, pollMilliseconds: 2 });
    await site.start();
    for (let index = 0; index < RUNNERS; index += 1) {
      const id = `engine-${index}`;
      await site.addRunner({
        id,
        service: 'engine',
        downMilliseconds: DOWN_MILLISECONDS,
        listedAfterMilliseconds,
        eventMilliseconds: 100,
      });
    }
    for (let index = 0; index < DAEMONS; index += 1) {
      await site.addDaemon(`daemon-${index}`);
      agents.push(new Agent({ keepAlive: true }));
    }
    await site.until(() =>
      site.daemons.every(({ daemon }) => daemon.knowledge.runners.size === RUNNERS),
    );
    const startedAt = performance.now();
    const crashes = setInterval(endOne, CRASH_MILLISECONDS);
    const outcomes = new Map<string, number>();
    const send = async (number: number) => {
      const index = number % DAEMONS;
      const answer = await callSite({
        address: site.daemons[index]?.settings.addresses.callers ?? '',
        path: `/chat/${number}`,
        headers: { 'Prompt-Prefix': `a${number % 4}:10,b${number % 20}:10,c${number}:5` },
        ...(agents[index] && { agent: agents[index] }),
      });
      const outcome = answer.status === 200 && answer.isComplete ? 'served' : answer.body;
      outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    };
    const now = () => performance.now() - startedAt;
    const load = { site, now, perSecond: REQUESTS_PER_SECOND, until: PLAYED_MILLISECONDS };
    await sendAtRate(load, send);
    clearInterval(crashes);
    return outcomes;
  }

  function unreached(outcomes: ReadonlyMap<string, number>): [string, number][] {
    return [...outcomes].filter(([outcome]) => /no_path|not_connected/.test(outcome));
  }

  // Guards against a daemon that takes several runners that refuse connections for the loss of its path to all.
  it('are not taken for a lost path by a daemon that reaches others', async () => {
    expect(unreached(await play(0))).toEqual([]);
  });

  // Guards against the end of a request after a few refused connections, while a runner that has started again is up.
  it('do not use up the attempts of requests before they are listed again', async () => {
    expect(unreached(await play(LISTED_LATE_MILLISECONDS))).toEqual([]);
  });
});
