import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { expect } from 'earl';

import { DEADLINE_MILLISECONDS, eventsIn, RequestUnderTest, streamOf } from './testRequest.js';
import { TriedRunners } from './TriedRunners.js';

describe('a request while the hosts of all runners refuse connections', () => {
  let test: RequestUnderTest;

  afterEach(() => test.close());

  const REFUSING = ['runner-2', 'runner-3', 'runner-4'];

  async function addRefusingRunners(): Promise<() => Promise<Socket[]>> {
    const starts = await Promise.all(REFUSING.map((id) => test.addRefusingRunner(id)));
    return starts[1]!;
  }

  /** @returns Status of the answer that comes while no virtual time passes. */
  async function statusAtOnce(response: ServerResponse): Promise<number> {
    while (!response.writableEnded) await nextTurn();
    return response.statusCode;
  }

  // Guards against cutting a stream at once, although most of its time is left and a runner is back soon.
  it('goes on as a stream when one of them accepts connections again', async () => {
    test = await RequestUnderTest.open();
    const { runner, caller } = await test.begin();
    const start = await addRefusingRunners();
    runner.write(streamOf(1));
    await test.pass(50);
    runner.resetAndDestroy();
    await test.pass(600);
    const asked = await start();
    for (let passed = 0; passed < 600 && asked.length === 0; passed += 10) await test.pass(10);
    expect(asked.length).toEqual(1);
    asked[0]?.end(streamOf(2));
    expect(eventsIn(await caller)).toEqual(['token 1', 'token 2']);
  });

  it('ends at its deadline if none does and it may have run', async () => {
    test = await RequestUnderTest.open();
    const { runner, caller } = await test.begin();
    await addRefusingRunners();
    runner.write(streamOf(1));
    await test.pass(50);
    runner.resetAndDestroy();
    await test.pass(DEADLINE_MILLISECONDS + 100);
    expect(eventsIn(await caller)).toEqual(['token 1']);
  });

  it('goes back at once to the daemon that handed it over', async () => {
    test = await RequestUnderTest.open();
    await addRefusingRunners();
    const response = new ServerResponse(new IncomingMessage(new Socket()));
    const tried = new TriedRunners({ mayHaveRun: 1 });
    test.createRequest(response, undefined, { isCounted: true, tried }).start();
    expect(await statusAtOnce(response)).toEqual(502);
  });

  it('is refused at once if it has not run', async () => {
    test = await RequestUnderTest.open();
    await addRefusingRunners();
    const response = new ServerResponse(new IncomingMessage(new Socket()));
    test.createRequest(response).start();
    expect(await statusAtOnce(response)).toEqual(503);
  });
});
