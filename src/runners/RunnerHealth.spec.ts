import { describe, it } from 'node:test';

import { expect } from 'earl';

import { FailureShare } from './FailureShare.js';
import { RunnerHealth } from './RunnerHealth.js';

describe('RunnerHealth', () => {
  it('leaves a runner alone at once when it cannot be reached, then tries it with one request', () => {
    const health = new RunnerHealth();
    expect(health.record(0, 'unreachable')).toEqual(true);
    expect(health.isUsable(799)).toEqual(false);
    expect(health.isUsable(800)).toEqual(true);
    health.sent();
    expect(health.isUsable(801)).toEqual(false);
    health.record(802, 'answered');
    expect(health.isUsable(803)).toEqual(true);
  });

  it('leaves it alone for longer each time', () => {
    const health = new RunnerHealth();
    health.record(0, 'unreachable');
    health.sent();
    health.record(900, 'unreachable');
    expect(health.isUsable(900 + 1_599)).toEqual(false);
    expect(health.isUsable(900 + 1_600)).toEqual(true);
  });

  it('bears the errors that a service answers by itself', () => {
    // Symptom: sound runners get no requests. Sequence: one in seven requests is answered with an error of the
    // service. Cause: single errors were held against the runner.
    const health = new RunnerHealth();
    for (let index = 0; index < 200; index += 1) {
      health.record(index * 50, index % 7 === 0 ? 'failed' : 'answered');
      expect(health.isUsable(index * 50)).toEqual(true);
    }
  });

  it('leaves a runner alone that fails every second request', () => {
    const health = new RunnerHealth();
    const paused = Array.from({ length: 10 }, (_, index) =>
      health.record(index * 50, index % 2 === 0 ? 'failed' : 'answered'),
    );
    expect(paused.includes(true)).toEqual(true);
  });

  it('leaves no runner alone for errors that all runners of the service give', () => {
    // Symptom: prompts are read again all over the place while a service fails. Sequence: every runner fails nearly
    // half of its requests, one after the other is left alone, and its prompts go to runners that do not have them.
    // Cause: a runner was judged without a look at the others.
    const service = new FailureShare();
    const runners = Array.from({ length: 8 }, () => new RunnerHealth(service));
    const paused = [];
    for (let index = 0; index < 400; index += 1) {
      const runner = runners[index % runners.length];
      const outcome = index % 20 < 9 ? 'failed' : 'answered';
      if (runner?.record(index * 10, outcome)) paused.push(index);
    }
    expect(paused).toEqual([]);
  });

  it('leaves the one runner of eight alone that fails every second request, within a second', () => {
    // What goes wrong otherwise: one request in sixteen fails for as long as the runner is listed.
    const service = new FailureShare();
    const runners = Array.from({ length: 8 }, () => new RunnerHealth(service));
    let pausedAt: number | undefined;
    for (let index = 0; index < 200 && pausedAt === undefined; index += 1) {
      const number = index % runners.length;
      const outcome = number === 0 && index % 16 === 0 ? 'failed' : 'answered';
      if (runners[number]?.record(index * 10, outcome)) pausedAt = index * 10;
    }
    expect(pausedAt !== undefined && pausedAt <= 1_000).toEqual(true);
  });

  it('still takes cached prompts from a runner that fails requests, not from one that cannot be reached', () => {
    const failing = new RunnerHealth();
    for (let index = 0; index < 3; index += 1) failing.record(index, 'failed');
    expect([failing.isUsable(3), failing.isReachable(3)]).toEqual([false, true]);
    const away = new RunnerHealth();
    away.record(0, 'unreachable');
    expect([away.isUsable(1), away.isReachable(1)]).toEqual([false, false]);
  });

  it('is not stuck when the request that finds out is broken off by its caller', () => {
    // Symptom: a runner that is back gets no request for ever. Sequence: the one request that finds out is
    // abandoned. Cause: the probe counted as under way.
    const health = new RunnerHealth();
    health.record(0, 'unreachable');
    health.sent();
    health.abandoned();
    expect(health.isUsable(900)).toEqual(true);
  });
});
