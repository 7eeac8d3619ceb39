/**
 * Retries of the whole fleet while its runners fail and its daemons restart.
 */
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { callSite } from '../standIns/site/callSite.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const DAEMONS = 3;

/** Of each daemon between two starts. */
const REQUESTS = 25;

const STARTS = 4;

const WINDOW_MILLISECONDS = 10_000;

function within(times: readonly number[], from: number): number {
  return times.filter((time) => time >= from && time < from + WINDOW_MILLISECONDS).length;
}

describe('the retry budget of a fleet', () => {
  let site: StandInSite;
  let repeats: number[];
  let requests: number[];

  beforeEach(async () => {
    const known = new Set<string>();
    repeats = [];
    requests = [];
    site = new StandInSite();
    await site.start();
    const onRan = ({ id = '' }: { id: string | undefined }) => {
      if (known.has(id)) repeats.push(performance.now());
      known.add(id);
    };
    for (let index = 0; index < 4; index += 1) {
      const runner = await site.addRunner({ id: `plain-${index}`, service: 'plain', onRan });
      runner.behaviour = 'fails';
    }
  });

  afterEach(() => site.stop());

  async function startDaemons(): Promise<void> {
    for (let index = 0; index < DAEMONS; index += 1) await site.addDaemon(`daemon-${index}`);
    await site.until(() =>
      site.daemons.every(
        ({ daemon }) => daemon.isReady && daemon.knowledge.daemons.size === DAEMONS,
      ),
    );
  }

  async function sendAll(): Promise<void> {
    for (const { settings } of site.daemons) {
      const address = settings.addresses.callers;
      for (let count = 0; count < REQUESTS; count += 1) {
        requests.push(performance.now());
        await callSite({ address, path: '/read/1' });
      }
    }
  }

  async function endDaemons(): Promise<void> {
    const ended = site.daemons.splice(0).map(({ daemon, closeRoles }) => {
      closeRoles();
      return daemon.stop();
    });
    await Promise.all(ended);
  }

  // Guards against a retry allowance that each incarnation of a daemon gets anew.
  it('is kept over the lives of daemons that start again', async () => {
    for (let start = 0; start < STARTS; start += 1) {
      if (start > 0) await endDaemons();
      await startDaemons();
      await sendAll();
    }
    const { ratio, allowance } = site.daemons[0]!.settings.retryBudget;
    const excesses = repeats.map(
      (from) => within(repeats, from) - ratio * within(requests, from) - allowance,
    );
    expect(Math.max(...excesses) <= 0).toEqual(true);
    expect(repeats.length > 0).toEqual(true);
  });
});
