import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { expect } from 'earl';

import type { Route } from '../routes/routeTypes.js';
import { receivedInTime } from './testReceived.js';
import { eventsIn, plainAnswer, RequestUnderTest, streamOf } from './testRequest.js';

/** Time for which the test waits for the second runner, in ms. */
const WAIT_MILLISECONDS = 2_000;

const LINES = 'HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r-1\r\n';

const STREAM_LINE = 'Content-Type: text/event-stream\r\n';

/** Heads by their framing, without the blank line. */
const FRAMINGS = {
  length: 'Content-Length: 20\r\n',
  chunked: 'Transfer-Encoding: chunked\r\n',
  until_close: '',
} as const;

/** Positions between two cuts of a head, in bytes; coprime to the lengths of its lines, so that all kinds of places occur. */
const STEP_BYTES = 7;

/** How a runner ends the connection behind a part of its head. */
const ENDINGS = {
  close: (socket: Socket, bytes: string): void => {
    socket.end(bytes);
  },
  reset: (socket: Socket, bytes: string): void => {
    socket.write(bytes, () => socket.resetAndDestroy());
  },
} as const;

type Ending = (socket: Socket, bytes: string) => void;

/** Returns the beginnings of a head that end within it, the last ones within its blank line. */
function partsOf(head: string): string[] {
  const whole = `${head}\r\n`;
  const ends = [head.length - 2, head.length - 1, head.length, head.length + 1];
  for (let end = 1; end < head.length - 2; end += STEP_BYTES) ends.push(end);
  return ends.map((end) => whole.slice(0, end));
}

describe('A head that a runner breaks off', () => {
  let test: RequestUnderTest;

  afterEach(() => test.close());

  /** Lets the only runner break off in its head. */
  async function breakOff(kind: Route['kind'], bytes: string, end: Ending) {
    test = await RequestUnderTest.open({ route: { kind, resumable: false, maximumAttempts: 1 } });
    const { runner, caller } = await test.begin();
    end(runner, bytes);
    return receivedInTime(caller);
  }

  /** Lets a runner break a stream off behind two events, and the second one, which is to go on, in its head. */
  async function breakOffTwice(bytes: string, end: Ending) {
    test = await RequestUnderTest.open();
    const { runner, caller } = await test.begin();
    const others = await test.addOpenRunner('runner-2');
    runner.write(streamOf(1, 2), () => runner.resetAndDestroy());
    while (others.length === 0) await nextTurn();
    end(others[0]!, bytes);
    return receivedInTime(caller);
  }

  async function expectRefused(kind: Route['kind'], head: string, end: Ending): Promise<void> {
    for (const bytes of partsOf(head)) {
      const text = await breakOff(kind, bytes, end);
      expect(text?.split('\r\n', 1)).toEqual(['HTTP/1.1 502 Bad Gateway']);
      await test.close();
    }
    test = await RequestUnderTest.open();
  }

  async function expectCut(bytes: string, end: Ending): Promise<void> {
    const text = (await breakOffTwice(bytes, end)) ?? '';
    expect(eventsIn(text)).toEqual(['token 1', 'token 2']);
    expect(text.endsWith('\r\n0\r\n\r\n')).toEqual(false);
  }

  async function expectAllCut(head: string, end: Ending): Promise<void> {
    for (const bytes of partsOf(head)) {
      await expectCut(bytes, end);
      await test.close();
    }
    test = await RequestUnderTest.open();
  }

  for (const [framing, line] of Object.entries(FRAMINGS)) {
    for (const [ending, end] of Object.entries(ENDINGS)) {
      const name = `${framing}, ${ending}`;

      // Guards against a 200 with an empty or short body that looks whole.
      it(`is a 502 to the caller: ${name}`, () => expectRefused('at_most_once', LINES + line, end));

      // Guards against a stream without events that ends as complete.
      it(`is a 502 to the caller of a stream: ${name}`, () =>
        expectRefused('stream', LINES + STREAM_LINE + line, end));

      // Guards against a stream that ends as complete where another runner was to go on with it.
      it(`cuts the stream that was to go on: ${name}`, () =>
        expectAllCut(LINES + STREAM_LINE + line, end));
    }
  }

  for (const kind of ['at_most_once', 'stream'] as const) {
    // Guards against a whole head in front of a body that never begins, where only the connection tells the end.
    it(`is a 502, also behind its blank line without a length: ${kind}`, async () => {
      const type = kind === 'stream' ? STREAM_LINE : '';
      const text = await breakOff(kind, `${LINES}${type}\r\n`, ENDINGS.close);
      expect(text?.split('\r\n', 1)).toEqual(['HTTP/1.1 502 Bad Gateway']);
    });
  }

  // Guards against a stream that is cut although its caller has all events: the runner that is to go on has none left.
  it('ends the stream of which nothing is left, behind a whole head without a length', async () => {
    const text = (await breakOffTwice(`${LINES}${STREAM_LINE}\r\n`, ENDINGS.close)) ?? '';
    expect(eventsIn(text)).toEqual(['token 1', 'token 2']);
    expect(text.endsWith('\r\n0\r\n\r\n')).toEqual(true);
  });

  // Guards against a caller that waits for its deadline, since the library reports no error of such an answer.
  it('ends the attempt when it switches protocols', async () => {
    test = await RequestUnderTest.open({ route: { kind: 'idempotent', resumable: false } });
    const { runner, caller } = await test.begin();
    const others = await test.addOpenRunner('runner-2');
    runner.write('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n');
    const endAt = performance.now() + WAIT_MILLISECONDS;
    while (others.length === 0 && performance.now() < endAt) await nextTurn();
    others[0]?.end(plainAnswer('200 OK'));
    expect((await receivedInTime(caller))?.endsWith('\r\n\r\nok')).toEqual(true);
  });

  // Guards against a connection on which the next answer is read as the body that this one seems to have.
  it('names no body where none may follow', async () => {
    const head = LINES.replace('200 OK', '204 No Content');
    const bytes = `${head}Connection: close\r\nContent-Length: 5\r\n\r\nhello`;
    const text = await breakOff('at_most_once', bytes, ENDINGS.close);
    expect(text?.startsWith('HTTP/1.1 204 No Content\r\n')).toEqual(true);
    expect(text?.includes('Length')).toEqual(false);
    expect(text?.endsWith('\r\n\r\n')).toEqual(true);
  });
});
