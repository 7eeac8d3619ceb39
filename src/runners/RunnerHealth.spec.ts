import { describe, it } from 'node:test';

import { expect } from 'earl';

import { FailureShare } from './FailureShare.js';
import { RunnerHealth } from './RunnerHealth.js';

describe('RunnerHealth', () => {
  it('ejects an unreachable runner at once, then probes it with one request', () => {
    const health = new RunnerHealth();
    expect(health.record(0, 'unreachable')).toEqual(true);
    expect(health.isUsable(799)).toEqual(false);
    expect(health.isUsable(800)).toEqual(true);
    health.recordSent();
    expect(health.isUsable(801)).toEqual(false);
    health.record(802, 'answered');
    expect(health.isUsable(803)).toEqual(true);
  });

  it('ejects it for longer each time', () => {
    const health = new RunnerHealth();
    health.record(0, 'unreachable');
    health.recordSent();
    health.record(900, 'unreachable');
    expect(health.isUsable(900 + 1_599)).toEqual(false);
    expect(health.isUsable(900 + 1_600)).toEqual(true);
  });

  it("tolerates the service's own errors", () => {
    // Guards against healthy runners that get no requests: when one in seven requests is answered with an error of the
    // service itself, single errors must not count against the runner.
    const health = new RunnerHealth();
    for (let index = 0; index < 200; index += 1) {
      health.record(index * 50, index % 7 === 0 ? 'failed' : 'answered');
      expect(health.isUsable(index * 50)).toEqual(true);
    }
  });

  it('ejects a runner that fails every second request', () => {
    const health = new RunnerHealth();
    const paused = Array.from({ length: 10 }, (_, index) =>
      health.record(index * 50, index % 2 === 0 ? 'failed' : 'answered'),
    );
    expect(paused.includes(true)).toEqual(true);
  });

  it('ejects no runner for errors that all runners of the service return', () => {
    // Guards against prompts that are read again at many runners while a service fails. Every runner fails nearly half
    // of its requests; if runners were ejected without a comparison with the others, one after the other would be
    // ejected and its prompts sent to runners that do not have them cached.
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

  it('ejects the one runner of eight that fails every second request, within a second', () => {
    // Guards against one failed request in sixteen for as long as the runner is listed.
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

  it('copies cached prompts from a runner that fails requests, but not from an unreachable one', () => {
    const failing = new RunnerHealth();
    for (let index = 0; index < 3; index += 1) failing.record(index, 'failed');
    expect([failing.isUsable(3), failing.isReachable(3)]).toEqual([false, true]);
    const away = new RunnerHealth();
    away.record(0, 'unreachable');
    expect([away.isUsable(1), away.isReachable(1)]).toEqual([false, false]);
  });

  it('does not stay ejected when the caller aborts the probe request', () => {
    // Guards against a recovered runner that never gets a request again: its probe request is abandoned, but still
    // counted as in flight.
    const health = new RunnerHealth();
    health.record(0, 'unreachable');
    health.recordSent();
    health.recordAbandoned();
    expect(health.isUsable(900)).toEqual(true);
  });
});
