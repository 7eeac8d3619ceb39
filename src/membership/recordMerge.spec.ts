import { describe, it } from 'node:test';

import { expect } from 'earl';

import { ChartInterpreter } from '../charts/ChartInterpreter.js';
import chart from './membership.chart.json' with { type: 'json' };
import type { MemberEvent, MemberRecord, MemberState } from './membershipTypes.js';
import type { MergeOutcome } from './recordMerge.js';
import { mergeRecord } from './recordMerge.js';
import { testRecord } from './testFleet.js';

const interpreter = new ChartInterpreter<MemberState, MemberEvent>({ chart });

/** State, incarnation and version of a record. */
type Claim = readonly [MemberState, number, number];

function recordOf([state, incarnation, version]: Claim): MemberRecord {
  return { ...testRecord('sofia-1', incarnation), state, version };
}

/** The expected result: the state after the merge, or why the received record was not accepted. */
type Outcome = MemberState | Exclude<MergeOutcome['kind'], 'accepted'>;

/** The known record, the received record and the expected outcome. */
const CASES: readonly (readonly [Claim | undefined, Claim, Outcome])[] = [
  [undefined, ['alive', 1, 1], 'alive'],
  [undefined, ['suspect', 1, 1], 'suspect'],
  [undefined, ['dead', 1, 1], 'nothing_new'],
  [['alive', 2, 1], ['dead', 1, 9], 'ours_is_newer'],
  [['dead', 2, 1], ['alive', 1, 9], 'ours_is_newer'],
  [['left', 1, 5], ['alive', 2, 1], 'alive'],
  [['alive', 1, 5], ['dead', 2, 1], 'dead'],
  [['alive', 1, 3], ['alive', 1, 3], 'nothing_new'],
  [['alive', 1, 3], ['suspect', 1, 3], 'suspect'],
  [['alive', 1, 3], ['suspect', 1, 2], 'ours_is_newer'],
  [['suspect', 1, 3], ['alive', 1, 3], 'ours_is_newer'],
  [['suspect', 1, 3], ['alive', 1, 4], 'alive'],
  [['suspect', 1, 3], ['suspect', 1, 4], 'suspect'],
  [['suspect', 1, 3], ['dead', 1, 3], 'dead'],
  [['alive', 1, 3], ['dead', 1, 3], 'disputed'],
  [['alive', 1, 3], ['dead', 1, 4], 'disputed'],
  [['dead', 1, 3], ['alive', 1, 3], 'disputed'],
  [['dead', 1, 3], ['alive', 1, 4], 'alive'],
  [['dead', 1, 3], ['alive', 1, 2], 'ours_is_newer'],
  [['dead', 1, 3], ['dead', 1, 4], 'dead'],
  [['dead', 1, 3], ['suspect', 1, 4], 'suspect'],
  [['alive', 1, 3], ['leaving', 1, 4], 'leaving'],
  [['leaving', 1, 4], ['alive', 1, 3], 'ours_is_newer'],
  [['leaving', 1, 4], ['suspect', 1, 4], 'ours_is_newer'],
  [['leaving', 1, 4], ['dead', 1, 4], 'dead'],
  [['dead', 1, 4], ['leaving', 1, 5], 'leaving'],
  [['leaving', 1, 4], ['left', 1, 5], 'left'],
  [['dead', 1, 9], ['left', 1, 5], 'left'],
  [['left', 1, 5], ['alive', 1, 9], 'ours_is_newer'],
  [['left', 1, 5], ['left', 1, 5], 'nothing_new'],
];

describe(mergeRecord.name, () => {
  for (const [known, received, expected] of CASES) {
    it(`known ${known?.join(' ') ?? 'nothing'}, received ${received.join(' ')}: ${expected}`, () => {
      const outcome = mergeRecord(interpreter, known && recordOf(known), recordOf(received));
      const isAccepted = outcome.kind === 'accepted';
      expect(isAccepted ? outcome.record.state : outcome.kind).toEqual(expected);
      if (!isAccepted) return;
      expect(outcome.record.incarnation).toEqual(received[1]);
      expect(outcome.record.version).toEqual(received[2]);
    });
  }
});
