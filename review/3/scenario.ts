/**
 * The last runner of an older software version is replaced while it still serves streams, and all daemons are killed and
 * start again. Clients take their streams up; none may get events of the newer version behind those of the older one.
 */
import { request as sendRequest } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

import { SITE_HOST, SITE_KEY } from '../../standIns/site/StandInSite.js';
import type { SiteRunner } from '../../standIns/site/SiteRunner.js';
import { ReviewedSite } from '../support/reviewSite.js';
import { hasTrouble, runScenario } from '../support/runScenario.js';

const DAEMONS = 3;

const SERVICE = 'engine';
const OLD = 'v1';
const NEW = 'v2';

/** Runners of the newer version that serve beside the last one of the older version; one of four is replaced. */
const NEW_RUNNERS = 3;

const EVENTS = 60;
const EVENT_MILLISECONDS = 60;

const STREAMS = 240;
const INTERVAL_MILLISECONDS = 50;

/** When the older runner is replaced, counted from the first stream. */
const RELEASE_MILLISECONDS = 7_000;

/** A runner that never reports `draining` serves for `drain_ms`, here 2,000, and longer after its entry was removed. */
const SERVES_ON_MILLISECONDS = 6_000;

/** How long after the removal of the entry all daemons are killed, and how long until they are started again. */
const KILL_MILLISECONDS = 1_000;
const RESTART_MILLISECONDS = 300;

/** Clients try again a few times within their deadline. */
const TRIES = 5;
const PAUSE_MILLISECONDS = 600;
const DEADLINE_MILLISECONDS = 15_000;

/** More streams than this with events of two versions break the rule. */
const MOST_MIXED = 2;

interface Stream {
  readonly id: string;
  readonly prefix: string;
  body: string;
  tries: number;
  isComplete: boolean;
}

const lastIdOf = (body: string) => [...body.matchAll(/id: (\d+)\n/gu)].at(-1)?.[1];

const versionsIn = (body: string) => [
  ...new Set([...body.matchAll(/ by (\S+)\n/gu)].map(([, version]) => version)),
];

/** Only whole events count; what was broken off inside one comes again. */
const wholeEvents = (body: string) => body.slice(0, body.lastIndexOf('\n\n') + 2);

await runScenario('review/3', async (record) => {
  const reviewed = new ReviewedSite();
  await reviewed.start([
    {
      ...{ name: 'help', path_prefix: '/help/', kind: 'streaming', service: SERVICE },
      ...{ timeout_ms: DEADLINE_MILLISECONDS, target_latency_ms: 600, max_attempts: 2 },
      ...{ sticky: true, resumable: true },
    },
  ]);
  const { site } = reviewed;
  const addRunner = (id: string, version: string): Promise<SiteRunner> =>
    site.addRunner({
      ...{ id, version, service: SERVICE, events: EVENTS, slots: 64, echoes: true },
      eventMilliseconds: EVENT_MILLISECONDS,
      onRan: ({ id: attemptId, headers }) =>
        record(
          `${id} (${version}) runs ${attemptId} after event ${headers['last-event-id'] ?? 'none'}`,
        ),
    });
  const old = await addRunner('old', OLD);
  for (let number = 1; number <= NEW_RUNNERS; number += 1) await addRunner(`new-${number}`, NEW);
  await reviewed.startDaemons(DAEMONS);
  await wait(2_000);

  function attempt(stream: Stream, address: string): Promise<void> {
    const [host, port] = address.split(':');
    const attemptId = stream.tries === 1 ? stream.id : `${stream.id}-try-${stream.tries}`;
    const last = lastIdOf(stream.body);
    const takesUp = last !== undefined && { 'Last-Event-Id': last, Resumes: stream.id };
    return new Promise((done) => {
      const request = sendRequest({
        ...{ host, port, path: '/help/a', method: 'POST', agent: false },
        headers: {
          ...{ Host: SITE_HOST, Credential: SITE_KEY, 'Attempt-Id': attemptId, Model: 'm' },
          'Deadline-Ms': String(DEADLINE_MILLISECONDS),
          'Token-Usage': '40,60',
          'Prompt-Prefix': stream.prefix,
          ...takesUp,
        },
      });
      request.on('error', () => undefined);
      request.once('response', (response) => {
        const { statusCode } = response;
        let received = '';
        response.on('error', () => undefined);
        response.on('data', (chunk: Buffer) => {
          received += chunk.toString();
        });
        response.once('close', () => {
          const { complete } = response;
          const end = complete ? 'whole' : 'broken off';
          record(`${attemptId} got ${statusCode}, ${end}, versions ${versionsIn(received).join()}`);
          if (statusCode !== 200) return;
          Object.assign(stream, { body: wholeEvents(stream.body + received) });
          Object.assign(stream, { isComplete: complete });
        });
      });
      request.once('close', () => done());
      request.end(`question of ${stream.id}`);
    });
  }

  async function follow(stream: Stream, number: number): Promise<void> {
    while (stream.tries < TRIES && !stream.isComplete) {
      if (stream.tries > 0) await wait(PAUSE_MILLISECONDS);
      Object.assign(stream, { tries: stream.tries + 1 });
      await attempt(stream, reviewed.addressOf(number + stream.tries));
    }
  }

  async function release(): Promise<void> {
    await wait(RELEASE_MILLISECONDS);
    await addRunner(`new-${NEW_RUNNERS + 1}`, NEW);
    site.store.write(`servers/${old.id}`, undefined);
    record(`${old.id} is replaced: its entry is removed, and it serves on`);
    await wait(KILL_MILLISECONDS);
    if (hasTrouble) {
      record('all daemons are killed');
      await Promise.all(reviewed.processes.map((one) => one.kill()));
      await wait(RESTART_MILLISECONDS);
      for (const one of reviewed.processes) one.start();
      record('all daemons are started again');
    }
    await wait(SERVES_ON_MILLISECONDS - KILL_MILLISECONDS);
    old.stop();
    record(`${old.id} has ended`);
  }

  const released = release();
  const streams: Stream[] = [];
  const followed: Promise<void>[] = [];
  for (let number = 1; number <= STREAMS; number += 1) {
    const prefix = `a${number % 24}:30,${number.toString(16)}f:10`;
    const stream = { id: `stream-${number}`, prefix, body: '', tries: 0, isComplete: false };
    streams.push(stream);
    followed.push(follow(stream, number));
    await wait(INTERVAL_MILLISECONDS);
  }
  await Promise.all([...followed, released]);
  const mixed = streams.filter(({ body }) => versionsIn(body).length > 1);
  for (const { id, body, tries } of mixed) {
    const switched = body.split('\n\n').filter((event) => event.includes(` by ${OLD}`)).length;
    record(`${id}: ${switched} events of ${OLD}, then events of ${NEW}; ${tries} tries`);
  }
  const whole = streams.filter(({ isComplete }) => isComplete).length;
  const taken = streams.filter(({ tries }) => tries > 1).length;
  record(`${whole} of ${STREAMS} streams whole, ${taken} were tried again`);
  record(`${mixed.length} streams hold events of two versions`);
  await reviewed.stop();
  if (mixed.length > MOST_MIXED) return 'broken';
  return whole < STREAMS / 2 || (hasTrouble && taken === 0) ? 'not_run' : 'held';
});
