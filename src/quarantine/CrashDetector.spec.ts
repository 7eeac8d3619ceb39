import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { ProbeResult } from '../forwarding/probeRunner.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { TEST_RUNNER } from '../runners/testRunner.js';
import { ManualClock } from '../time/ManualClock.js';
import { CrashDetector } from './CrashDetector.js';
import { RequestSubjects } from './requestSubjects.js';

describe(CrashDetector.name, () => {
  let clock: ManualClock;
  let runners: RunnerTable;
  let detector: CrashDetector;
  let probes: ((result: ProbeResult) => void)[];
  let later: (() => void)[];
  let crashes: string[];
  let counted: number;

  beforeEach(() => {
    clock = new ManualClock({ monotonicMilliseconds: 10_000 });
    runners = new RunnerTable();
    runners.put(TEST_RUNNER);
    probes = [];
    later = [];
    crashes = [];
    counted = 0;
    detector = new CrashDetector({
      runners,
      clock,
      onCrash: ({ runner, crash, requests, isFirst }) => {
        if (isFirst) counted += 1;
        crashes.push(
          `${runner.entry.id} ${crash.at} ${requests.map(({ whole }) => whole.digest).join()}`,
        );
      },
      probe: (_runner, done) => probes.push(done),
      later: (call) => later.push(call),
    });
  });

  function breakOff(digest: string, startedAt = 0): void {
    const runner = runners.get(TEST_RUNNER.id);
    if (runner)
      detector.recordInterrupted(runner, { subjects: new RequestSubjects({ digest }), startedAt });
  }

  it('reports a crash of a runner that refuses connections, with all interrupted requests, the latest first', () => {
    breakOff('a', 5);
    breakOff('b', 7);
    probes[0]?.('refused');
    breakOff('c', 1);
    expect(crashes).toEqual(['runner-1 10000 b,a', 'runner-1 10000 c']);
    expect([probes.length, counted]).toEqual([1, 1]);
  });

  it('reports no crash of a runner that resets connections or is partitioned', () => {
    for (const result of ['accepted', 'no_answer'] as const) {
      breakOff('a');
      probes.shift()?.(result);
      later.shift()?.();
      probes.shift()?.(result);
      later.shift()?.();
    }
    expect([crashes, probes.length, later.length]).toEqual([[], 0, 0]);
  });

  it('reports a crash of a runner that appears under a new incarnation', () => {
    breakOff('a');
    probes[0]?.('accepted');
    runners.put({ ...TEST_RUNNER, life: 'runner-1@2' });
    later[0]?.();
    probes[1]?.('accepted');
    expect(crashes).toEqual(['runner-1 10000 a']);
  });

  it('reports a crash of a runner with a new incarnation within two seconds, though its address accepted connections', () => {
    breakOff('a');
    probes[0]?.('accepted');
    later[0]?.();
    probes[1]?.('accepted');
    runners.put({ ...TEST_RUNNER, life: 'runner-1@2' });
    later[1]?.();
    expect(crashes).toEqual(['runner-1 10000 a']);
  });

  it('reports a crash of a runner that refuses another request soon after', () => {
    breakOff('a');
    probes[0]?.('no_answer');
    const runner = runners.get(TEST_RUNNER.id);
    if (runner) detector.recordRefusal(runner);
    expect(crashes).toEqual(['runner-1 10000 a']);
  });

  it('counts a crash against a request whose caller disconnected just before', () => {
    const runner = runners.get(TEST_RUNNER.id);
    if (!runner) return;
    detector.recordAbandoned(runner, {
      subjects: new RequestSubjects({ digest: 'a' }),
      startedAt: 1,
    });
    detector.recordRefusal(runner);
    clock.advance(2_000);
    detector.recordAbandoned(runner, {
      subjects: new RequestSubjects({ digest: 'b' }),
      startedAt: 2,
    });
    clock.advance(2_000);
    detector.recordRefusal(runner);
    expect(crashes).toEqual(['runner-1 10000 a']);
  });

  it('reports a crash of a runner in an evacuated data centre, which finishes its remaining requests', () => {
    runners.setEvacuated(new Set([TEST_RUNNER.dataCentre]));
    breakOff('a');
    probes[0]?.('refused');
    expect(crashes).toEqual(['runner-1 10000 a']);
  });

  it('reports no crash of a draining runner', () => {
    runners.put({ ...TEST_RUNNER, state: 'draining' });
    breakOff('a');
    expect(probes.length).toEqual(0);
  });

  it('does not count an earlier crash against a request interrupted later', () => {
    breakOff('a');
    probes[0]?.('refused');
    clock.advance(2_000);
    breakOff('b');
    expect(crashes).toEqual(['runner-1 10000 a']);
  });
});
