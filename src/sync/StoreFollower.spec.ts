import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { ManualClock } from '../time/ManualClock.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import { HistoryLost } from './FleetStore.js';
import type { StorePage } from './FleetStore.js';
import { StoreFollower } from './StoreFollower.js';
import type { StoreFollowerOptions } from './StoreFollower.js';
import { syncLogEvents } from './syncFeature.js';
import { createTestKnowledge } from './testKnowledge.js';
import { TestStore } from './testStore.js';

/** Lets everything that is ready run. */
async function settle(): Promise<void> {
  await new Promise(setImmediate);
}

type Options = Partial<Omit<StoreFollowerOptions, 'learnFromFleet'>> & {
  learnFromFleet?: (first: StorePage, knowledge: FleetKnowledge) => Promise<boolean>;
};

async function followFrom(first: StorePage, { learnFromFleet, ...more }: Options = {}) {
  const store = new TestStore();
  const clock = new ManualClock();
  const log = new MemoryLog();
  const pauses: { milliseconds: number; end: () => void }[] = [];
  const sleep = (milliseconds: number) =>
    new Promise<void>((end) => {
      pauses.push({ milliseconds, end });
    });
  const { knowledge } = createTestKnowledge();
  const options = { store, knowledge, clock, log, gatherMilliseconds: 800, sleep, ...more };
  const follower = new StoreFollower({
    ...options,
    ...(learnFromFleet && { learnFromFleet: (page) => learnFromFleet(page, knowledge) }),
  });
  void follower.run();
  store.questions[0]?.answer(first);
  await settle();
  return { store, clock, log, pauses, knowledge, follower };
}

function follow(more: Options = {}) {
  return followFrom({ revision: 10, facts: [] }, more);
}

describe(StoreFollower.name, () => {
  it('asks for changes since what it has, at its pace', async () => {
    const { store, pauses } = await follow();
    expect(store.questions.length).toEqual(1);
    expect(pauses.map(({ milliseconds }) => milliseconds)).toEqual([800]);
    pauses[0]?.end();
    await settle();
    expect(store.questions.at(-1)?.after).toEqual(10);
  });

  it('reads at other moments than others where daemons learn from its reads', async () => {
    // Symptom: a change takes as long to be noticed by ten readers as by one. Sequence: all daemons start at once, and
    // read the store at the same moments from then on. Cause: all of them waited equally long.
    const { pauses } = await follow({ isReadingForOthers: () => true, random: () => 0.5 });
    expect(pauses.map(({ milliseconds }) => milliseconds)).toEqual([640]);
  });

  it('asks at once when another daemon tells of a newer change, and once only', async () => {
    // Symptom: a daemon acts on a change up to a whole wait later than others do. Sequence: a runner drains
    // just after this daemon has asked. Cause: what another daemon has read in between is not listened to.
    const { store, pauses, follower } = await follow();
    follower.hear(9);
    follower.hear(10);
    await settle();
    expect(store.questions.length).toEqual(1);
    follower.hear(12);
    await settle();
    expect(store.questions.length).toEqual(2);
    store.questions[1]?.answer({ revision: 11, facts: [] });
    await settle();
    follower.hear(12);
    await settle();
    expect([store.questions.length, pauses.length]).toEqual([2, 2]);
  });

  it('asks other daemons where they know more than the store tells this one', async () => {
    // Symptom: one daemon acts on old beliefs for seconds. Sequence: the store says nothing to this daemon
    // alone. Cause: only the end of a whole wait, 2.6 s, was taken for silence.
    const { store, clock, follower } = await follow();
    follower.hear(12);
    clock.advance(600);
    expect(follower.isStoreSilent).toEqual(false);
    clock.advance(1);
    expect(follower.isStoreSilent).toEqual(true);
    await settle();
    store.questions[1]?.answer({ revision: 12, facts: [] });
    await settle();
    expect(follower.isStoreSilent).toEqual(false);
  });

  it('reads everything anew when the history is lost, and says how long the store was away', async () => {
    const { store, clock, log, pauses, follower } = await follow();
    pauses[0]?.end();
    await settle();
    store.questions[1]?.fail(new HistoryLost('gone'));
    await settle();
    expect(store.questions.at(-1)?.after).toEqual(undefined);
    store.questions[2]?.fail(new Error('reset'));
    await settle();
    expect(follower.isStoreSilent).toEqual(true);
    expect(log.of(syncLogEvents.storeLost).length).toEqual(1);
    clock.advance(1_500);
    pauses[1]?.end();
    await settle();
    store.questions[3]?.answer({ revision: 20, facts: [] });
    await settle();
    expect(log.of(syncLogEvents.storeRegained)).toEqual([{ milliseconds: 1_500, failures: 1 }]);
  });
});

describe('the first read of a large fleet', () => {
  const PAGE = { revision: 10, facts: [], next: 'servers/i-5' };

  it('asks for the page that failed again, and not for those before it', async () => {
    // Guards against daemons that start together, are refused a call by the store, and read all of it anew each time.
    const { store, pauses } = await followFrom({ ...PAGE });
    store.questions[1]?.fail(new Error('429'));
    await settle();
    pauses[0]?.end();
    await settle();
    expect(store.questions.map(({ from }) => from)).toEqual([undefined, PAGE.next, PAGE.next]);
  });

  it('ends with the first page where another daemon tells the rest', async () => {
    const { store, knowledge, pauses } = await followFrom(PAGE, {
      learnFromFleet: (_first, taught) => {
        taught.applyPeer({ revision: 12, runners: [], daemons: [] }, 0);
        return Promise.resolve(true);
      },
    });
    pauses[0]?.end();
    await settle();
    expect([knowledge.revision, store.questions.map(({ after }) => after)]).toEqual([
      12,
      [undefined, 12],
    ]);
  });

  it('goes on with the store where no other daemon does', async () => {
    const { store, knowledge } = await followFrom(PAGE, {
      learnFromFleet: () => Promise.resolve(false),
    });
    store.questions[1]?.answer({ revision: 11, facts: [] });
    await settle();
    // What has changed since the first page is read next.
    expect([store.questions.length, knowledge.revision]).toEqual([2, 10]);
  });
});
