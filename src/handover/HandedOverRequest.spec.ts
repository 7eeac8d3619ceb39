import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { ServerResponse } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import { expect } from 'earl';

import {
  BROKEN_HEADER,
  FULL_HEADER,
  REFUSED_HEADER,
  TRIED_HEADER,
  triedHeaderFor,
  UNREACHED_HEADER,
  VERSION_HEADER,
} from './handOverHeaders.js';
import { decodeHandOver, encodeHandOver, HandOverError } from './handOverMessage.js';
import type { HandOver, ReceivedHandOver } from './handOverMessage.js';
import {
  FAILURE_BYTE,
  FAILURE_BYTES,
  FAILURE_FRAMINGS,
  sendFailure,
} from '../forwarding/testFailures.js';
import type { FailureFraming } from '../forwarding/testFailures.js';
import type { Route } from '../routes/routeTypes.js';
import { TestPeers } from './testPeers.js';

const SIGNED = { Signature: 's' };

const STREAM = { ...SIGNED, 'Content-Type': 'text/event-stream' };

const eventOf = (id: number) => `id: ${id}\ndata: token ${id}\n\n`;

function answerPlainly(_: ReceivedHandOver, response: ServerResponse): void {
  response.writeHead(200, SIGNED).end('an answer');
}

function refuse(_: IncomingMessage, response: ServerResponse): void {
  response.writeHead(503, { [REFUSED_HEADER]: 'no_path', Connection: 'close' }).end();
}

function sayFull(_: ReceivedHandOver, response: ServerResponse): void {
  response.writeHead(503, { [FULL_HEADER]: 'full' }).end('{}');
}

function sayUnreached(_: ReceivedHandOver, response: ServerResponse): void {
  response.writeHead(503, { [UNREACHED_HEADER]: 'connect_timeout' }).end('{}');
}

/** Returns an answer that is written to the socket as it is. */
function answerWith(status: string, lines: readonly string[] = []) {
  const head = [`HTTP/1.1 ${status}`, 'Signature: s', 'Connection: close', ...lines];
  const body = eventOf(1);
  const bytes = [...head, `Content-Length: ${body.length}`, '', body].join('\r\n');
  return (_: ReceivedHandOver, { socket }: ServerResponse) => {
    socket?.end(bytes);
  };
}

const LOST = { end: 'lost' as const, text: '', softwareVersion: undefined };

/** Time for which a test waits for the end of a hand-over, in ms. */
const WAIT_MILLISECONDS = 2_000;

async function withinWait<T>(ended: Promise<T>): Promise<T | 'no end'> {
  const waiting = new AbortController();
  const wait = delay(WAIT_MILLISECONDS, 'no end' as const, { signal: waiting.signal }).catch(
    () => 'no end' as const,
  );
  try {
    return await Promise.race([ended, wait]);
  } finally {
    waiting.abort();
  }
}

