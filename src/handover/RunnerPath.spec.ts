import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { Runner } from '../runners/Runner.js';
import { ManualClock } from '../time/ManualClock.js';
import type { ProbeResult } from '../forwarding/probeRunner.js';
import { RunnerPath } from './RunnerPath.js';
import { RunnerPathMonitor } from './RunnerPathMonitor.js';

const RUNNERS = 8;

const LOOK_MILLISECONDS = 250;

describe('the path to the runners', () => {
  let path: RunnerPath;
  let changes: boolean[];

  beforeEach(() => {
    changes = [];
    path = new RunnerPath({
      runnerCount: () => RUNNERS,
      onChange: (isLost) => changes.push(isLost),
    });
  });

  const fail = (...lives: string[]) => lives.forEach((life) => path.recordFailure(life, 0));

  it('is lost once four different runners have failed in a row', () => {
    fail('a', 'b', 'c');
    expect(path.isLost).toEqual(false);
    fail('d');
    expect(changes).toEqual([true]);
  });

  // Guards against a daemon that takes one dead runner for the loss of its path.
  it('is not lost by one runner that fails again and again', () => {
    fail('a', 'a', 'a', 'a', 'a');
    expect(path.isLost).toEqual(false);
  });

  // Guards against a service that is down being taken for a lost path while others are heard from.
  it('is not lost by failures between which a runner is heard from', () => {
    fail('a', 'b', 'c');
    path.recordHeard();
    fail('d', 'e', 'f');
    expect(path.isLost).toEqual(false);
  });

  it('is back with the first runner that accepts a connection', () => {
    fail('a', 'b', 'c', 'd');
    path.recordAccepted(5);
    expect(changes).toEqual([true, false]);
  });

  // Guards against a path that comes and goes while old connections live on and new ones are refused.
  it('is not back with data on a connection that was open before', () => {
    fail('a', 'b', 'c', 'd');
    path.recordHeard();
    expect(path.isLost).toEqual(true);
  });

  // Guards against a daemon that refuses what the runners that are left could serve, because several others are down.
  it('is not lost by runners that are down while another one accepts a connection', () => {
    const answers: ((isReached: boolean) => void)[] = [];
    path = new RunnerPath({
      runnerCount: () => RUNNERS,
      onChange: (isLost) => changes.push(isLost),
      confirm: (done) => answers.push(done),
    });
    fail('a', 'b', 'c', 'd', 'e', 'f', 'g');
    expect([path.isLost, answers.length]).toEqual([false, 1]);
    path.recordAccepted(5);
    answers.shift()?.(true);
    expect(changes).toEqual([]);
    fail('a', 'b', 'c', 'd');
    answers.shift()?.(false);
    expect(changes).toEqual([true]);
  });

  it('needs two runners to fail in a site with one', () => {
    path = new RunnerPath({ runnerCount: () => 1 });
    fail('a');
    expect(path.isLost).toEqual(false);
    fail('b');
    expect(path.isLost).toEqual(true);
  });
});

describe('the monitor of the path', () => {
  let clock: ManualClock;
  let path: RunnerPath;
  let monitor: RunnerPathMonitor;
  let probed: string[];
  let result: ProbeResult;

  beforeEach(() => {
    clock = new ManualClock();
    path = new RunnerPath({ runnerCount: () => RUNNERS });
    probed = [];
    result = 'accepted';
    const entry = {
      service: 'chat',
      dataCentre: 'here',
      state: 'ready',
      host: '',
      port: 1,
    } as const;
    const runners = Array.from(
      { length: RUNNERS },
      (_, index) => new Runner({ ...entry, id: `runner-${index}`, life: `runner-${index}` }),
    );
    const probe = (runner: Runner, done: (result: ProbeResult) => void) => {
      probed.push(runner.entry.id);
      done(result);
    };
    monitor = new RunnerPathMonitor({ path, runners: () => runners, clock, probe });
  });

  function look(times: number): void {
    for (let count = 0; count < times; count += 1) {
      clock.advance(LOOK_MILLISECONDS);
      monitor.look();
    }
  }

  it('probes nothing while no request waits', () => {
    look(20);
    expect(probed).toEqual([]);
  });

  it('probes a single runner where all are slow and reachable', () => {
    path.recordSent(clock.monotonicMilliseconds());
    look(8);
    expect(probed.length).toEqual(1);
  });

  // Guards against requests that wait on connections that a partition has left hanging.
  it('finds a lost path within a second of the first request that nobody answers', () => {
    result = 'no_answer';
    path.recordSent(clock.monotonicMilliseconds());
    look(4);
    expect(path.isLost).toEqual(true);
  });

  it('probes runners all over the list before a path counts as lost', () => {
    const results: boolean[] = [];
    monitor.confirmLoss((isReached) => results.push(isReached));
    result = 'refused';
    monitor.confirmLoss((isReached) => results.push(isReached));
    expect([results, new Set(probed).size]).toEqual([[true, false], RUNNERS]);
  });

  // Guards against a daemon that goes on handing over after its own path is back.
  it('finds the path back at the next look', () => {
    result = 'refused';
    path.recordSent(clock.monotonicMilliseconds());
    look(8);
    expect(path.isLost).toEqual(true);
    result = 'accepted';
    look(1);
    expect(path.isLost).toEqual(false);
  });
});
