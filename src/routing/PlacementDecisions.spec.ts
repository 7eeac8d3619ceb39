import { describe, it } from 'node:test';

import { expect } from 'earl';

import { PlacementDecisions } from './PlacementDecisions.js';
import type {
  PlacementAction,
  PlacementCandidate,
  PlacementQuestion,
  PlacementRefusal,
} from './placementTypes.js';

const CHATS = Array.from({ length: 2_000 }, (_, index) => `chat-${index}`);

function candidates(count: number): PlacementCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `runner-${index}`,
    state: 'live',
    dataCentre: index % 2 === 0 ? 'east' : 'west',
    region: index < count - 2 ? 'rosario' : 'sofia',
    accelerators: 8,
  }));
}

const QUESTION: PlacementQuestion = {
  requestId: 'request',
  service: 'assistant',
  chat: 'chat',
  clientAccount: 'showroom',
  promptTokens: 1_000,
  maximumTokens: 300,
  deadlineMilliseconds: 10_000,
  dataCentre: 'east',
  region: 'rosario',
  policy: { bound: 1.25, warmChoices: 8, coldChoices: 1, reuseWeight: 0.8, overflow: 'region' },
  candidates: candidates(12),
  warm: [],
  mean: 1_000,
  lightest: [],
  refusals: [],
};

const placement = new PlacementDecisions();

function place(changes: Partial<PlacementQuestion>): PlacementAction {
  return placement.place({ ...QUESTION, ...changes });
}

function runnerOf(changes: Partial<PlacementQuestion>): string | undefined {
  const action = place(changes);
  return action.kind === 'choose' ? action.runnerId : undefined;
}

function refusal(runnerId: string, changes: Partial<PlacementRefusal> = {}): PlacementRefusal {
  return {
    runnerId,
    reason: 'above_bound',
    load: 1_250,
    mean: 1_000,
    retryAfterMilliseconds: 2_000,
    lastChoice: false,
    ...changes,
  };
}

function withState(
  list: readonly PlacementCandidate[],
  id: string,
  state: PlacementCandidate['state'],
): PlacementCandidate[] {
  return list.map((candidate) => (candidate.id === id ? { ...candidate, state } : candidate));
}