describe('a request that is handed over', () => {
  let peers: TestPeers;

  beforeEach(() => {
    peers = new TestPeers();
  });

  afterEach(() => {
    mock.restoreAll();
    peers.close();
  });

  it('arrives unchanged, and its answer too', async () => {
    await peers.add('one', { answer: answerPlainly });
    const { end, text } = await peers.handOver('idempotent');
    expect(end).toEqual('answered');
    expect(text.endsWith('an answer')).toEqual(true);
    const { handOver, body } = peers.taken[0]?.received as ReceivedHandOver;
    expect(handOver.request.target).toEqual('/path?query');
    expect(handOver.request.method).toEqual('POST');
    expect(body?.toString()).toEqual('the body');
    expect(handOver.remainingMilliseconds > 4_000).toEqual(true);
  });

  it('goes on to a daemon that takes it when others refuse', async () => {
    await peers.add('one', { confirm: refuse });
    await peers.add('two', { confirm: refuse });
    await peers.add('three', { answer: answerPlainly });
    expect((await peers.handOver('at_most_once')).end).toEqual('answered');
    expect(peers.taken.map(({ by }) => by)).toEqual(['three']);
  });

  // Guards against a request that may run once and is sent to a second daemon.
  it('is sent to no other daemon when the one that took it breaks off', async () => {
    const breakOff = (_: ReceivedHandOver, response: ServerResponse) => response.destroy();
    await peers.add('one', { answer: breakOff });
    await peers.add('two', { answer: breakOff });
    expect((await peers.handOver('at_most_once')).end).toEqual('lost');
    expect(peers.taken.length).toEqual(1);
  });

  // Guards against a stream that goes on at another software version after a daemon in between has ended.
  it('learns the software version from the daemon that takes it, which its caller is not told', async () => {
    await peers.add('one', {
      answer: (_, response) => {
        response.writeHead(200, { ...STREAM, [VERSION_HEADER]: 'v1.2' });
        response.write(eventOf(1), () => response.destroy());
      },
    });
    const { text, softwareVersion } = await peers.handOver('stream');
    expect(softwareVersion).toEqual('v1.2');
    expect(text.toLowerCase().includes(VERSION_HEADER)).toEqual(false);
    await peers.handOver('stream', '1', 'v1.1');
    expect(peers.taken[1]?.received.handOver.softwareVersion).toEqual('v1.1');
  });

  // Guards against a stream that goes on at the runner that broke it off, of which only the daemon in between knew.
  it('learns the runners that the daemon in between has tried, and tells the next one', async () => {
    await peers.add('one', {
      answer: (_, response) => {
        response.writeHead(200, { ...STREAM, [TRIED_HEADER]: triedHeaderFor(['a/1', 'b,2']) });
        response.write(eventOf(1), () => response.destroy());
      },
    });
    const { text } = await peers.handOver('stream');
    expect(text.toLowerCase().includes(TRIED_HEADER)).toEqual(false);
    await peers.handOver('stream', '1');
    const told = peers.taken.map(({ received }) => received.handOver.tried);
    expect(told).toEqual([[], ['a/1', 'b,2']]);
  });

  // Guards against a request that is repeated at a runner that has broken off before its answer began.
  it('learns the runner at which it broke off', async () => {
    await peers.add('one', {
      answer: (_, response) => {
        const headers = { [BROKEN_HEADER]: 'broken', [TRIED_HEADER]: triedHeaderFor(['a/1']) };
        response.writeHead(502, headers).end('{}');
      },
    });
    expect((await peers.handOver('idempotent')).end).toEqual('lost');
    expect(peers.tried.lives).toEqual(['a/1']);
  });

  async function expectLost(kind: Route['kind'], ...answer: Parameters<typeof answerWith>) {
    await peers.add('one', { answer: answerWith(...answer) });
    expect(await withinWait(peers.handOver(kind))).toEqual(LOST);
  }

  for (const status of ['020', '099', '600', '999']) {
    // Guards against a caller that gets no answer, or one that is none, from a daemon that took its request.
    it(`is lost when the daemon that took it answers with the status ${status}`, () =>
      expectLost('at_most_once', `${status} Strange`));
  }

  async function expectLostAfter(head: string, end: (socket: Socket | null) => void) {
    await peers.add('one', { answer: (_, { socket }) => socket?.write(head, () => end(socket)) });
    expect(await withinWait(peers.handOver('at_most_once'))).toEqual(LOST);
  }

  for (const [ending, end] of [
    ['close', (socket: Socket | null) => socket?.end()],
    ['reset', (socket: Socket | null) => socket?.resetAndDestroy()],
  ] as const) {
    for (const head of [
      'HTTP/1.1 2',
      'HTTP/1.1 200 OK\r\n',
      'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Le',
      'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r',
      'HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n',
      'HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\n',
    ]) {
      // Guards against a 200 with an empty body that looks whole, where the other daemon ends within its answer.
      it(`is lost when the daemon breaks off in its head: ${JSON.stringify(head)}, ${ending}`, () =>
        expectLostAfter(head, end));
    }
  }

  // Guards against a caller that waits for its deadline, since the library reports no error of such an answer.
  it('is lost when the daemon that took it switches protocols', async () => {
    const head = 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n';
    await expectLostAfter(head, () => undefined);
  });

  for (const kind of ['at_most_once', 'stream'] as const) {
    // Guards against a caller without any answer after its head could not be written.
    it(`is lost when the head of its answer throws: ${kind}`, async () => {
      const { mock: heads } = mock.method(ServerResponse.prototype, 'writeHead', () => {
        throw new TypeError('this head cannot be sent');
      });
      await expectLost(
        kind,
        '200 OK',
        kind === 'stream' ? ['Content-Type: text/event-stream'] : [],
      );
      expect(heads.callCount()).toEqual(1);
    });
  }

  // Guards against a daemon that is frozen, and reads later what was sent to it.
  it('is not sent to a daemon that does not confirm', async () => {
    await peers.add('frozen', { confirm: () => undefined, answer: answerPlainly });
    await peers.add('sound', { answer: answerPlainly });
    for (let count = 0; count < 4; count += 1) {
      expect((await peers.handOver('at_most_once')).end).toEqual('answered');
    }
    expect(peers.taken.every(({ by }) => by === 'sound')).toEqual(true);
  });

  // Guards against daemons of a busy machine, of which none confirms in time although all would take the request.
  it('is taken by a daemon that confirms late while the others do too', async () => {
    const confirmLate = (_: IncomingMessage, response: ServerResponse) => {
      setTimeout(() => response.writeContinue(), 350);
    };
    for (const name of ['one', 'two', 'three', 'four']) {
      await peers.add(name, { confirm: confirmLate, answer: answerPlainly });
    }
    expect((await peers.handOver('at_most_once')).end).toEqual('answered');
    expect(peers.taken.length).toEqual(1);
  });

  // Guards against callers that wait for several timeouts while this daemon's own link is saturated.
  it('comes back when several daemons do not answer', async () => {
    for (const name of ['one', 'two', 'three', 'four', 'five']) {
      await peers.add(name, { confirm: () => undefined });
    }
    const startedAt = performance.now();
    expect((await peers.handOver('idempotent')).end).toEqual('unanswered');
    expect(performance.now() - startedAt < 1_000).toEqual(true);
  });

  it('is not served when all daemons refuse', async () => {
    await peers.add('one', { confirm: refuse });
    await peers.add('two', { confirm: refuse });
    expect((await peers.handOver('idempotent')).end).toEqual('unreached');
    expect(peers.taken).toEqual([]);
  });

  // Guards against a service that is down and costs each of its requests a tour of the fleet.
  it('is tried at two daemons that reach no runner either', async () => {
    for (const name of ['one', 'two', 'three', 'four']) {
      await peers.add(name, { answer: sayUnreached });
    }
    expect((await peers.handOver('idempotent')).end).toEqual('unreached');
    expect(peers.taken.length).toEqual(2);
  });

  // Guards against callers of a cut daemon that are refused more often than others, as each daemon has a part of the slots.
  it('goes on to a daemon with room, and gets the refusal of the second one without', async () => {
    await peers.add('full', { answer: sayFull });
    await peers.add('too', { answer: sayFull });
    expect((await peers.handOver('at_most_once')).end).toEqual('not_served');
    expect(peers.taken.length).toEqual(2);
    await peers.add('free', { answer: answerPlainly });
    const ends = new Set<string>();
    for (let count = 0; count < 20; count += 1) ends.add((await peers.handOver('stream')).end);
    expect(ends.has('answered')).toEqual(true);
    expect([...ends].filter((end) => end !== 'answered' && end !== 'not_served')).toEqual([]);
  });

  it('streams the events as they come', async () => {
    const stream = (_: ReceivedHandOver, response: ServerResponse) => {
      response.writeHead(200, STREAM);
      response.write(eventOf(1) + eventOf(2).slice(0, 5));
      response.end(eventOf(2).slice(5));
    };
    await peers.add('one', { answer: stream });
    const { end, text } = await peers.handOver('stream');
    expect(end).toEqual('answered');
    expect(text.match(/token \d/gu)).toEqual(['token 1', 'token 2']);
  });

  // Guards against half an event, or an end that looks complete, where the other daemon breaks off in a stream.
  it('passes whole events only when the other daemon breaks off', async () => {
    const stream = (_: ReceivedHandOver, response: ServerResponse) => {
      response.writeHead(200, STREAM);
      response.write(eventOf(1) + eventOf(2).slice(0, 8), () => response.destroy());
    };
    await peers.add('one', { answer: stream });
    const { end, text } = await peers.handOver('stream');
    expect(end).toEqual('lost');
    expect(text.includes('id: 2')).toEqual(false);
    expect(text.endsWith('0\r\n\r\n')).toEqual(false);
  });

  it('resumes a stream after the last event of its caller', async () => {
    await peers.add('one', { answer: answerPlainly });
    await peers.handOver('stream', '7');
    const { headers } = (peers.taken[0]?.received as ReceivedHandOver).handOver.request;
    expect(headers).toEqual(['Host', 'x', 'last-event', '7']);
  });

  async function expectCut(events: number, bytes: number, framing: FailureFraming): Promise<void> {
    let isClosed: Promise<boolean> | undefined;
    await peers.add('one', {
      answer: (_, { socket }) => {
        const head = 'HTTP/1.1 500 Failure\r\nSignature: s\r\nConnection: close\r\n';
        isClosed = sendFailure(socket!, head, bytes, framing);
      },
    });
    const had = [1, 2].slice(0, events).map(eventOf).join('');
    const { end, text } = await peers.goOn(had);
    expect(end).toEqual('lost');
    expect(await isClosed).toEqual(true);
    expect(text.match(/token \d/gu)?.length).toEqual(events);
    expect(text.includes(FAILURE_BYTE)).toEqual(false);
    expect(text.endsWith('0\r\n\r\n')).toEqual(false);
  }

  for (const framing of FAILURE_FRAMINGS) {
    for (const bytes of FAILURE_BYTES) {
      for (const events of [1, 2]) {
        // Guards against a stream that looks complete and has the failure of another daemon's runner in it.
        it(`cuts a stream that gets a failure after ${events} events: ${bytes} bytes, ${framing}`, () =>
          expectCut(events, bytes, framing));
      }
    }
  }

  it('goes on with a stream of which the caller has the beginning', async () => {
    // Guards against an answer that stays with the runner that broke it off.
    await peers.add('one', {
      answer: (_, response) => response.writeHead(200, STREAM).end(eventOf(2)),
    });
    const { end, text } = await peers.goOn(eventOf(1));
    expect(end).toEqual('answered');
    expect(text.match(/token \d/gu)).toEqual(['token 1', 'token 2']);
    expect(text.endsWith('0\r\n\r\n')).toEqual(true);
  });

  // Guards against a refusal that says "not run" of a request that runs at another daemon while it is quarantined.
  it('is not refused as not run when it is quarantined while another daemon runs it', async () => {
    let run: () => void = () => undefined;
    const isRunning = new Promise<void>((done) => {
      run = done;
    });
    await peers.add('one', { answer: () => run() });
    const text = await peers.quarantineDuring(isRunning);
    expect(text.startsWith('HTTP/1.1 502')).toEqual(true);
  });

  it('is read from a daemon of the fleet alone', () => {
    const handOver = { sender: 'one', hasBody: true } as HandOver;
    const message = encodeHandOver(handOver, Buffer.from('body'), 'secret');
    expect(decodeHandOver(message, 'secret').body?.toString()).toEqual('body');
    expect(() => decodeHandOver(message, 'another')).toThrow(HandOverError);
    const changed = Buffer.from(message);
    changed[changed.length - 1] = 0;
    expect(() => decodeHandOver(changed, 'secret')).toThrow(HandOverError);
    expect(() => decodeHandOver(message.subarray(0, 10), 'secret')).toThrow(HandOverError);
  });
});
