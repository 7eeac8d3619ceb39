import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { Runner } from '../runners/Runner.js';
import type { LifeFinding, LifeFindingListener } from '../streamVersions/LifeChecks.js';
import { eventsIn, FIRST_RUNNER, RequestUnderTest, streamOf } from './testRequest.js';

const ANSWER_MILLISECONDS = 10;

describe('a stream that breaks off, and whose next runner may have started again', () => {
  let test: RequestUnderTest;
  let findings: Map<string, LifeFinding>;

  beforeEach(async () => {
    test = await RequestUnderTest.open();
    findings = new Map();
    const check = ({ entry }: Runner, done: LifeFindingListener) => {
      setTimeout(() => done(findings.get(entry.id) ?? 'same_life'), ANSWER_MILLISECONDS);
    };
    Object.assign(test.context, { lifeChecks: { check } });
  });

  afterEach(() => test.close());

  async function addRunner(id: string, dataCentre: string): Promise<Socket[]> {
    const asked = await test.addOpenRunner(id);
    test.runners.put({ ...test.runners.get(id)!.entry, softwareVersion: 'v1', dataCentre });
    return asked;
  }

  /** The near runner is chosen first. */
  async function breakOffBefore(near: LifeFinding) {
    findings.set('near', near);
    const { runner, caller } = await test.begin();
    const { entry } = test.runners.get(FIRST_RUNNER)!;
    test.runners.put({ ...entry, softwareVersion: 'v1' });
    const asked = { near: await addRunner('near', 'here'), far: await addRunner('far', 'there') };
    runner.write(streamOf(1));
    await test.pass(50);
    runner.resetAndDestroy();
    await test.pass(100);
    return { asked, caller };
  }

  // Guards against events of two software versions where the list has the entry of before.
  it('goes on elsewhere if it has', async () => {
    const { asked, caller } = await breakOffBefore('restarted');
    expect([asked.near.length, asked.far.length]).toEqual([0, 1]);
    asked.far[0]?.end(streamOf(2));
    expect(eventsIn(await caller)).toEqual(['token 1', 'token 2']);
  });

  // Guards against a runner that is asked again and again instead of an end.
  it('is cut if no other runner is left', async () => {
    findings.set('far', 'restarted');
    const { asked, caller } = await breakOffBefore('restarted');
    expect([asked.near.length, asked.far.length]).toEqual([0, 0]);
    expect(eventsIn(await caller)).toEqual(['token 1']);
  });

  // Guards against streams that end beside runners that report nothing.
  it('goes on there if it does not say', async () => {
    const { asked, caller } = await breakOffBefore('unknown');
    expect([asked.near.length, asked.far.length]).toEqual([1, 0]);
    asked.near[0]?.end(streamOf(2));
    expect(eventsIn(await caller)).toEqual(['token 1', 'token 2']);
  });
});
