/**
 * A runner that starts again under its id, at another software version, while the platform's store does not answer.
 */
import { after, afterEach, before, describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';

import { expect } from 'earl';

import { callSite } from '../standIns/site/callSite.js';
import { SiteProcesses } from '../standIns/site/SiteProcesses.js';
import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { countEvents } from '../standIns/site/siteStreams.js';
import { StandInSite } from '../standIns/site/StandInSite.js';
import { startDaemons } from './startDaemons.js';

const RUNNERS = 6;

const EVENTS = 30;
const EVENT_MILLISECONDS = 100;

/** How long all daemons work before the store becomes silent, in ms. */
const QUIET_MILLISECONDS = 2_000;

/** How long the store is silent, in ms. */
const SILENT_MILLISECONDS = 8_000;

/** From the beginning of the silence to the first crash, from there to the second one, and on to the last stream; in ms. */
const FIRST_CRASH_MILLISECONDS = 500;
const SECOND_CRASH_MILLISECONDS = 7_000;
const REST_MILLISECONDS = 2_000;

/** How long the runner is down after a crash, in ms. */
const DOWN_MILLISECONDS = 1_000;

const STREAM_INTERVAL_MILLISECONDS = 50;

/** Streams that may hold events of two versions: it is not known at once that a runner has started again. */
const ALLOWED_MIXED = 2;

/** Smallest share of the streams sent during the silence that begin, and of the others' broken streams that go on. */
const FEWEST_SHARE = 0.9;

/** Runners that break a stream off although they are not in doubt do so this long after the first crash, in ms. */
const CUT_MILLISECONDS = 4_500;

interface SeenStream {
  readonly sentAt: number;
  readonly body: string;
  readonly isComplete: boolean;
}

for (const { daemons, inProcesses, servesReport } of [
  { daemons: 6, inProcesses: false, servesReport: false },
  { daemons: 6, inProcesses: false, servesReport: true },
  { daemons: 20, inProcesses: true, servesReport: true },
]) {
  const how = servesReport ? 'that report their start' : 'that report nothing';

  describe(`a runner of ${daemons} daemons, ${how}, back at another version while the store is silent`, () => {
    let site: StandInSite;
    let runners: SiteRunner[];
    let processes: SiteProcesses | undefined;

    /** Ids of streams that a runner not in doubt has broken off. */
    const cutIds = new Set<string>();

    before(() => {
      if (inProcesses) processes = new SiteProcesses();
    });

    after(() => processes?.remove());

    afterEach(async () => {
      await processes?.kill();
      await site.stop();
    });

    async function start(): Promise<readonly string[]> {
      site = new StandInSite({ retryRatio: 2, changeBoundMilliseconds: 1_000 });
      await site.start();
      runners = [];
      for (let index = 0; index < RUNNERS; index += 1) {
        const runner: SiteRunner = await site.addRunner({
          id: `engine-${index}`,
          service: 'engine',
          echoes: true,
          events: EVENTS,
          eventMilliseconds: EVENT_MILLISECONDS,
          downMilliseconds: DOWN_MILLISECONDS,
          servesReport,
          onRan: ({ id = '', headers }) => {
            const isResumed = headers['last-event-id'] !== undefined;
            if (runner.behaviour === 'cuts_stream' && !isResumed) cutIds.add(id);
          },
        });
        runners.push(runner);
      }
      const settings = await startDaemons(site, daemons, processes);
      return settings.map(({ addresses }) => addresses.callers);
    }

    /** Sends streams to all daemons in turn while a runner crashes twice. */
    async function play(addresses: readonly string[]): Promise<Map<string, SeenStream>> {
      const seen = new Map<string, SeenStream>();
      const calls: Promise<void>[] = [];
      let isOver = false;
      const send = async (index: number) => {
        const id = `stream-${index}`;
        const headers = { 'Prompt-Prefix': `a${index}:80,b${index}:20`, 'Attempt-Id': id };
        const address = addresses[index % addresses.length] as string;
        const sentAt = performance.now();
        const { body, isComplete } = await callSite({ address, path: '/chat/x', headers });
        seen.set(id, { sentAt, body, isComplete });
      };
      const traffic = (async () => {
        for (let index = 0; !isOver; index += 1) {
          calls.push(send(index).catch(() => undefined));
          await pause(STREAM_INTERVAL_MILLISECONDS);
        }
      })();
      const [changed, other] = runners as [SiteRunner, SiteRunner];
      await pause(QUIET_MILLISECONDS);
      site.store.faultFor({ fault: 'silent' });
      const ends = setTimeout(() => site.store.faultFor({ fault: 'none' }), SILENT_MILLISECONDS);
      await pause(FIRST_CRASH_MILLISECONDS);
      changed.crash();
      changed.version = 'v2';
      await pause(CUT_MILLISECONDS);
      other.behaviour = 'cuts_stream';
      await pause(SECOND_CRASH_MILLISECONDS - CUT_MILLISECONDS);
      other.behaviour = 'answers';
      changed.crash();
      await pause(REST_MILLISECONDS);
      isOver = true;
      await traffic;
      await Promise.all(calls);
      clearTimeout(ends);
      return seen;
    }

    function versionsIn(body: string): Set<string | undefined> {
      return new Set([...body.matchAll(/ by (\S+)$/gmu)].map(([, version]) => version));
    }

    it('writes no stream together with a runner of its former version, and streams go on', async () => {
      // Guards against a doubt that ends by the clock, after which the runner is taken for the one that had its id before.
      const addresses = await start();
      const silentFrom = performance.now() + QUIET_MILLISECONDS;
      const seen = await play(addresses);
      const mixed = [...seen].filter(([, { body }]) => versionsIn(body).size > 1);
      expect(mixed.map(([id]) => id).length).toBeLessThanOrEqual(ALLOWED_MIXED);
      const isDuringSilence = ({ sentAt }: SeenStream) =>
        sentAt >= silentFrom && sentAt < silentFrom + SILENT_MILLISECONDS;
      const during = [...seen.values()].filter(isDuringSilence);
      const begun = during.filter(({ body }) => countEvents(body) > 0);
      expect(during.length).toBeGreaterThan(SILENT_MILLISECONDS / STREAM_INTERVAL_MILLISECONDS / 2);
      expect(begun.length).toBeGreaterThanOrEqual(during.length * FEWEST_SHARE);
      const cut = [...cutIds].flatMap((id) => seen.get(id) ?? []);
      const whole = cut.filter(
        ({ body, isComplete }) => isComplete && countEvents(body) === EVENTS,
      );
      expect(cut.length).toBeGreaterThan(2);
      expect(whole.length).toBeGreaterThanOrEqual(cut.length * FEWEST_SHARE);
    });
  });
}
