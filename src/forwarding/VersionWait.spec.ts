import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { Runner } from '../runners/Runner.js';
import { eventsIn, RequestUnderTest, streamOf } from './testRequest.js';

describe('a stream that is to go on at a runner which may have started again', () => {
  let test: RequestUnderTest;
  let doubted: Runner;
  let asked: Awaited<ReturnType<RequestUnderTest['addOpenRunner']>>;
  let caller: Promise<string>;
  let questions: Runner[];

  beforeEach(async () => {
    test = await RequestUnderTest.open();
    questions = [];
    Object.assign(test.context, { onVersionDoubted: (runner: Runner) => questions.push(runner) });
    const begun = await test.begin();
    begun.runner.write(streamOf(1));
    await test.pass(50);
    asked = await test.addOpenRunner('runner-2');
    doubted = test.runners.get('runner-2')!;
    doubted.restart.record(test.clock.monotonicMilliseconds());
    ({ caller } = begun);
    begun.runner.resetAndDestroy();
    await test.pass(50);
    asked[0]?.write(streamOf(2));
    await test.pass(100);
  });

  afterEach(() => test.close());

  it('takes no events of the other version if its new entry follows', async () => {
    // Guards against streams of two versions after all runners of a service were upgraded in place.
    expect(questions).toEqual([doubted]);
    test.runners.put({ ...doubted.entry, life: 'next', softwareVersion: 'v2' });
    await test.pass(50);
    expect(eventsIn(await caller)).toEqual(['token 1']);
  });

  it('takes its events once the runner has said that it has not', async () => {
    doubted.restart.takeReport(true, test.clock.monotonicMilliseconds());
    await test.pass(50);
    asked[0]?.end(streamOf(3));
    expect(eventsIn(await caller)).toEqual(['token 1', 'token 2', 'token 3']);
  });

  it('takes its events after half a second if nothing is known by then', async () => {
    // Guards against streams that wait for good where runners report nothing.
    await test.pass(500);
    asked[0]?.end(streamOf(3));
    expect(eventsIn(await caller)).toEqual(['token 1', 'token 2', 'token 3']);
  });

  it('takes no events after half a second if the runner has said that it has started again', async () => {
    doubted.restart.takeReport(false, test.clock.monotonicMilliseconds());
    await test.pass(500);
    expect(eventsIn(await caller)).toEqual(['token 1']);
  });
});
