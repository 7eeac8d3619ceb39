import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { RunnerConnections } from './RunnerConnections.js';
import { eventsIn, FIRST_RUNNER, RequestUnderTest, streamOf } from './testRequest.js';

describe('a stream whose runner breaks off and has been succeeded by another incarnation', () => {
  let test: RequestUnderTest;

  beforeEach(async () => {
    test = await RequestUnderTest.open();
  });

  afterEach(() => test.close());

  it('resumes at another runner while there is one', async () => {
    // Guards against a second attempt at the process that has just crashed, which a restored store lists as it was before.
    const { runner, caller } = await test.begin();
    const { entry } = test.runners.get(FIRST_RUNNER)!;
    test.runners.put({ ...entry, life: 'before' });
    const asked = await test.addOpenRunner('runner-2');
    test.runners.put({ ...test.runners.get('runner-2')!.entry, dataCentre: 'there' });
    runner.write(streamOf(1));
    await test.pass(50);
    runner.resetAndDestroy();
    await test.pass(50);
    expect(asked.length).toEqual(1);
    asked[0]?.end(streamOf(2));
    expect(eventsIn(await caller)).toEqual(['token 1', 'token 2']);
  });

  it('resumes at the successor when no other runner is left', async () => {
    // Guards against a service with one runner whose streams end although it has started again.
    const { runner, caller } = await test.begin();
    runner.write(streamOf(1));
    await test.pass(50);
    const asked = await test.addOpenRunner('runner-2');
    const { entry } = test.runners.get('runner-2')!;
    test.runners.remove('runner-2');
    test.runners.put({ ...entry, id: FIRST_RUNNER, life: 'next' });
    Object.assign(test.context, { connections: new RunnerConnections() });
    runner.resetAndDestroy();
    await test.pass(50);
    expect(asked.length).toEqual(1);
    asked[0]?.end(streamOf(2));
    expect(eventsIn(await caller)).toEqual(['token 1', 'token 2']);
  });
});