describe(PlacementDecisions.name, () => {
  for (const state of ['leaving', 'down', 'ejected', 'suspect'] as const) {
    it(`moves only a runner's own share when it is ${state}, and moves it back after`, () => {
      // Guards against cold caches all over the pool when one runner leaves and returns repeatedly. It happens if a
      // placement depends on the number or the positions of the other runners.
      const gone = withState(QUESTION.candidates, 'runner-4', state);
      const returned = withState(gone, 'runner-4', 'live');
      let moved = 0;
      for (const chat of CHATS) {
        const before = runnerOf({ chat });
        const meanwhile = runnerOf({ chat, candidates: gone });
        expect(meanwhile).not.toEqual('runner-4');
        if (before !== meanwhile) {
          expect(before).toEqual('runner-4');
          moved += 1;
        }
        expect(runnerOf({ chat, candidates: returned })).toEqual(before);
      }
      expect(moved > 0 && moved < (CHATS.length / 5) * 1.3).toEqual(true);
    });
  }

  it('gives twice the chats to a runner with twice the accelerators', () => {
    const list = candidates(8).map((candidate, index) => ({
      ...candidate,
      dataCentre: 'east',
      region: 'rosario',
      accelerators: index === 0 ? 16 : 8,
    }));
    const counts = new Map<string, number>();
    for (const chat of CHATS) {
      const id = runnerOf({ chat, candidates: list })!;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    const share = counts.get('runner-0')! / CHATS.length;
    expect(Math.abs(share - 2 / 9) < 0.03).toEqual(true);
  });

  it('chooses the least loaded warm runner, and lists the others as passed over', () => {
    const action = place({
      warm: [
        { runnerId: 'runner-1', cachedTokens: 900, ageMilliseconds: 5 },
        { runnerId: 'runner-2', cachedTokens: 900, ageMilliseconds: 5 },
        { runnerId: 'runner-77', cachedTokens: 900, ageMilliseconds: 5 },
      ],
      lightest: [
        { runnerId: 'runner-2', load: 800 },
        { runnerId: 'runner-1', load: 1_100 },
      ],
    });
    expect(action).toLooseEqual({
      kind: 'choose',
      requestId: 'request',
      runnerId: 'runner-2',
      reason: 'warm',
      cachedTokens: 900,
      lastChoice: false,
      relativeLoad: 0.8,
      attempt: 1,
      passedOver: [
        { runnerId: 'runner-77', reason: 'unknown_runner' },
        { runnerId: 'runner-1', reason: 'more_loaded' },
      ],
    });
  });

  it('weighs cache reuse against load by the policy', () => {
    const question = {
      warm: [{ runnerId: 'runner-0', cachedTokens: 900, ageMilliseconds: 5 }],
      mean: 1_000,
      lightest: QUESTION.candidates.map(({ id }) => ({
        runnerId: id,
        load: id === 'runner-0' ? 1_200 : 500,
      })),
    };
    const policy = { ...QUESTION.policy, coldChoices: 4 };
    expect(runnerOf({ ...question, policy: { ...policy, reuseWeight: 0.9 } })).toEqual('runner-0');
    expect(runnerOf({ ...question, policy: { ...policy, reuseWeight: 0.1 } })).not.toEqual(
      'runner-0',
    );
  });

  it('waits at a warm runner, but not longer than the cached tokens are worth', () => {
    const warm = [{ runnerId: 'runner-0', cachedTokens: 600, ageMilliseconds: 5 }];
    const short = place({
      warm,
      refusals: [refusal('runner-0', { retryAfterMilliseconds: 400 })],
    });
    expect(short.kind === 'choose' && [short.runnerId, short.reason, short.lastChoice]).toEqual([
      'runner-0',
      'warm_wait',
      true,
    ]);
    const long = place({ warm, refusals: [refusal('runner-0', { retryAfterMilliseconds: 600 })] });
    expect(long.kind === 'choose' && long.runnerId).not.toEqual('runner-0');
  });

  it('asks each gate once and at most four, the last one to queue', () => {
    const refusals: PlacementRefusal[] = [];
    for (let attempt = 1; attempt <= 4; attempt += 1) {
      const action = place({ refusals });
      if (action.kind !== 'choose') throw new Error('gave up early');
      expect(refusals.some(({ runnerId }) => runnerId === action.runnerId)).toEqual(false);
      expect(action.lastChoice).toEqual(attempt === 4);
      refusals.push(refusal(action.runnerId, { lastChoice: action.lastChoice }));
    }
    const end = place({ refusals });
    expect(end.kind === 'give_up' && [end.reason, end.retryAfterMilliseconds]).toEqual([
      'refused_everywhere',
      2_000,
    ]);
  });

  it('returns to the gate that expects room first instead of the reportedly least loaded one', () => {
    // Guards against a queue that overflows at one runner while others have room within moments. It happens in a busy
    // pool if all daemons know the same least loaded runner and make it their last choice.
    const refusals = ['runner-0', 'runner-2', 'runner-4'].map((id, index) =>
      refusal(id, { retryAfterMilliseconds: 300 - index * 100 }),
    );
    const action = place({ refusals, lightest: [{ runnerId: 'runner-6', load: 10 }] });
    expect(action.kind === 'choose' && [action.runnerId, action.reason]).toEqual([
      'runner-4',
      'soonest',
    ]);
  });

  const overflows: ['never' | 'region' | 'anywhere', number, string[]][] = [
    ['never', 10_000, ['east']],
    ['region', 10_000, ['east', 'west']],
    ['anywhere', 10_000, ['east', 'west', 'abroad']],
    ['anywhere', 100, ['east', 'west']],
  ];
  for (const [overflow, deadlineMilliseconds, expected] of overflows) {
    it(`overflows ${overflow} with ${deadlineMilliseconds} ms left only to ${expected.join()}`, () => {
      const list: PlacementCandidate[] = [
        { id: 'a', state: 'live', dataCentre: 'east', region: 'rosario', accelerators: 1 },
        { id: 'b', state: 'live', dataCentre: 'west', region: 'rosario', accelerators: 1 },
        { id: 'c', state: 'live', dataCentre: 'abroad', region: 'sofia', accelerators: 1 },
      ];
      const reached: string[] = [];
      const refusals: PlacementRefusal[] = [];
      for (let attempt = 0; attempt < list.length; attempt += 1) {
        const id = runnerOf({
          candidates: list,
          refusals,
          deadlineMilliseconds,
          policy: { ...QUESTION.policy, overflow },
        });
        const dataCentre = list.find((candidate) => candidate.id === id)?.dataCentre;
        if (id && dataCentre && !reached.includes(dataCentre)) reached.push(dataCentre);
        if (id) refusals.push(refusal(id));
      }
      expect(reached).toEqual(expected);
    });
  }

  it('restricts an account with limits to a few runners of its own', () => {
    const used = new Set(
      CHATS.map((chat) => runnerOf({ chat, accountRunners: 3, dataCentre: 'none' })),
    );
    expect(used.size).toEqual(3);
  });

  it('gives up at once if there are no runners or no time is left', () => {
    expect(place({ candidates: [] })).toLooseEqual({
      kind: 'give_up',
      requestId: 'request',
      reason: 'no_runner',
      retryAfterMilliseconds: 0,
      passedOver: [],
    });
    const late = place({ deadlineMilliseconds: 0 });
    expect(late.kind === 'give_up' && late.reason).toEqual('deadline');
  });
});
