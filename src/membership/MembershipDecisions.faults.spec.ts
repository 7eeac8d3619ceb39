import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MembershipDecisions } from './MembershipDecisions.js';
import type { MemberState } from './membershipTypes.js';
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

interface Fault {
  readonly name: string;
  /** Injects the fault; the comment of the table's entry says what happens. */
  readonly inject: (fleet: TestFleet) => void;
  /** The state in which rosario-1 has sofia-1 right after the fault. */
  readonly stateAfterFault: MemberState;
  /** The state in which all others have it after {@link SETTLE_MILLISECONDS}. */
  readonly finalState: MemberState;
}

const FAULTS: readonly Fault[] = [
  {
    // Guards against gates that stay on a dead daemon. Its process is killed and its host refuses connections;
    // only a probe can detect that.
    name: 'a kill',
    inject: (fleet) => {
      fleet.kill('sofia-1');
      fleet.run(8 * SECOND);
    },
    stateAfterFault: 'dead',
    finalState: 'dead',
  },
  {
    // Guards against a frozen daemon that keeps its gates, or never gets them back. It stops for 20 s and then
    // resumes. Missing answers have to be detected, and its refutation has to reach the daemons that suspect
    // it.
    name: 'a pause of 20 s',
    inject: (fleet) => {
      fleet.pause('sofia-1', true);
      fleet.run(20 * SECOND);
      fleet.pause('sofia-1', false);
    },
    stateAfterFault: 'dead',
    finalState: 'alive',
  },
  {
    // Guards against declaring a healthy daemon dead because of one bad link: one daemon can't reach it, all
    // others can.
    name: 'a link that is cut one way',
    inject: (fleet) => {
      // eslint-disable-next-line no-param-reassign -- the test fleet's link rule is set from outside
      fleet.canDeliver = (from, to) => from !== 'rosario-1' || to !== 'sofia-1';
      fleet.run(60 * SECOND);
    },
    stateAfterFault: 'alive',
    finalState: 'alive',
  },
  {
    // Guards against a split that never heals. The link between the regions fails until each side has declared
    // the other dead, and then returns. Dead daemons have to be probed from time to time.
    name: 'a cut between the regions',
    inject: (fleet) => {
      // eslint-disable-next-line no-param-reassign -- the test fleet's link rule is set from outside
      fleet.canDeliver = (from, to) => !isCutBetweenRegions(from, to);
      fleet.run(60 * SECOND);
      // eslint-disable-next-line no-param-reassign -- the test fleet's link rule is set from outside
      fleet.canDeliver = () => true;
    },
    stateAfterFault: 'dead',
    finalState: 'alive',
  },
  {
    // Guards against a restarted daemon that stays dead. It is killed and started again within a second;
    // records of the old incarnation must not apply to the new one.
    name: 'a quick restart',
    inject: (fleet) => {
      fleet.kill('sofia-1');
      fleet.run(SECOND);
      fleet.start('sofia-1', 2);
      fleet.run(2 * SECOND);
    },
    stateAfterFault: 'alive',
    finalState: 'alive',
  },
  {
    // Guards against records of older incarnations that win over newer ones. The daemon restarts five times,
    // three seconds apart.
    name: 'flapping',
    inject: (fleet) => {
      for (let incarnation = 2; incarnation < 7; incarnation += 1) {
        fleet.kill('sofia-1');
        fleet.run(3 * SECOND);
        fleet.start('sofia-1', incarnation);
        fleet.run(3 * SECOND);
      }
    },
    stateAfterFault: 'alive',
    finalState: 'alive',
  },
  {
    // Guards against a planned stop that is reported as a failure, with its alert. The daemon announces
    // `leaving`, later `left`, and exits. The record with `left` must not be lost, and must win over a
    // suspicion.
    name: 'a planned stop',
    inject: (fleet) => {
      fleet.deliver('sofia-1', { kind: 'leave' });
      fleet.run(5 * SECOND);
      fleet.deliver('sofia-1', { kind: 'left' });
      fleet.run(SECOND);
      fleet.kill('sofia-1');
      fleet.run(5 * SECOND);
    },
    stateAfterFault: 'left',
    finalState: 'left',
  },
];

describe(`${MembershipDecisions.name} and faults`, () => {
  for (const { name, inject, stateAfterFault, finalState } of FAULTS) {
    it(`survives ${name}`, () => {
      const fleet = settledFleet();
      inject(fleet);
      const others = NAMES.filter((other) => other !== 'sofia-1');
      expect(fleet.statesSeenBy('rosario-1')['sofia-1']).toEqual(stateAfterFault);
      fleet.run(SETTLE_MILLISECONDS);
      for (const other of others) expect(fleet.statesSeenBy(other)['sofia-1']).toEqual(finalState);
      for (const other of others) {
        const unharmed = others.map((neighbour) => fleet.statesSeenBy(other)[neighbour]);
        expect(new Set(unharmed)).toEqual(new Set(['alive']));
      }
    });
  }
});
