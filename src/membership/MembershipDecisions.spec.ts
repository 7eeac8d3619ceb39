import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { MembershipDecisions } from './MembershipDecisions.js';
import type { MemberRecord, MembershipAction } from './membershipTypes.js';
import { TestFleet } from './testFleet.js';

const SECOND = 1_000;
const NAMES = ['rosario-1', 'rosario-2', 'rosario-3', 'sofia-1', 'sofia-2', 'sofia-3'];
const TUNING = { differencesBeforeComparison: 5 };
/** Long enough for suspicion, reviving a dead daemon and refutation at the default times, in ms. */
const SETTLE_MILLISECONDS = 90 * SECOND;

function settledFleet(): TestFleet {
  const fleet = new TestFleet({ names: NAMES, tuning: TUNING });
  fleet.run(20 * SECOND);
  expect(fleet.hasConverged).toEqual(true);
  return fleet;
}

function isCutBetweenRegions(from: string, to: string): boolean {
  return from.slice(0, 2) !== to.slice(0, 2);
}

function observersOf(fleet: TestFleet, name: string, note: string): string[] {
  return [...fleet.daemons.keys()].filter((observer) =>
    fleet
      .actionsOf(observer, 'note')
      .some((action) => action.daemonId === name && action.note === note),
  );
}

