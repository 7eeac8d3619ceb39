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

  /** Lets a runner of the service say which life it is. */
  function learn(): void {
    check();
    asked[0]?.('one/1');
    clock.advance(1_000);
    [asked, timers, findings] = [[], [], []];
  }

  // Guards against a question for each of many streams that break off at the same moment.
  it('share one question', () => {
    learn();
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
    learn();
    check();
    asked[0]?.('one/2');
    check();
    expect(findings).toEqual(['onLife one/2', 'restarted']);
    expect(asked.length).toEqual(2);
  });

  // Guards against streams that wait for a runner that is silent.
  it('end without an answer in time', () => {
    learn();
    check();
    timers[0]?.();
    asked[0]?.(undefined);
    check();
    asked[1]?.(undefined);
    expect(findings).toEqual(['unknown', 'unknown']);
  });

  // Guards against streams that wait at each step for runners that serve no report.
  it('are not waited for until a runner of the service has said it, and end if none does', () => {
    for (let question = 0; question < 2; question += 1) {
      check();
      expect(findings.length).toEqual(question + 1);
      asked[question]?.(undefined);
    }
    check();
    expect([asked.length, findings.length]).toEqual([2, 3]);
    clock.advance(30_000);
    check();
    expect(asked.length).toEqual(3);
  });

  it('are waited for at once where a runner is in doubt', () => {
    runner.restart.record(0);
    check();
    expect(findings).toEqual([]);
    asked[0]?.('one/2');
    expect(findings).toEqual(['onLife one/2', 'restarted']);
  });

  // Guards against a runner that is not asked any more because its connections fail.
  it('go on for a service whose runners have said it', () => {
    for (const life of ['one/1', undefined, undefined, undefined]) {
      check();
      asked.at(-1)?.(life);
      clock.advance(1_000);
    }
    expect(asked.length).toEqual(4);
  });
});
