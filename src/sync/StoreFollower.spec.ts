import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { ManualClock } from '../time/ManualClock.js';
import { HistoryLost } from './FleetStore.js';
import { StoreFollower } from './StoreFollower.js';
import type { StoreFollowerOptions } from './StoreFollower.js';
import { syncLogEvents } from './syncFeature.js';
import { createTestKnowledge } from './testKnowledge.js';
import { TestStore } from './testStore.js';

/** Lets everything that is ready run. */
async function settle(): Promise<void> {
  await new Promise(setImmediate);
}

async function follow(more: Partial<StoreFollowerOptions> = {}) {
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
  const follower = new StoreFollower(options);
  void follower.run();
  store.questions[0]?.answer({ revision: 10, facts: [] });
  await settle();
  return { store, clock, log, pauses, knowledge, follower };
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
