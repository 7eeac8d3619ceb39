import { ServerResponse } from 'node:http';
import { afterEach, describe, it, mock } from 'node:test';

import { expect } from 'earl';

import type { Route } from '../routes/routeTypes.js';
import { forwardingLogEvents } from './forwardingFeature.js';
import { isAcceptedInHead } from './testParser.js';
import { receivedInTime } from './testReceived.js';
import { eventOf, RequestUnderTest } from './testRequest.js';

/** More than a daemon holds of an answer, in bytes. */
const LARGE_BYTES = 300_000;

const PASSED_ON = 'HTTP/1.1 200 OK\r\n';
const REPLACED = 'HTTP/1.1 502 Bad Gateway\r\n';

const HEAD = 'HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r-1\r\nConnection: close\r\n';

/** Answers by the way in which the daemon passes them on. */
const ANSWERS = [
  { way: 'held', kind: 'at_most_once', type: 'text/plain', body: 'ok' },
  { way: 'passing', kind: 'at_most_once', type: 'text/plain', body: 'x'.repeat(LARGE_BYTES) },
  { way: 'streaming', kind: 'stream', type: 'text/event-stream', body: eventOf(1) },
] as const satisfies { way: string; kind: Route['kind']; type: string; body: string }[];

type Answer = (typeof ANSWERS)[number];

/** Returns the body of a whole answer, without the sizes of its chunks. */
function bodyIn(text = ''): string {
  const start = text.indexOf('\r\n\r\n') + 4;
  const body = text.slice(start);
  if (!text.slice(0, start).includes('Transfer-Encoding: chunked')) return body;
  expect(body.endsWith('0\r\n\r\n')).toEqual(true);
  return body
    .split('\r\n')
    .filter((_, index) => index % 2 === 1)
    .join('');
}

describe('An answer that cannot be sent as the runner gave it', () => {
  let test: RequestUnderTest;

  afterEach(async () => {
    mock.restoreAll();
    await test.close();
  });

  /** Returns what the caller received until its connection ended, or `undefined` if it got no whole answer. */
  async function callerOf({ kind, type, body }: Answer, line = 'Own: header') {
    test = await RequestUnderTest.open({ route: { kind, resumable: false, maximumAttempts: 1 } });
    const { runner, caller } = await test.begin();
    const length = `Content-Length: ${body.length}`;
    runner.end(`${HEAD}Content-Type: ${type}\r\n${line}\r\n${length}\r\n\r\n${body}`);
    return receivedInTime(caller);
  }

  function endsRecorded(): number {
    return test.log.fieldsOf(forwardingLogEvents.notServed).length;
  }

  /** Lets the head of each answer with such a status throw, before or after it has been written. */
  function failHeads(isFailing: (status: number) => boolean, isWritten = false): void {
    const { writeHead } = ServerResponse.prototype;
    mock.method(
      ServerResponse.prototype,
      'writeHead',
      function fail(this: ServerResponse, status: number, headers: string[]) {
        if (!isFailing(status) || isWritten) writeHead.call(this, status, headers);
        if (isFailing(status)) throw new TypeError('this head cannot be sent');
        return this;
      },
    );
  }

  for (const answer of ANSWERS) {
    for (const line of ['Bad name: odd', 'Bad : odd', ': odd']) {
      // Guards against a caller without any answer: some HTTP parsers accept such names, and writing them throws.
      it(`is passed on without a header that is none: ${answer.way}, "${line}"`, async () => {
        const isAccepted = await isAcceptedInHead(line);
        const text = await callerOf(answer, line);
        expect(text?.startsWith(isAccepted ? PASSED_ON : REPLACED)).toEqual(true);
        expect(bodyIn(text)).toEqual(isAccepted ? answer.body : '{"error":"broken"}\n');
        expect(text?.includes('odd')).toEqual(false);
        expect(text?.includes('Signature')).toEqual(isAccepted);
      });
    }

    // Guards against a caller that waits for ever as nothing ends the request after a throw.
    it(`is replaced by a 502 when its head throws: ${answer.way}`, async () => {
      failHeads((status) => status === 200);
      const text = await callerOf(answer);
      expect(text?.startsWith('HTTP/1.1 502 Bad Gateway\r\n')).toEqual(true);
      expect(text?.includes('Signature')).toEqual(false);
      expect(endsRecorded()).toEqual(1);
    });

    // Guards against an open connection on which no answer can follow.
    it(`ends the connection when no other head can be sent either: ${answer.way}`, async () => {
      failHeads(() => true);
      expect(await callerOf(answer)).toEqual('');
      expect(endsRecorded()).toEqual(1);
    });

    // Guards against a second head behind one that has been sent.
    it(`ends the connection when the head was sent before the throw: ${answer.way}`, async () => {
      failHeads((status) => status === 200, true);
      const text = await callerOf(answer);
      expect(text?.includes('502')).toEqual(false);
      expect(text?.includes(answer.body)).toEqual(false);
      expect(endsRecorded()).toEqual(1);
    });
  }
});
