import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { LeaseDecisions } from './LeaseDecisions.js';
import { DEFAULT_LEASE_TIMINGS } from './leaseTimings.js';
import type { LeaseAction, LeaseMessage, LeaseReadResult } from './leaseTypes.js';
import type { CallFault, LeaseFaults, SimulatedOrder } from './testLeaseSimulation.js';
import { LeaseSimulation } from './testLeaseSimulation.js';

const { longestOrderMilliseconds: LONGEST_ORDER_MILLISECONDS } = DEFAULT_LEASE_TIMINGS;
const MINUTE = 60_000;

const NO_FAULTS: LeaseFaults = {
  callFaults: [{ requestDelay: 2, answerDelay: 2, lost: 'nothing' }],
  pauses: [],
  outages: [],
  deletions: [],
  clockRates: [],
  orderDelays: [50],
};

function callsWithOneLost(position: number, lost: CallFault['lost']): CallFault[] {
  const calm: CallFault = { requestDelay: 2, answerDelay: 2, lost: 'nothing' };
  return Array.from({ length: 40 }, (_, index) => (index === position ? { ...calm, lost } : calm));
}

/** Pairs of orders of two holders where the newer one sent its order before the older one's had arrived. */
function overlaps(orders: readonly SimulatedOrder[]): [SimulatedOrder, SimulatedOrder][] {
  return orders.flatMap((newer) =>
    orders
      .filter((older) => older.token < newer.token && older.arrivedAt > newer.sentAt)
      .map((older): [SimulatedOrder, SimulatedOrder] => [older, newer]),
  );
}

const callFault: fc.Arbitrary<CallFault> = fc.record({
  requestDelay: fc.integer({ min: 1, max: 3000 }),
  answerDelay: fc.integer({ min: 1, max: 3000 }),
  lost: fc.oneof(
    { weight: 5, arbitrary: fc.constant('nothing' as const) },
    { weight: 1, arbitrary: fc.constantFrom('request' as const, 'answer' as const) },
  ),
});

const time = fc.integer({ min: 0, max: 8 * MINUTE });

const faults: fc.Arbitrary<LeaseFaults> = fc.record({
  callFaults: fc.array(callFault, { minLength: 1, maxLength: 40 }),
  pauses: fc.array(
    fc.record({
      daemon: fc.nat(2),
      at: time,
      length: fc.integer({ min: 1000, max: 3 * MINUTE }),
    }),
    { maxLength: 5 },
  ),
  outages: fc.array(fc.record({ at: time, length: fc.integer({ min: 1000, max: MINUTE }) }), {
    maxLength: 2,
  }),
  deletions: fc.array(time, { maxLength: 3 }),
  clockRates: fc.array(fc.constantFrom(0.98, 1, 1.02), { minLength: 3, maxLength: 3 }),
  orderDelays: fc.array(fc.integer({ min: 1, max: LONGEST_ORDER_MILLISECONDS }), {
    minLength: 1,
    maxLength: 9,
  }),
});

/** Drives the decisions by hand and finds the call numbers of the actions of the last message. */
class LeaseDriver {
  readonly decisions = new LeaseDecisions({ key: 'k', holder: 'd' });

  private last: readonly LeaseAction[] = [];

  send(now: number, message: LeaseMessage): readonly LeaseAction[] {
    this.last = this.decisions.decide(now, message);
    return this.last;
  }

  call(kind: LeaseAction['kind']): number {
    const action = this.last.find(({ kind: asked }) => asked === kind);
    if (!action || !('call' in action))
      throw new Error(`The last message caused no action ${kind} with a call number.`);
    return action.call;
  }

  /** Goes as far as the write of the key, at 2000 ms, and returns its call number. */
  toWrite(): number {
    this.send(0, { kind: 'lease_fencing', checked: true });
    this.send(0, { kind: 'lease_rank', rank: 0 });
    this.send(2000, { kind: 'tick' });
    const reading = { kind: 'absent', storeRevision: 50 } as const;
    this.send(2000, { kind: 'lease_read', call: this.call('read_lease'), reading });
    const term = { kind: 'granted', leaseId: 'l', timeToLiveMilliseconds: 30_000 } as const;
    this.send(2000, { kind: 'lease_term', call: this.call('grant_lease'), term });
    return this.call('write_lease');
  }

  /** Acquires the lease at 2000 ms. */
  hold(): void {
    const writing = { kind: 'committed', revision: 60 } as const;
    this.send(2000, { kind: 'lease_written', call: this.toWrite(), writing });
  }
}

function found(nonce: string, storeRevision = 61): LeaseReadResult {
  const claim = { holder: 'x', nonce };
  return { kind: 'found', claim, modifiedRevision: 60, storeRevision };
}