describe(MembershipDecisions.name, () => {
  it('declares no daemon dead when a network partition heals', () => {
    // Guards against moving the gates of the whole fleet twice. In a partition each side declares the other
    // dead; when the link returns, each side receives records that call its own half dead. A daemon that is
    // alive here must not become dead by such a record.
    const fleet = settledFleet();
    fleet.canDeliver = (from, to) => !isCutBetweenRegions(from, to);
    fleet.run(60 * SECOND);
    for (const daemon of fleet.daemons.values()) daemon.actions.length = 0;
    fleet.canDeliver = () => true;
    fleet.run(SETTLE_MILLISECONDS);
    expect(fleet.hasConverged).toEqual(true);
    expect(NAMES.flatMap((name) => observersOf(fleet, name, 'died'))).toEqual([]);
  });

  it('steps back after a pause of the process and resumes when peers answer', () => {
    // Guards against two daemons that send requests to one runner. The holder of a gate freezes, another daemon
    // takes the gate, and the first one resumes without detecting that it was paused.
    const fleet = settledFleet();
    fleet.pause('rosario-2', true);
    fleet.run(20 * SECOND);
    fleet.pause('rosario-2', false);
    fleet.run(SECOND);
    const kinds = fleet.daemons.get('rosario-2')!.actions.map(({ kind }) => kind);
    const steppedBack = kinds.indexOf('stepped_back');
    const [{ awayMilliseconds }] = fleet.actionsOf('rosario-2', 'stepped_back') as [
      Extract<MembershipAction, { kind: 'stepped_back' }>,
    ];
    expect(awayMilliseconds).toBeGreaterThan(18 * SECOND);
    expect(kinds.indexOf('resumed')).toBeGreaterThan(steppedBack);
    expect(fleet.actionsOf('rosario-2', 'resumed')).toEqual([
      { kind: 'resumed', reason: 'reconnected' },
    ]);
    // Probes that failed because of the pause must not make other daemons suspect.
    expect(NAMES.flatMap((name) => observersOf(fleet, name, 'suspected'))).toEqual(
      NAMES.filter(
        (name) =>
          name !== 'rosario-2' && observersOf(fleet, 'rosario-2', 'suspected').includes(name),
      ),
    );
  });

  it('resumes without peers when none can be reached after a pause', () => {
    const fleet = settledFleet();
    fleet.pause('rosario-2', true);
    fleet.run(20 * SECOND);
    fleet.canDeliver = (from, to) => from !== 'rosario-2' && to !== 'rosario-2';
    fleet.pause('rosario-2', false);
    fleet.run(10 * SECOND);
    expect(fleet.actionsOf('rosario-2', 'resumed')).toEqual([
      { kind: 'resumed', reason: 'gave_up' },
    ]);
  });

  it('reports which daemon has a newer revision, repeatedly while it is missing', () => {
    const fleet = settledFleet();
    const news = {
      configurationRevision: 5,
      configurationDigest: 'd',
      runnersRevision: 0,
      pools: [],
    };
    fleet.deliver('sofia-1', { kind: 'local_news', news });
    fleet.run(10 * SECOND);
    for (const name of NAMES.filter((other) => other !== 'sofia-1')) {
      const reports = fleet.actionsOf(name, 'newer_revision');
      expect(reports.length).toBeGreaterThan(1);
      expect(reports[0]).toEqual({
        kind: 'newer_revision',
        document: 'configuration',
        revision: 5,
        daemonId: 'sofia-1',
        peerAddress: 'sofia-1:7400',
      });
    }
  });

  it('raises its incarnation above a newer one of its own name', () => {
    // Guards against a restarted daemon whose records are ignored for good. Its wall clock was set back before
    // the start, so the fleet knows a newer incarnation of its name, and the older one loses everywhere.
    const fleet = settledFleet();
    fleet.kill('sofia-1');
    fleet.run(10 * SECOND);
    fleet.start('sofia-1', 0);
    fleet.run(SETTLE_MILLISECONDS);
    expect(fleet.hasConverged).toEqual(true);
    expect(fleet.actionsOf('sofia-1', 'incarnation_raised')).toEqual([
      { kind: 'incarnation_raised', incarnation: 2 },
    ]);
  });

  it('keeps every message within its size limits during many simultaneous changes', () => {
    // Guards against control traffic above its budget when much changes at once: a dozen daemons start
    // together, then a partition between the regions begins and heals. Queued changes must not all go into one
    // message.
    const names = ['rosario', 'sofia'].flatMap((region) =>
      ['1', '2', '3', '4', '5', '6'].map((number) => `${region}-${number}`),
    );
    const tuning = { ...TUNING, recordsPerMessage: 2, recordsPerComparison: 3, newsPerMessage: 2 };
    const fleet = new TestFleet({ names, tuning });
    fleet.run(60 * SECOND);
    fleet.canDeliver = (from, to) => !isCutBetweenRegions(from, to);
    fleet.run(60 * SECOND);
    fleet.canDeliver = () => true;
    fleet.run(2 * SETTLE_MILLISECONDS);
    expect(fleet.hasConverged).toEqual(true);
    const calls = names.flatMap((name) => fleet.actionsOf(name, 'gossip'));
    const answers = names.flatMap((name) => fleet.actionsOf(name, 'answer'));
    const largest = (numbers: number[]) => Math.max(...numbers);
    // Queued changes, newer records for the sender, a comparison, and the receiver's own record if it is
    // suspect.
    const limit = 2 + 2 + 3 + 1;
    expect(largest(calls.map(({ gossip }) => gossip.members.length))).toBeLessThanOrEqual(limit);
    const news = [...calls, ...answers].map(({ gossip }) => gossip.news.length);
    expect(largest(news)).toEqual(2);
  });

  it('converges after any mix of faults, and incarnations never decrease', () => {
    // Guards against a running daemon that stays dead for good because a record about it can't be refuted any
    // more. The faults are random mixes of losses, partitions, pauses and restarts.
    const fault = fc.record({
      kind: fc.constantFrom('cut', 'isolate', 'pause', 'restart', 'calm'),
      who: fc.constantFrom(...NAMES),
      milliseconds: fc.integer({ min: 200, max: 15_000 }),
    });
    fc.assert(
      fc.property(fc.array(fault, { maxLength: 6 }), fc.integer(), (faults, seed) => {
        let state = seed >>> 0;
        const random = () => {
          state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
          return state / 2 ** 32;
        };
        const fleet = new TestFleet({ names: NAMES, tuning: TUNING, random, loss: 0.02 });
        const newest = new Map<string, MemberRecord>();
        const checkOrder = () => {
          for (const [observer, { decisions, record }] of fleet.daemons) {
            for (const member of decisions.members()) {
              const key = `${observer}/${record.incarnation}/${member.daemonId}`;
              const before = newest.get(key);
              newest.set(key, member);
              if (!before) continue;
              expect(member.incarnation).toBeGreaterThanOrEqual(before.incarnation);
              if (member.incarnation > before.incarnation) continue;
              expect(member.version).toBeGreaterThanOrEqual(before.version);
            }
          }
        };
        const incarnations = new Map(NAMES.map((name) => [name, 1]));
        for (const { kind, who, milliseconds } of faults) {
          if (kind === 'cut') fleet.canDeliver = (from, to) => !isCutBetweenRegions(from, to);
          if (kind === 'isolate') fleet.canDeliver = (from, to) => from !== who && to !== who;
          if (kind === 'pause') fleet.pause(who, true);
          if (kind === 'restart') {
            incarnations.set(who, incarnations.get(who)! + 1);
            fleet.start(who, incarnations.get(who));
          }
          fleet.run(milliseconds);
          checkOrder();
          fleet.pause(who, false);
          fleet.canDeliver = () => true;
        }
        fleet.loss = 0;
        fleet.run(2 * SETTLE_MILLISECONDS);
        checkOrder();
        expect(fleet.hasConverged).toEqual(true);
      }),
      { numRuns: 40, seed: 5 },
    );
  });
});
