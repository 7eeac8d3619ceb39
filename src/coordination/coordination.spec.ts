import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as fc from 'fast-check';

import type { DaemonEntry } from '../sync/FleetStore.js';
import { CoordinatorHealth } from './CoordinatorHealth.js';
import { coordinatorsInOrder, coordinatorsOf, storeReadersOf } from './daemonRoles.js';
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
  it('returns none in a small fleet, and one in twenty in a large one', () => {
    const counts = [9, 16, 17, 80, 200, 390].map((size) => coordinatorsOf(daemonsOf(size)).length);
    expect(counts).toEqual([0, 0, 3, 4, 10, 20]);
  });

  it('lets only a few coordinators read the store, however many there are', () => {
    const counts = [9, 17, 80, 200, 390].map(
      (size) => storeReadersOf(coordinatorsOf(daemonsOf(size))).length,
    );
    expect(counts).toEqual([0, 3, 4, 4, 4]);
  });

  it('is the same in every daemon, and changes by one when one leaves', () => {
    // Guards against the loss of two thirds of all counts whenever a daemon restarts: when coordinators were numbered
    // by their place in the list, one that left the list shifted all others.
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
      const name = coordinatorsInOrder(coordinators, `prompt-${index}`)[0]?.name ?? '';
      asked.set(name, (asked.get(name) ?? 0) + 1);
    }
    expect(Math.max(...asked.values()) < 350).toEqual(true);
  });
});

describe(GrantLedger.name, () => {
  it('counts a grant until its daemon reports the request itself', () => {
    // Guards against a burst of requests for one prompt that all go to the same runner: thirty daemons ask within 200
    // ms, before any of them has reported its counts, and the grants are counted nowhere.
    const grants = new GrantLedger();
    const numbers = ['a', 'b', 'b'].map((daemon) => grants.grant(daemon, 'runner', 0));
    expect(grants.outstandingOf('runner')).toEqual(3);
    grants.acknowledge('b', numbers[1] ?? 0);
    expect(grants.outstandingOf('runner')).toEqual(2);
    grants.acknowledge('a', numbers[2] ?? 0);
    expect(grants.outstandingOf('runner')).toEqual(1);
  });

  it('drops grants that were never reported', () => {
    // Guards against a runner that looks full for good: the answer to a question is lost, or the daemon dies, and only
    // the daemon's own report ends a grant.
    const grants = new GrantLedger();
    grants.grant('a', 'runner', 0);
    grants.expire(1_000);
    expect(grants.outstandingOf('runner')).toEqual(1);
    grants.expire(1_001);
    expect(grants.outstandingOf('runner')).toEqual(0);
  });

  it('never counts below zero, whatever the order of events', () => {
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
          else if (kind === 'counted') grants.acknowledge(daemon, number);
          else grants.expire(now);
          expect(grants.outstandingOf('x') >= 0 && grants.outstandingOf('y') >= 0).toEqual(true);
        }
        grants.expire(now + 2_000);
        expect([grants.outstandingOf('x'), grants.outstandingOf('y')]).toEqual([0, 0]);
      }),
      { numRuns: 500, seed: 20_261_203 },
    );
  });
});

describe(CoordinatorHealth.name, () => {
  it('skips a coordinator after two timeouts, for longer each time, until it answers', () => {
    // Guards against a late first answer for a quarter of all requests over nine seconds: a coordinator loses power
    // while its lease still runs, and every request waits for it in vain.
    const health = new CoordinatorHealth();
    expect(health.recordTimeout('c', 0, 0)).toEqual(false);
    expect(health.isUsable('c', 1)).toEqual(true);
    expect(health.recordTimeout('c', 10, 10)).toEqual(true);
    expect([health.isUsable('c', 509), health.isUsable('c', 510)]).toEqual([false, true]);
    health.recordTimeout('c', 510, 510);
    expect([health.isUsable('c', 1_509), health.isUsable('c', 1_510)]).toEqual([false, true]);
    health.recordAnswer('c');
    expect(health.recordTimeout('c', 1_600, 1_600)).toEqual(false);
  });

  it('asks a coordinator soon after it returns from a long absence', () => {
    // Guards against a recovered coordinator that gets no questions for up to eight seconds while the others do its
    // work. Each timeout of a frozen coordinator doubles the backoff, whose limit was as long as the store lists a
    // dead daemon; the failure detector drops one within three seconds.
    const health = new CoordinatorHealth();
    let now = 0;
    while (now < 20_000) {
      if (health.isUsable('c', now)) health.recordTimeout('c', now, now + 30);
      now += 10;
    }
    const wokenAt = now;
    while (!health.isUsable('c', now)) now += 10;
    expect(now - wokenAt <= 3_000).toEqual(true);
  });

  it('counts timeouts of questions asked at the same moment as one', () => {
    // Guards against a daemon that skips all coordinators, one after the other, and chooses alone. Its process pauses,
    // or its link is congested, for a moment in which it has asked for several runners, and each question counted as a
    // timeout of its own.
    const health = new CoordinatorHealth();
    const results = [0, 5, 29].map((askedAt) => health.recordTimeout('c', askedAt, askedAt + 30));
    expect(results).toEqual([false, false, false]);
    expect(health.isUsable('c', 60)).toEqual(true);
    expect(health.recordTimeout('c', 60, 90)).toEqual(true);
  });
});