describe(LeaseDecisions.name, () => {
  it('gives the lease to the first daemon, and to the second when the first is gone', () => {
    const simulation = new LeaseSimulation({ daemons: 2, faults: NO_FAULTS, checksFencing: true });
    simulation.run(MINUTE);
    expect(simulation.activeHolders()).toEqual([0]);
    simulation.send(0, { kind: 'release' });
    simulation.run(4 * MINUTE);
    expect(simulation.activeHolders()).toEqual([1]);
  });

  it('acquires the lease whichever single call is lost', () => {
    for (const lost of ['answer', 'request'] as const) {
      for (let position = 0; position < 20; position += 1) {
        const callFaults = callsWithOneLost(position, lost);
        const simulation = new LeaseSimulation({
          daemons: 1,
          faults: { ...NO_FAULTS, callFaults },
          checksFencing: true,
        });
        simulation.run(20_000);
        expect(simulation.activeHolders()).toEqual([0]);
      }
    }
  });

  const afterLostWrite: [string, LeaseReadResult, string][] = [
    ['the key is ours', found('d/1'), 'held'],
    ['the key is ours by an earlier attempt', found('d/0'), 'waiting'],
    ['the key is of another daemon', found('other/1'), 'waiting'],
    ['the key is not there yet', { kind: 'absent', storeRevision: 55 }, 'acquiring'],
    ['old data shows no key', { kind: 'absent', storeRevision: 49 }, 'waiting'],
    ['the platform is silent', { kind: 'failed', reason: 'down' }, 'waiting'],
  ];
  for (const [name, reading, state] of afterLostWrite) {
    it(`reads after the answer to its write was lost: ${name}`, () => {
      // Guards against a pool without orders whose key names a daemon that gives none: the key is written,
      // the answer is lost, and the daemon treats the write as failed. Only a read can show whether a write
      // took effect.
      const driver = new LeaseDriver();
      const call = driver.toWrite();
      const writing = { kind: 'unsure', reason: 'timeout' } as const;
      driver.send(3000, { kind: 'lease_written', call, writing });
      expect(driver.decisions.state).toEqual('checking');
      driver.send(3001, { kind: 'lease_read', call: driver.call('read_lease'), reading });
      driver.send(3001, { kind: 'tick' });
      expect(driver.decisions.state).toEqual(state as typeof driver.decisions.state);
    });
  }

  it('counts a renewal from before it was asked for, and lapses at the first message after', () => {
    // Guards against a holder that acts under its lease for seconds after the platform has granted it to
    // another: a renewal takes four seconds, the holder counts from its answer, and the next renewal fails.
    // The platform counts from when it received the call, not from when the answer was read.
    const driver = new LeaseDriver();
    driver.hold();
    driver.send(12_000, { kind: 'tick' });
    const call = driver.call('renew_lease');
    const term = { kind: 'granted', leaseId: 'l', timeToLiveMilliseconds: 30_000 } as const;
    driver.send(16_000, { kind: 'lease_term', call, term });
    // The confirmation of the key, at 2000 ms, expires first.
    expect(driver.decisions.authority?.until).toEqual(2000 + 28_500);
    const reading = found('d/1');
    driver.send(17_000, { kind: 'tick' });
    driver.send(17_001, { kind: 'lease_read', call: driver.call('read_lease'), reading });
    expect(driver.decisions.authority?.until).toEqual(12_000 + 28_500);
    const actions = driver.send(40_500, { kind: 'tick' });
    expect(driver.decisions.authority).toEqual(undefined);
    expect(actions.map(({ kind }) => kind).includes('revoke_lease')).toEqual(true);
    expect(driver.decisions.state).toEqual('waiting');
  });

  it('gives up when the platform renews the lease but its key cannot be seen any more', () => {
    // Guards against two daemons that give orders while each renews its own lease: the key is deleted by hand
    // and another daemon writes it, while the lease of the first remains valid. A renewed lease does not show
    // that the key still exists.
    const driver = new LeaseDriver();
    driver.hold();
    for (let now = 3000; now < 30_000; now += 1000) {
      for (const action of driver.send(now, { kind: 'tick' })) {
        if (action.kind === 'renew_lease') {
          const term = { kind: 'granted', leaseId: 'l', timeToLiveMilliseconds: 30_000 } as const;
          driver.decisions.decide(now, { kind: 'lease_term', call: action.call, term });
        }
        if (action.kind === 'read_lease') {
          // An outdated read still shows the key, but does not prove that it exists.
          const reading = found('d/1', 40);
          driver.decisions.decide(now, { kind: 'lease_read', call: action.call, reading });
        }
      }
    }
    expect(driver.decisions.state).toEqual('held');
    driver.send(30_500, { kind: 'tick' });
    expect(driver.decisions.state).toEqual('waiting');
  });

  it('stops by its own clock when the holder was paused past its lease', () => {
    // Guards against two daemons that give orders to the same engines: the holder is paused for three minutes,
    // its lease expires, another daemon acquires it, and the first one resumes and goes on. This happens if the
    // resumed process does not check its clock.
    const pauses = [{ daemon: 0, at: MINUTE, length: 3 * MINUTE }];
    const simulation = new LeaseSimulation({
      daemons: 2,
      faults: { ...NO_FAULTS, pauses },
      checksFencing: true,
    });
    simulation.run(MINUTE - 1);
    expect(simulation.activeHolders()).toEqual([0]);
    simulation.run(4 * MINUTE + 5000);
    expect(simulation.activeHolders()).toEqual([1]);
    expect(overlaps(simulation.orders)).toEqual([]);
  });

  it('stops when the platform is silent for longer than its lease, and returns after the outage', () => {
    const outages = [{ at: MINUTE, length: 2 * MINUTE }];
    const simulation = new LeaseSimulation({
      daemons: 2,
      faults: { ...NO_FAULTS, outages },
      checksFencing: true,
    });
    simulation.run(MINUTE + 31_000);
    expect(simulation.activeHolders()).toEqual([]);
    simulation.run(5 * MINUTE);
    expect(simulation.activeHolders().length).toEqual(1);
  });

  it('waits out the old lease and orders under way before engines that ignore the token', () => {
    // Guards against an engine that ignores fencing tokens and carries out an old holder's order after the new
    // holder's: the key is deleted by hand while the old order is on its way, a new holder acquires the lease
    // and gives an order at once, and the old order arrives last. The new holder has to wait until no order of
    // the old one can arrive any more.
    const slow = { ...NO_FAULTS, deletions: [MINUTE], orderDelays: [LONGEST_ORDER_MILLISECONDS] };
    const pauses = [{ daemon: 0, at: MINUTE + 20_000, length: 5 * MINUTE }];
    const simulation = new LeaseSimulation({
      daemons: 2,
      faults: { ...slow, pauses },
      checksFencing: false,
    });
    simulation.run(8 * MINUTE);
    expect(new Set(simulation.daemonByToken.values()).size).toEqual(2);
    expect(overlaps(simulation.orders)).toEqual([]);
  });

  it('gives its lease up after a suspension, and when an engine has seen a newer token', () => {
    for (const kind of ['clock_jumped', 'fenced'] as const) {
      const simulation = new LeaseSimulation({
        daemons: 1,
        faults: NO_FAULTS,
        checksFencing: true,
      });
      simulation.run(MINUTE);
      const [before] = simulation.activeHolders();
      simulation.send(0, { kind });
      expect([before, ...simulation.activeHolders()]).toEqual([0]);
      simulation.run(4 * MINUTE);
      expect(simulation.daemonByToken.size).toEqual(2);
    }
  });

  it('never lets two holders share a token, and gives each new holder a higher one, in any interleaving', () => {
    fc.assert(
      fc.property(faults, (wrong) => {
        const simulation = new LeaseSimulation({ daemons: 3, faults: wrong, checksFencing: true });
        simulation.run(10 * MINUTE);
        const owners = new Map<number, number>();
        for (const { token, daemon } of simulation.orders) {
          expect(owners.get(token) ?? daemon).toEqual(daemon);
          owners.set(token, daemon);
        }
        // Engines that check tokens accept only rising ones, so the first orders of the holders have to be
        // sent in the order of their tokens.
        const first = [...owners.keys()].map((token) =>
          Math.min(
            ...simulation.orders.filter((met) => met.token === token).map((met) => met.sentAt),
          ),
        );
        expect([...owners.keys()]).toEqual([...owners.keys()].sort((a, b) => a - b));
        expect(first).toEqual([...first].sort((a, b) => a - b));
      }),
      { seed: 1, numRuns: 150 },
    );
  });

  it('never lets orders of two holders overlap at engines that ignore tokens', () => {
    fc.assert(
      fc.property(faults, (wrong) => {
        const simulation = new LeaseSimulation({ daemons: 3, faults: wrong, checksFencing: false });
        simulation.run(10 * MINUTE);
        expect(overlaps(simulation.orders)).toEqual([]);
      }),
      { seed: 2, numRuns: 250 },
    );
  });

  it('asks the platform at the rate that the budget counts with', () => {
    const calls: string[] = [];
    const decisions = new LeaseDecisions({ key: 'k', holder: 'd' });
    decisions.decide(0, { kind: 'lease_rank', rank: 5 });
    expect([decisions.state, decisions.nextWake()]).toEqual(['idle', undefined]);
    const simulation = new LeaseSimulation({ daemons: 1, faults: NO_FAULTS, checksFencing: true });
    simulation.onCall = (kind) => calls.push(kind);
    simulation.run(MINUTE);
    calls.length = 0;
    simulation.run(11 * MINUTE);
    // Three renewals and two reads of the key per 30 s, for ten minutes.
    expect([
      Math.round(calls.filter((kind) => kind === 'renew_lease').length / 20),
      Math.round(calls.filter((kind) => kind === 'read_lease').length / 20),
    ]).toEqual([3, 2]);
  });
});
