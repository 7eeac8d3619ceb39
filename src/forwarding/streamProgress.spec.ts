import { afterEach, describe, it, mock } from 'node:test';

import { expect } from 'earl';

import { AnswerRelay } from './AnswerRelay.js';
import type { RequestUnderTestOptions } from './testRequest.js';
import { eventOf, eventsIn, RequestUnderTest, streamOf } from './testRequest.js';

/** Longer than the sum of all wait limits, in ms. */
const LONG_MILLISECONDS = 3_000;

describe('Progress of a stream', () => {
  let test: RequestUnderTest;

  afterEach(async () => {
    mock.restoreAll();
    await test.close();
  });

  async function begin(options?: RequestUnderTestOptions) {
    test = await RequestUnderTest.open(options);
    return test.begin();
  }

  /** Guards against a stream that waits until its deadline, since bytes without an event were taken for progress. */
  async function expectResumed(piece: string): Promise<void> {
    const { runner, caller } = await begin();
    const asked = await test.addOpenRunner('runner-2');
    runner.write(streamOf(1));
    for (let passed = 0; passed < LONG_MILLISECONDS && asked.length === 0; passed += 100) {
      runner.write(piece);
      await test.pass(100);
    }
    expect(asked.length).toEqual(1);
    asked[0]?.end(streamOf(2));
    expect(eventsIn(await caller)).toEqual(['token 1', 'token 2']);
  }

  it('is not made by comments', () => expectResumed(': still there\n\n'));

  it('is not made by parts of an event', () => expectResumed('data: a\n'));

  it('is awaited as long before the first event when the runner sends comments', async () => {
    // Guards against a prompt that is read twice: a comment was taken for the first event, and the pause between two
    // events may be 1,200 ms, but that before the first one 2,800 ms at this target.
    const { runner, caller } = await begin({ route: { targetLatencyMilliseconds: 2_000 } });
    const asked = await test.addOpenRunner('runner-2');
    runner.write(streamOf());
    for (let passed = 0; passed < 2_500; passed += 100) {
      runner.write(': still there\n\n');
      await test.pass(100);
    }
    expect(asked).toEqual([]);
    runner.end(eventOf(1));
    expect(eventsIn(await caller)).toEqual(['token 1']);
  });

  it('is not missed while the runner is paused for a caller that does not keep up', async () => {
    // Guards against a stream that accumulates in memory, and against a second runner for one that is only paused.
    const { runner, caller } = await begin();
    const asked = await test.addOpenRunner('runner-2');
    let resume: () => void = () => undefined;
    mock.method(AnswerRelay.prototype, 'onceDrained', (listener: () => void) => {
      resume = listener;
    });
    const pass = mock.method(AnswerRelay.prototype, 'pass', () => 'congested');
    runner.write(streamOf(1));
    await test.pass(100);
    runner.write(eventOf(2));
    await test.pass(LONG_MILLISECONDS);
    expect(asked).toEqual([]);
    expect(pass.mock.callCount()).toEqual(1);
    mock.restoreAll();
    resume();
    runner.end(eventOf(3));
    expect(eventsIn(await caller)).toEqual(['token 2', 'token 3']);
  });
});
