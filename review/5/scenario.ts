/**
 * Half of the daemons lose power, and the first runner of a newer software version starts meanwhile. Clients take the streams
 * up that broke off, at the daemons that ran all the while; runners of the older version still serve.
 */
import { request as sendRequest } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

import { SITE_HOST, SITE_KEY } from '../../standIns/site/StandInSite.js';
import { ReviewedSite } from '../support/reviewSite.js';
import { hasTrouble, runScenario } from '../support/runScenario.js';

const DAEMONS = 6;

/** `herd_kill` concerns a share of 0.55 at most, with `power` for 2.0 s. */
const KILLED = 3;

const SERVICE = 'engine';
const OLD = 'v1';
const NEW = 'v2';

const OLD_RUNNERS = 4;

const EVENTS = 60;
const EVENT_MILLISECONDS = 60;

const STREAMS = 320;
const INTERVAL_MILLISECONDS = 40;

/** When the first runner of the newer version starts, counted from the first stream. */
const RELEASE_MILLISECONDS = 7_000;

/** When half of the daemons lose power, and for how long. */
const LOSS_MILLISECONDS = 6_000;
const DARK_MILLISECONDS = 2_000;

/** The daemons have run for longer than a stream may last and be taken up. */
const WARM_UP_MILLISECONDS = 28_000;

/** Clients try again a few times within their deadline, the first time after this pause. */
const TRIES = 2;
const PAUSE_MILLISECONDS = 500;
const DEADLINE_MILLISECONDS = 15_000;

/** So many streams at least have to be taken up, and a share of them has to go on. */
const FEWEST_TAKEN_UP = 12;
const SHARE_THAT_GOES_ON = 0.5;

interface Stream {
  readonly id: string;
  readonly prefix: string;
  body: string;
  /** Status of its second try; 0 if there was none. */
  takeUp: number;
  tries: number;
  isComplete: boolean;
}

const lastIdOf = (body: string) => [...body.matchAll(/id: (\d+)\n/gu)].at(-1)?.[1];

const versionsIn = (body: string) => [
  ...new Set([...body.matchAll(/ by (\S+)\n/gu)].map(([, version]) => version)),
];

/** Only whole events count; what was broken off inside one comes again. */
const wholeEvents = (body: string) => body.slice(0, body.lastIndexOf('\n\n') + 2);

await runScenario('review/5', async (record) => {
  const reviewed = new ReviewedSite();
  await reviewed.start([
    {
      ...{ name: 'help', path_prefix: '/help/', kind: 'streaming', service: SERVICE },
      ...{ timeout_ms: DEADLINE_MILLISECONDS, target_latency_ms: 600, max_attempts: 2 },
      ...{ sticky: true, resumable: true },
    },
  ]);
  const { site } = reviewed;
  const addRunner = (id: string, version: string) =>
    site.addRunner({
      ...{ id, version, service: SERVICE, events: EVENTS, slots: 64, echoes: true },
      eventMilliseconds: EVENT_MILLISECONDS,
      onRan: ({ id: attemptId, headers }) =>
        record(
          `${id} (${version}) runs ${attemptId} after event ${headers['last-event-id'] ?? 'none'}`,
        ),
    });
  for (let number = 1; number <= OLD_RUNNERS; number += 1) await addRunner(`old-${number}`, OLD);
  await reviewed.startDaemons(DAEMONS);
  await wait(WARM_UP_MILLISECONDS);

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
        if (takesUp) Object.assign(stream, { takeUp: statusCode });
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

  /** The daemon of a try; streams are taken up at the daemons that are not killed. */
  function addressFor(stream: Stream, number: number): string {
    const isKilled = number % DAEMONS < KILLED;
    const survivor = KILLED + (number % (DAEMONS - KILLED));
    return reviewed.addressOf(stream.tries > 1 && isKilled ? survivor : number % DAEMONS);
  }

  async function follow(stream: Stream, number: number): Promise<void> {
    while (stream.tries < TRIES && !stream.isComplete) {
      if (stream.tries > 0) await wait(PAUSE_MILLISECONDS);
      Object.assign(stream, { tries: stream.tries + 1 });
      await attempt(stream, addressFor(stream, number));
    }
  }

  async function release(): Promise<void> {
    await wait(RELEASE_MILLISECONDS);
    await addRunner('new-1', NEW);
    record(`new-1 starts, of ${NEW}; all runners of ${OLD} serve on`);
  }

  /** A machine without power is silent; its processes are gone once it is back. */
  async function losePower(): Promise<void> {
    await wait(LOSS_MILLISECONDS);
    if (!hasTrouble) return;
    const dark = reviewed.processes.slice(0, KILLED);
    record(`${KILLED} of ${DAEMONS} daemons lose power`);
    for (const one of dark) one.signal('SIGSTOP');
    await wait(DARK_MILLISECONDS);
    await Promise.all(dark.map((one) => one.kill()));
    for (const one of dark) one.start();
    record('they have power again and are started');
  }

  const released = Promise.all([release(), losePower()]);
  const streams: Stream[] = [];
  const followed: Promise<void>[] = [];
  for (let number = 1; number <= STREAMS; number += 1) {
    const prefix = `a${number % 24}:30,${number.toString(16)}f:10`;
    const stream = {
      id: `stream-${number}`,
      prefix,
      body: '',
      takeUp: 0,
      tries: 0,
      isComplete: false,
    };
    streams.push(stream);
    followed.push(follow(stream, number));
    await wait(INTERVAL_MILLISECONDS);
  }
  await Promise.all([...followed, released]);
  const taken = streams.filter(({ takeUp }) => takeUp > 0);
  const goesOn = taken.filter(({ takeUp }) => takeUp === 200).length;
  const begun = streams.filter(({ body }) => body !== '').length;
  const whole = streams.filter(({ isComplete }) => isComplete).length;
  record(`${begun} of ${STREAMS} streams began, ${whole} are whole`);
  record(
    `${taken.length} were taken up at daemons that ran all the while, ${goesOn} of them went on`,
  );
  await reviewed.stop();
  if (hasTrouble && taken.length < FEWEST_TAKEN_UP) return 'not_run';
  const shareOfNew = begun / STREAMS;
  const isBroken =
    taken.length >= FEWEST_TAKEN_UP && goesOn / taken.length < shareOfNew * SHARE_THAT_GOES_ON;
  return isBroken ? 'broken' : 'held';
});
