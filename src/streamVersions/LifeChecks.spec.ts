import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { Runner } from '../runners/Runner.js';
import { ManualClock } from '../time/ManualClock.js';
import { LifeChecks } from './LifeChecks.js';

const PLACE = { service: 'chat', state: 'ready', host: '10.0.0.1', port: 1, dataCentre: 'here' };

describe('checks of the incarnation of a runner', () => {
  let clock: ManualClock;
  let runner: Runner;
  let asked: ((life: string | undefined) => void)[];
  let timers: (() => void)[];
  let findings: string[];
  let checks: LifeChecks;

  beforeEach(() => {
    clock = new ManualClock();
    runner = new Runner({ ...PLACE, id: 'one', life: 'one/1', state: 'ready' });
    [asked, timers, findings] = [[], [], []];
    checks = new LifeChecks({
      clock,
      fetchLife: (_, done) => asked.push(done),
      onLife: (_, life) => findings.push(`onLife ${life}`),
      later: (call) => timers.push(call),
    });
  });

  function check(): void {
    checks.check(runner, (finding) => findings.push(finding));
  }

  // Guards against a question for each of many streams that break off at the same moment.
  it('share one question', () => {
    check();
    check();
    expect(asked.length).toEqual(1);
    asked[0]?.('one/1');
    check();
    expect(findings).toEqual(['onLife one/1', 'same_life', 'same_life', 'same_life']);
    clock.advance(100);
    check();
    expect(asked.length).toEqual(2);
  });

  it('find that it has started again, each time anew', () => {
    check();
    asked[0]?.('one/2');
    check();
    expect(findings).toEqual(['onLife one/2', 'restarted']);
    expect(asked.length).toEqual(2);
  });

  // Guards against streams that wait for a runner that is silent.
  it('end without an answer in time', () => {
    check();
    timers[0]?.();
    asked[0]?.(undefined);
    check();
    asked[1]?.(undefined);
    expect(findings).toEqual(['unknown', 'unknown']);
  });
});
