/**
 * Streams that break off, of which the runner that is to go on with them fails, with real daemons in one process.
 */
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../src/callers/testFakes.js';
import { forwardingLogEvents } from '../src/forwarding/forwardingFeature.js';
import {
  FAILURE_BYTE,
  FAILURE_BYTES,
  FAILURE_FRAMINGS,
  sendFailure,
} from '../src/forwarding/testFailures.js';
import type { FailureFraming } from '../src/forwarding/testFailures.js';
import { callSite } from '../standIns/site/callSite.js';
import type { ReceivedRequest } from '../standIns/site/siteRunnerTypes.js';
import { wholeStream } from '../standIns/site/siteStreams.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const DAEMONS = 3;

const RUNNERS = 8;

/** Events that the caller has when its stream breaks off. */
const EVENT_COUNTS = [0, 1, 2];

/** Within this time a daemon has found out that its path is lost, in ms. */
const NOTICED_MILLISECONDS = 2_000;

const BREAK_MILLISECONDS = 20;

describe('a stream that breaks off and whose next runner fails', () => {
  let site: StandInSite;
  let log: MemoryLog;

  /** Number of attempts of each stream that have run, by its id. */
  const attempts = new Map<string, number>();

  /** Whether the daemon closed the connection of each failure. */
  const closed: Promise<boolean>[] = [];

  afterEach(() => site.stop());

  /** Breaks the first attempt of a stream off and fails the next one, as the caller's headers say. */
  function answerRaw({ id = '', headers }: ReceivedRequest, socket: Socket): boolean {
    if (headers['x-framing'] === undefined) return false;
    const attempt = (attempts.get(id) ?? 0) + 1;
    attempts.set(id, attempt);
    const seal = `Response-Seal: s\r\nAttempt-Id: ${id}\r\n`;
    if (attempt === 1) {
      const events = wholeStream(Number(headers['x-events']));
      const head = `HTTP/1.1 200 OK\r\n${seal}Content-Type: text/event-stream\r\n`;
      socket.write(`${head}Connection: close\r\n\r\n${events}`);
      setTimeout(() => socket.resetAndDestroy(), BREAK_MILLISECONDS);
    } else {
      const head = `HTTP/1.1 500 Failure\r\n${seal}Connection: close\r\n`;
      const framing = headers['x-framing'] as FailureFraming;
      closed.push(sendFailure(socket, head, Number(headers['x-bytes']), framing));
    }
    return true;
  }

  async function start(): Promise<void> {
    log = new MemoryLog();
    attempts.clear();
    closed.length = 0;
    const bound = { changeBoundMilliseconds: 1_000, hasLinks: true };
    site = new StandInSite({ log, ...bound, retryRatio: 2 });
    await site.start();
    for (let index = 0; index < RUNNERS; index += 1) {
      await site.addRunner({ id: `plain-${index}`, service: 'plain' });
      await site.addRunner({ id: `engine-${index}`, service: 'engine', answersRaw: answerRaw });
    }
    for (let index = 0; index < DAEMONS; index += 1) await site.addDaemon(`daemon-${index}`);
    await site.untilConnected();
  }

  const addressOf = () => site.daemons[0]!.settings.addresses.callers;

  /** Cuts the first daemon off from the runners and waits until it knows. */
  async function sever(): Promise<void> {
    site.links?.sever('daemon-0', 'reset');
    const until = performance.now() + NOTICED_MILLISECONDS;
    const isCut = () => log.fieldsOf(forwardingLogEvents.pathLost).length > 0;
    while (!isCut() && performance.now() < until)
      await callSite({ address: addressOf(), path: '/read/x' });
    expect(isCut()).toEqual(true);
  }

  async function expectCut(bytes: number, events: number, framing: FailureFraming): Promise<void> {
    const id = `${framing}-${bytes}-${events}`;
    const { status, body, isComplete } = await callSite({
      address: addressOf(),
      path: '/chat/',
      body: id,
      headers: {
        ...{ Model: 'm', 'Prompt-Prefix': `${bytes}${events}:50`, 'Attempt-Id': id },
        ...{ 'X-Framing': framing, 'X-Bytes': String(bytes), 'X-Events': String(events) },
        'Deadline-Ms': events === 0 && framing === 'endless' ? '700' : '3000',
      },
    });
    expect(attempts.get(id)).toEqual(2);
    if (events === 0) {
      expect(status === 200).toEqual(false);
      expect(body.includes('token')).toEqual(false);
      if (framing === 'endless') expect(isComplete && status === 500).toEqual(false);
      return;
    }
    expect(body.includes(FAILURE_BYTE)).toEqual(false);
    expect([status, body, isComplete]).toEqual([200, wholeStream(events), false]);
  }

  async function expectAllCut(framing: FailureFraming): Promise<void> {
    for (const bytes of FAILURE_BYTES)
      for (const events of EVENT_COUNTS) await expectCut(bytes, events, framing);
    expect((await Promise.all(closed)).every(Boolean)).toEqual(true);
  }

  for (const framing of FAILURE_FRAMINGS) {
    // Guards against a stream that looks complete and has another runner's failure in it.
    it(`is cut at its last event (${framing})`, async () => {
      await start();
      await expectAllCut(framing);
    });

    // Guards against the same at the second hop, where another daemon forwards the failure.
    it(`is cut at its last event when other daemons forward it (${framing})`, async () => {
      await start();
      await sever();
      await expectAllCut(framing);
    });
  }
});
