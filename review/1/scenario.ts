/**
 * Some answers of a service's runners come in chunks of one byte, without end. Requests that other runners, which are sound,
 * work on are lost as the daemons end.
 */
import { Agent, request as sendRequest } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

import { SITE_HOST, SITE_KEY } from '../../standIns/site/StandInSite.js';
import type { SiteProcess } from '../../standIns/site/SiteProcess.js';
import { Garble } from '../support/Garble.js';
import { headOf, RawRunner } from '../support/RawRunner.js';
import type { RawRequest } from '../support/RawRunner.js';
import { ReviewedSite } from '../support/reviewSite.js';
import { hasTrouble, runScenario } from '../support/runScenario.js';

const DAEMONS = 3;
const ENGINES = 5;
const SOUND_RUNNERS = 3;

const STREAMS_PER_SECOND = 44;
const CALLS_PER_SECOND = 20;
const LENGTH_MILLISECONDS = 88_000;

/** Prompts are read before the first event, with which the head of the answer comes. */
const READING_MILLISECONDS = 200;
const EVENTS = 12;
const EVENT_MILLISECONDS = 25;
const WORK_MILLISECONDS = 20;

/** A spoiled body: so many chunks of one byte at a time. */
const CHUNKS_AT_ONCE = 1_500;
const CHUNKS_MILLISECONDS = 25;

/** Clients leave a stream that brings no event for this long: eight times the longest pause that counts as on time. */
const STREAM_PATIENCE_MILLISECONDS = 6_400;
const CALL_PATIENCE_MILLISECONDS = 2_000;

/** How long after its end a process is started again. */
const RESTART_MILLISECONDS = 300;

/** More calls than this that were passed on from a kept connection and got no answer break the rule. */
const MOST_LOST = 3;

const BODY = 'the whole answer';
const SPOILED_CHUNKS = '1\r\n#\r\n'.repeat(CHUNKS_AT_ONCE);

interface KeptRequest {
  readonly id: string;
  readonly daemon: number;
  readonly isStream: boolean;
  isKept: boolean;
  isComplete: boolean;
  hasGivenUp: boolean;
  status: number;
}

