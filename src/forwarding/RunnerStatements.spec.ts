import { describe, it } from 'node:test';

import { expect } from 'earl';

import { SilentLog } from '../logging/Log.js';
import { Runner } from '../runners/Runner.js';
import { TEST_RUNNER } from '../runners/testRunner.js';
import { ManualClock } from '../time/ManualClock.js';
import { RunnerStatements } from './RunnerStatements.js';
import { TestProtocol } from './testProtocol.js';

const RUNNER = new Runner(TEST_RUNNER);

const LEAVING = { leaving: '1' };
const SIGNED = { signature: 's' };

function isBelieved(statusCode: number, headers: Record<string, string>): boolean {
  let leaves = false;
  const statements = new RunnerStatements({
    protocol: new TestProtocol(),
    clock: new ManualClock(),
    log: new SilentLog(),
    onLeaving: () => {
      leaves = true;
    },
  });
  statements.take(RUNNER, { statusCode, headers });
  return leaves;
}

describe(RunnerStatements.name, () => {
  it('believes a runner that leaves in an answer of any status that is its own', () => {
    for (const status of [200, 206, 400, 404, 429, 500, 503, 504]) {
      expect(isBelieved(status, { ...LEAVING, ...SIGNED })).toEqual(true);
      expect(isBelieved(status, SIGNED)).toEqual(false);
    }
    expect(isBelieved(503, { ...LEAVING, 'not-run': '1' })).toEqual(true);
    expect(isBelieved(421, { ...LEAVING, speaker: 'runner-1' })).toEqual(true);
  });

  it('pauses a runner that asks for time where it refuses, not where it answers', () => {
    const clock = new ManualClock();
    const pausedUntil = (statusCode: number, headers: Record<string, string>) => {
      const runner = new Runner(RUNNER.entry);
      const protocol = new TestProtocol();
      const log = new SilentLog();
      const statements = new RunnerStatements({ protocol, clock, log, onLeaving: () => undefined });
      statements.take(runner, { statusCode, headers });
      return runner.pausedUntil;
    };
    const asks = { 'retry-after': '1.5' };
    expect(pausedUntil(503, { ...asks, 'not-run': '1' })).toEqual(1_500);
    expect(pausedUntil(503, asks)).toEqual(1_500);
    expect(pausedUntil(503, { ...asks, speaker: 'runner-2' })).toEqual(-Infinity);
    expect(pausedUntil(500, { ...asks, ...SIGNED })).toEqual(-Infinity);
  });

  it('does not take the word of another runner, or of nobody, for it', () => {
    expect(isBelieved(200, LEAVING)).toEqual(false);
    expect(isBelieved(503, LEAVING)).toEqual(false);
    expect(isBelieved(421, { ...LEAVING, ...SIGNED })).toEqual(false);
    expect(isBelieved(421, { ...LEAVING, speaker: 'runner-2' })).toEqual(false);
    expect(isBelieved(200, { ...LEAVING, ...SIGNED, speaker: 'runner-2' })).toEqual(false);
  });
});
