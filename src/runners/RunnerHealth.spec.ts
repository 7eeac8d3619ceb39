import { describe, it } from 'node:test';

import { expect } from 'earl';

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