await runScenario('review/1', async (record) => {
  const reviewed = new ReviewedSite();
  const plain = { service: 'plain', timeout_ms: 1_000, target_latency_ms: 100 };
  await reviewed.start([
    {
      ...{ name: 'help', path_prefix: '/help/', kind: 'streaming', service: 'engine' },
      ...{ timeout_ms: 15_000, target_latency_ms: 600, max_attempts: 2 },
      ...{ sticky: true, resumable: true },
    },
    { ...plain, name: 'look', path_prefix: '/look/', kind: 'idempotent', max_attempts: 2 },
    { ...plain, name: 'book', path_prefix: '/book/', kind: 'non_idempotent', max_attempts: 1 },
  ]);
  const garble = new Garble({ runners: ENGINES, isOn: hasTrouble });
  const runners: RawRunner[] = [];
  /** Runners that have a request, by its id. */
  const ran = new Map<string, RawRunner>();
  const exits: number[] = [];
  let isOver = false;

  function spoil(request: RawRequest, runner: RawRunner): void {
    runner.recordSpoiled();
    record(`${runner.id} spoils its answer to ${request.id}: chunks of one byte without end`);
    const seal = `Response-Seal: seal-${runner.id}`;
    request.socket.write(headOf(request, '200 OK', [seal, 'Transfer-Encoding: chunked']));
    const timer = setInterval(() => {
      if (!request.socket.writableNeedDrain) request.socket.write(SPOILED_CHUNKS);
    }, CHUNKS_MILLISECONDS);
    request.socket.once('close', () => clearInterval(timer));
  }

  async function stream(request: RawRequest, runner: RawRunner): Promise<void> {
    const { socket, lastEventId } = request;
    await wait(READING_MILLISECONDS);
    const seal = `Response-Seal: seal-${runner.id}`;
    const framing = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'];
    socket.write(headOf(request, '200 OK', [seal, ...framing]));
    for (let number = Number(lastEventId ?? 0) + 1; number <= EVENTS; number += 1) {
      await wait(EVENT_MILLISECONDS);
      const event = `id: ${number}\ndata: piece ${number}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    }
    socket.write('0\r\n\r\n');
  }

  for (let number = 1; number <= ENGINES; number += 1) {
    const answer = (request: RawRequest, runner: RawRunner) => {
      garble.count(runner);
      ran.set(request.id, runner);
      if (garble.maySpoil(runner)) spoil(request, runner);
      else void stream(request, runner);
    };
    runners.push(new RawRunner({ id: `engine-${number}`, service: 'engine', answer }));
  }
  for (let number = 1; number <= SOUND_RUNNERS; number += 1) {
    const answer = (request: RawRequest, runner: RawRunner) => {
      ran.set(request.id, runner);
      const length = `Content-Length: ${BODY.length}`;
      const head = headOf(request, '200 OK', [`Response-Seal: seal-${runner.id}`, length]);
      setTimeout(() => request.socket.write(`${head}${BODY}`), WORK_MILLISECONDS);
    };
    runners.push(new RawRunner({ id: `plain-${number}`, service: 'plain', answer }));
  }
  for (const runner of runners)
    reviewed.site.store.write(`servers/${runner.id}`, await runner.start());
  await reviewed.startDaemons(DAEMONS);

  /** Starts a process again that has ended by itself, as the platform does. */
  async function watch(one: SiteProcess, index: number): Promise<void> {
    while (!isOver) {
      await one.ended();
      if (isOver) return;
      exits.push(index);
      const reason = /FATAL ERROR: [^\n]*/u.exec(one.complaints)?.[0] ?? 'without a message';
      record(`${one.settings.name} has ended by itself: ${reason}`);
      Object.assign(one, { complaints: '' });
      await wait(RESTART_MILLISECONDS);
      one.start();
    }
  }
  for (const [index, one] of reviewed.processes.entries()) void watch(one, index);

  const agents = reviewed.processes.map(() => new Agent({ keepAlive: true }));
  const requests: KeptRequest[] = [];
  function sendKept(number: number, isStream: boolean): Promise<void> {
    const daemon = number % DAEMONS;
    const [host, port] = reviewed.addressOf(daemon).split(':');
    const isLook = !isStream && number % 3 === 0;
    const id = `${isStream ? 'stream' : 'call'}-${number}`;
    const kept = { id, daemon, isStream, isKept: false, isComplete: false, hasGivenUp: false };
    const sent: KeptRequest = { ...kept, status: 0 };
    requests.push(sent);
    const path = isLook ? 'look' : 'book';
    const prompt = {
      ...{ Model: 'm', 'Token-Usage': '40,12' },
      'Prompt-Prefix': `a${number % 40}:30,${number.toString(16)}f:10`,
    };
    return new Promise((done) => {
      const request = sendRequest({
        ...{ host, port, agent: agents[daemon] },
        method: isLook ? 'GET' : 'POST',
        path: `/${isStream ? 'help' : path}/${number}`,
        headers: {
          ...{ Host: SITE_HOST, Credential: SITE_KEY, 'Attempt-Id': id },
          ...(isStream && prompt),
        },
      });
      const giveUp = () => {
        sent.hasGivenUp = true;
        request.destroy();
      };
      const patience = isStream ? STREAM_PATIENCE_MILLISECONDS : CALL_PATIENCE_MILLISECONDS;
      const timer = setTimeout(giveUp, patience);
      request.on('error', () => undefined);
      request.once('response', (response) => {
        sent.status = response.statusCode ?? 0;
        response.on('error', () => undefined);
        response.resume();
        response.once('end', () => {
          sent.isComplete = response.complete;
        });
      });
      request.once('close', () => {
        clearTimeout(timer);
        sent.isKept = request.reusedSocket;
        done();
      });
      request.end(isLook ? undefined : `content ${number}`);
    });
  }

  const pending: Promise<unknown>[] = [];
  async function sendAll(isStream: boolean, perSecond: number): Promise<void> {
    for (let number = 1; !isOver; number += 1) {
      pending.push(sendKept(number, isStream));
      await wait(1_000 / perSecond);
    }
  }
  const sending = [sendAll(true, STREAMS_PER_SECOND), sendAll(false, CALLS_PER_SECOND)];
  await wait(LENGTH_MILLISECONDS);
  isOver = true;
  await Promise.all([...sending, ...pending]);
  for (const runner of runners.slice(0, ENGINES)) record(garble.report(runner));
  const isSound = (id: string) => {
    const runner = ran.get(id);
    return runner !== undefined && !garble.isFaulty(runner);
  };
  const lost = requests.filter(
    ({ id, isKept, status, hasGivenUp }) => isKept && status === 0 && !hasGivenUp && isSound(id),
  );
  for (const { id, daemon } of lost)
    record(
      `${id}: ${ran.get(id)?.id} had it, and daemon-${daemon} closed its kept connection without an answer`,
    );
  const served = requests.filter(({ status, isComplete }) => status === 200 && isComplete).length;
  record(`${served} of ${requests.length} requests served, ${lost.length} lost`);
  record(`processes ended by themselves ${exits.length} times, at ${new Set(exits).size} daemons`);
  for (const agent of agents) agent.destroy();
  await reviewed.stop();
  for (const runner of runners) runner.stop();
  if (lost.length > MOST_LOST) return 'broken';
  return served < requests.length / 2 ? 'not_run' : 'held';
});
