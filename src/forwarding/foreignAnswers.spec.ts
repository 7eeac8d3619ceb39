import { afterEach, describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { expect } from 'earl';

import { FAILURE_BYTE, FAILURE_BYTES, FAILURE_FRAMINGS, sendFailure } from './testFailures.js';
import type { FailureFraming } from './testFailures.js';
import { DEADLINE_MILLISECONDS, eventsIn, RequestUnderTest, streamOf } from './testRequest.js';

const FAILURE_HEAD = 'HTTP/1.1 500 Failure\r\nRequest-Id: r-1\r\nConnection: close\r\n';

/** Ends a complete answer that is sent in chunks. */
const LAST_CHUNK = '\r\n0\r\n\r\n';

/** Time for which the test waits for the caller's answer, in ms. */
const WAIT_MILLISECONDS = 2_000;

describe('A failure of the runner that is to go on with a stream', () => {
  let test: RequestUnderTest;

  afterEach(() => test.close());

  /** Breaks a stream off after some events; its next runner fails, and a third one may go on with it. */
  async function failAfter(events: number, bytes: number, framing: FailureFraming, attempts = 2) {
    test = await RequestUnderTest.open({ route: { maximumAttempts: attempts } });
    const { runner, caller } = await test.begin();
    const failing = await test.addOpenRunner('runner-2');
    let text: string | undefined;
    void caller.then((received) => {
      text = received;
    });
    const numbers = Array.from({ length: events }, (_, index) => index + 1);
    runner.write(streamOf(...numbers));
    await test.pass(50);
    runner.resetAndDestroy();
    await test.pass(50);
    expect(failing.length).toEqual(1);
    const sound = attempts > 2 ? await test.addOpenRunner('runner-3') : [];
    const isClosed = await sendFailure(failing[0]!, FAILURE_HEAD, bytes, framing);
    const endAt = performance.now() + WAIT_MILLISECONDS;
    while (text === undefined && performance.now() < endAt) {
      sound.shift()?.end(streamOf(events + 1));
      await nextTurn();
    }
    return { isClosed, text, caller };
  }

  const passDeadline = () => test.pass(DEADLINE_MILLISECONDS);

  for (const framing of FAILURE_FRAMINGS) {
    for (const bytes of FAILURE_BYTES) {
      const failure = `${bytes} bytes, ${framing}`;

      for (const events of [1, 2]) {
        // Guards against a stream that looks complete and has another runner's failure in it.
        it(`is not passed on, and the stream is cut, after ${events} events: ${failure}`, async () => {
          const { isClosed, text = '' } = await failAfter(events, bytes, framing);
          expect(isClosed).toEqual(true);
          expect(eventsIn(text).length).toEqual(events);
          expect(text.includes(FAILURE_BYTE)).toEqual(false);
          expect(text.endsWith(LAST_CHUNK)).toEqual(false);
        });
      }

      // Guards against a stream that is cut although a third runner may go on with it.
      it(`lets the stream go on at a third runner: ${failure}`, async () => {
        const { isClosed, text = '' } = await failAfter(1, bytes, framing, 3);
        expect(isClosed).toEqual(true);
        expect(eventsIn(text)).toEqual(['token 1', 'token 2']);
        expect(text.includes(FAILURE_BYTE)).toEqual(false);
        expect(text.endsWith(LAST_CHUNK)).toEqual(true);
      });

      // Guards against a failure that is mixed with the stream although the caller has nothing of it.
      it(`is the whole answer of a caller that has nothing of the stream: ${failure}`, async () => {
        const { text, caller } = await failAfter(0, bytes, framing);
        if (framing === 'endless') await passDeadline();
        const answer = text ?? (await caller);
        expect(answer.startsWith('HTTP/1.1 500')).toEqual(true);
        expect(eventsIn(answer)).toEqual([]);
        const received = answer.split('\r\n\r\n').slice(1).join('').split(FAILURE_BYTE).length - 1;
        if (framing === 'endless') expect(answer.endsWith(LAST_CHUNK)).toEqual(false);
        else expect(received).toEqual(bytes);
      });
    }
  }
});
