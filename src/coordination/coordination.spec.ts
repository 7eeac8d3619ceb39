import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as fc from 'fast-check';

import type { DaemonEntry } from '../sync/FleetStore.js';
import { CoordinatorHealth } from './CoordinatorHealth.js';
import { askedInOrder, coordinatorsOf, readersOf } from './coordinatorsOf.js';
import { GrantLedger } from './GrantLedger.js';

function daemonsOf(count: number): DaemonEntry[] {
  return Array.from({ length: count }, (_, index) => {
    const address = `10.0.${Math.floor(index / 250)}.${1 + (index % 250)}:7000`;
    const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
    return { name: `daemon-${index}`, dataCentre: 'here', ...addresses };
  });
}

function namesOf(daemons: readonly DaemonEntry[]): string[] {
  return daemons.map(({ name }) => name);
}

describe(coordinatorsOf.name, () => {
  it('names none in a small fleet, and one in twenty in a large one', () => {
    const counts = [9, 16, 17, 80, 200, 390].map((size) => coordinatorsOf(daemonsOf(size)).length);
    expect(counts).toEqual([0, 0, 3, 4, 10, 20]);
  });

  it('has a few of them read the store, however many there are', () => {
    const counts = [9, 17, 80, 200, 390].map(
      (size) => readersOf(coordinatorsOf(daemonsOf(size))).length,
    );
    expect(counts).toEqual([0, 3, 4, 4, 4]);
  });

  it('is the same in every daemon, and changes by one where one leaves', () => {
    // Symptom: two thirds of all counts are lost whenever a daemon is restarted. Sequence: a coordinator leaves the
    // list. Cause: coordinators were numbered, and all of them moved by one.
    const daemons = daemonsOf(80);
    const before = namesOf(coordinatorsOf(daemons));
    expect(namesOf(coordinatorsOf([...daemons].reverse()))).toEqual(before);
    const after = namesOf(coordinatorsOf(daemons.filter(({ name }) => name !== before[0])));
    expect(after.filter((name) => before.includes(name)).length).toEqual(before.length - 1);
  });

  it('spreads prompts over the coordinators', () => {
    const coordinators = coordinatorsOf(daemonsOf(80));
    const asked = new Map<string, number>();
    for (let index = 0; index < 1_000; index += 1) {
      const name = askedInOrder(coordinators, `prompt-${index}`)[0]?.name ?? '';
      asked.set(name, (asked.get(name) ?? 0) + 1);
    }
    expect(Math.max(...asked.values()) < 350).toEqual(true);
  });
});

describe(GrantLedger.name, () => {
  it('counts what it has granted until the daemon counts it itself', () => {
    // Symptom: a burst of requests for one prompt all go to one runner. Sequence: thirty daemons ask within 200 ms,
    // before any of them has told its counts. Cause: what was granted was counted nowhere.
    const grants = new GrantLedger();
    const numbers = ['a', 'b', 'b'].map((daemon) => grants.grant(daemon, 'runner', 0));
    expect(grants.of('runner')).toEqual(3);
    grants.counted('b', numbers[1] ?? 0);
    expect(grants.of('runner')).toEqual(2);
    grants.counted('a', numbers[2] ?? 0);
    expect(grants.of('runner')).toEqual(1);
  });

  it('forgets what was never taken up', () => {
    // Symptom: a runner looks full for good. Sequence: the answer to a question is lost, or the daemon dies. Cause:
    // only the daemon's own counts end a grant.
    const grants = new GrantLedger();
    grants.grant('a', 'runner', 0);
    grants.expire(1_000);
    expect(grants.of('runner')).toEqual(1);
    grants.expire(1_001);
    expect(grants.of('runner')).toEqual(0);
  });

  it('never counts below none, whatever comes in whatever order', () => {
    const step = fc.record({
      kind: fc.constantFrom('grant' as const, 'counted' as const, 'expire' as const),
      daemon: fc.constantFrom('a', 'b'),
      life: fc.constantFrom('x', 'y'),
      number: fc.nat(12),
      later: fc.nat(600),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const grants = new GrantLedger();
        let now = 0;
        for (const { kind, daemon, life, number, later } of steps) {
          now += later;
          if (kind === 'grant') grants.grant(daemon, life, now);
          else if (kind === 'counted') grants.counted(daemon, number);
          else grants.expire(now);
          expect(grants.of('x') >= 0 && grants.of('y') >= 0).toEqual(true);
        }
        grants.expire(now + 2_000);
        expect([grants.of('x'), grants.of('y')]).toEqual([0, 0]);
      }),
      { numRuns: 500, seed: 20_261_203 },
    );
  });
});

describe(CoordinatorHealth.name, () => {
  it('leaves a coordinator alone that misses twice, for longer each time, until it answers', () => {
    // Symptom: a quarter of all first answers is late for nine seconds. Sequence: a coordinator loses power, and its
    // lease still runs. Cause: every request waited for it in vain.
    const health = new CoordinatorHealth();
    expect(health.missed('c', 0, 0)).toEqual(false);
    expect(health.isUsable('c', 1)).toEqual(true);
    expect(health.missed('c', 10, 10)).toEqual(true);
    expect([health.isUsable('c', 509), health.isUsable('c', 510)]).toEqual([false, true]);
    health.missed('c', 510, 510);
    expect([health.isUsable('c', 1_509), health.isUsable('c', 1_510)]).toEqual([false, true]);
    health.answered('c');
    expect(health.missed('c', 1_600, 1_600)).toEqual(false);
  });

  it('asks one that was away for long soon after it is back', () => {
    // Symptom: a frozen coordinator wakes and is asked nothing for up to eight seconds, while the others do its work.
    // Sequence: it misses one question after the other, each doubles the pause. Cause: the longest pause was as long as
    // the store's list names a dead daemon; the failure detector drops one within three seconds.
    const health = new CoordinatorHealth();
    let now = 0;
    while (now < 20_000) {
      if (health.isUsable('c', now)) health.missed('c', now, now + 30);
      now += 10;
    }
    const wokenAt = now;
    while (!health.isUsable('c', now)) now += 10;
    expect(now - wokenAt <= 3_000).toEqual(true);
  });

  it('takes questions of the same moment for one', () => {
    // Symptom: a daemon leaves all coordinators alone, one after the other, and chooses alone. Sequence: its process
    // stands still, or its link is full, for a moment in which it has asked for several runners. Cause: each question
    // counted as a miss of its own, so that one moment was enough.
    const health = new CoordinatorHealth();
    const results = [0, 5, 29].map((askedAt) => health.missed('c', askedAt, askedAt + 30));
    expect(results).toEqual([false, false, false]);
    expect(health.isUsable('c', 60)).toEqual(true);
    expect(health.missed('c', 60, 90)).toEqual(true);
  });
});
