import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { Runner } from '../runners/Runner.js';
import { eventsIn, RequestUnderTest, streamOf } from './testRequest.js';

/** Longer than the interval at which a request looks whether a doubt has ended, in ms. */
const LOOK_MILLISECONDS = 100;

describe('a stream that goes on at a runner which may have started again', () => {
  let test: RequestUnderTest;
  let doubted: Runner;
  let asked: Socket[];
  let caller: Promise<string>;

  /** Runners whose evidence was sought. */
  let sought: string[];

  beforeEach(async () => {
    test = await RequestUnderTest.open({ route: { maximumAttempts: 3 } });
    sought = [];
    Object.assign(test.context, {
      onEvidenceNeeded: ({ entry }: Runner) => sought.push(entry.id),
    });
    const begun = await test.begin();
    ({ caller } = begun);
    asked = await test.addOpenRunner('runner-2');
    doubted = test.runners.get('runner-2')!;
    doubted.restart.record(test.clock.monotonicMilliseconds());
    begun.runner.write(streamOf(1));
    await test.pass(50);
    begun.runner.resetAndDestroy();
    await test.pass(50);
    asked[0]?.write(streamOf(2));
    await test.pass(LOOK_MILLISECONDS);
  });

  afterEach(() => test.close());

  it('goes on once the runner has reported the life of its entry', async () => {
    // Guards against a stream that is cut, or gets its events late, although its runner has its version.
    expect(sought).toEqual(['runner-2']);
    doubted.restart.takeReport(true, test.clock.monotonicMilliseconds());
    await test.pass(LOOK_MILLISECONDS);
    asked[0]?.end();
    await test.pass(LOOK_MILLISECONDS);
    expect(asked.length).toEqual(1);
    expect(eventsIn(await caller)).toEqual(['token 1', 'token 2']);
  });

  it('goes on elsewhere if the runner has started again at another version', async () => {
    // Guards against events of two software versions, for want of a runner that is not in doubt.
    const others = await test.addOpenRunner('runner-3');
    test.runners.put({ ...doubted.entry, life: 'next', softwareVersion: 'v2' });
    await test.pass(LOOK_MILLISECONDS);
    expect(others.length).toEqual(1);
    others[0]?.end(streamOf(2));
    await test.pass(LOOK_MILLISECONDS);
    expect(eventsIn(await caller)).toEqual(['token 1', 'token 2']);
  });

  it('gets no events of the runner as long as that is in doubt', async () => {
    // Guards against a doubt that does not keep events from a stream that has begun.
    await test.pass(10 * LOOK_MILLISECONDS);
    asked[0]?.resetAndDestroy();
    await test.pass(LOOK_MILLISECONDS);
    test.jump(10_000);
    await test.pass(LOOK_MILLISECONDS);
    expect(eventsIn(await caller)).toEqual(['token 1']);
  });
});
