import { describe, it } from 'node:test';

import { expect } from 'earl';

import { SilentLog } from '../logging/Log.js';
import { Runner } from '../runners/Runner.js';
import { TEST_RUNNER } from '../runners/testRunner.js';
import { ManualClock } from '../time/ManualClock.js';
import { RunnerNotices } from './RunnerNotices.js';
import { TestProtocol } from './testProtocol.js';

const RUNNER = new Runner(TEST_RUNNER);

const LEAVING = { leaving: '1' };
const SIGNED = { signature: 's' };

function reportsLeaving(statusCode: number, headers: Record<string, string>): boolean {
  let isLeaving = false;
  const statements = new RunnerNotices({
    protocol: new TestProtocol(),
    clock: new ManualClock(),
    log: new SilentLog(),
    onLeaving: () => {
      isLeaving = true;
    },
  });
  statements.take(RUNNER, { statusCode, headers });
  return isLeaving;
}

describe(RunnerNotices.name, () => {
  it('accepts a shutdown notice in an answer of any status that the runner itself sent', () => {
    for (const status of [200, 206, 400, 404, 429, 500, 503, 504]) {
      expect(reportsLeaving(status, { ...LEAVING, ...SIGNED })).toEqual(true);
      expect(reportsLeaving(status, SIGNED)).toEqual(false);
    }
    expect(reportsLeaving(503, { ...LEAVING, 'not-run': '1' })).toEqual(true);
    expect(reportsLeaving(421, { ...LEAVING, speaker: 'runner-1' })).toEqual(true);
  });

  it('applies Retry-After from a refusal of the runner, but not from other answers', () => {
    const clock = new ManualClock();
    const pausedUntil = (statusCode: number, headers: Record<string, string>) => {
      const runner = new Runner(RUNNER.entry);
      const protocol = new TestProtocol();
      const log = new SilentLog();
      const statements = new RunnerNotices({ protocol, clock, log, onLeaving: () => undefined });
      statements.take(runner, { statusCode, headers });
      return runner.pausedUntil;
    };
    const asks = { 'retry-after': '1.5' };
    expect(pausedUntil(503, { ...asks, 'not-run': '1' })).toEqual(1_500);
    expect(pausedUntil(503, asks)).toEqual(1_500);
    expect(pausedUntil(503, { ...asks, speaker: 'runner-2' })).toEqual(-Infinity);
    expect(pausedUntil(500, { ...asks, ...SIGNED })).toEqual(-Infinity);
  });

  it('ignores a shutdown notice of another runner or of an unknown sender', () => {
    expect(reportsLeaving(200, LEAVING)).toEqual(false);
    expect(reportsLeaving(503, LEAVING)).toEqual(false);
    expect(reportsLeaving(421, { ...LEAVING, ...SIGNED })).toEqual(false);
    expect(reportsLeaving(421, { ...LEAVING, speaker: 'runner-2' })).toEqual(false);
    expect(reportsLeaving(200, { ...LEAVING, ...SIGNED, speaker: 'runner-2' })).toEqual(false);
  });
});
