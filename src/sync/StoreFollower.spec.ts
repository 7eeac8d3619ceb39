import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { ManualClock } from '../time/ManualClock.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import { HistoryLost } from './FleetStore.js';
import type { StorePage } from './FleetStore.js';
import { orderedRevisionOf } from './orderedRevision.js';
import { StoreFollower } from './StoreFollower.js';
import type { StoreFollowerOptions } from './StoreFollower.js';
import { syncLogEvents } from './syncFeature.js';
import { createTestKnowledge } from './testKnowledge.js';
import { TestStore } from './testStore.js';

/** Lets pending callbacks run. */
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
  store.pendingReads[0]?.answer(first);
  await settle();
  return { store, clock, log, pauses, knowledge, follower };
}

function follow(more: Options = {}) {
  return followFrom({ revision: 10, facts: [] }, more);
}

describe(StoreFollower.name, () => {
  it('waits for its interval and then asks for the changes since the revision it has', async () => {
    const { store, pauses } = await follow();
    expect(store.pendingReads.length).toEqual(1);
    expect(pauses.map(({ milliseconds }) => milliseconds)).toEqual([800]);
    pauses[0]?.end();
    await settle();
    expect(store.pendingReads.at(-1)?.after).toEqual(10);
  });

  it('adds jitter to its interval if it reads for other daemons', async () => {
    // Guards against ten readers that notice a change no sooner than one: all daemons start at once and, with equal
    // intervals, keep reading the store at the same moments.
    const { pauses } = await follow({ isReadingForOthers: () => true, random: () => 0.5 });
    expect(pauses.map(({ milliseconds }) => milliseconds)).toEqual([640]);
  });

  it('reads at once, and only once, when another daemon announces a newer revision', async () => {
    // Guards against a daemon that acts on a change up to a whole interval later than others: a runner begins to drain
    // just after this daemon has read the store, and another daemon reads that change first.
    const { store, pauses, follower } = await follow();
    follower.handleAnnouncedRevision(9, 'daemon-2');
    follower.handleAnnouncedRevision(10, 'daemon-2');
    await settle();
    expect(store.pendingReads.length).toEqual(1);
    follower.handleAnnouncedRevision(12, 'daemon-2');
    await settle();
    expect(store.pendingReads.length).toEqual(2);
    store.pendingReads[1]?.answer({ revision: 11, facts: [] });
    await settle();
    follower.handleAnnouncedRevision(12, 'daemon-2');
    await settle();
    expect([store.pendingReads.length, pauses.length]).toEqual([2, 2]);
  });

  it('reports the store as unresponsive if it does not show a revision that another daemon has announced', async () => {
    // Guards against a daemon that acts on outdated knowledge for seconds because the store does not answer it, but
    // answers the others. Waiting for the timeout of its call would take too long.
    const { store, clock, follower } = await follow();
    follower.handleAnnouncedRevision(12, 'daemon-2');
    clock.advance(250);
    expect(follower.isStoreUnresponsive).toEqual(false);
    clock.advance(1);
    expect(follower.isStoreUnresponsive).toEqual(true);
    await settle();
    store.pendingReads[1]?.answer({ revision: 12, facts: [] });
    await settle();
    expect(follower.isStoreUnresponsive).toEqual(false);
  });

  it('makes a full read when the history is lost, and logs how long the store was unavailable', async () => {
    const { store, clock, log, pauses, follower } = await follow();
    pauses[0]?.end();
    await settle();
    store.pendingReads[1]?.fail(new HistoryLost('gone'));
    await settle();
    expect(store.pendingReads.at(-1)?.after).toEqual(undefined);
    store.pendingReads[2]?.fail(new Error('reset'));
    await settle();
    expect(follower.isStoreUnresponsive).toEqual(true);
    expect(log.fieldsOf(syncLogEvents.storeLost).length).toEqual(1);
    clock.advance(1_500);
    pauses[1]?.end();
    await settle();
    store.pendingReads[3]?.answer({ revision: 20, facts: [] });
    await settle();
    expect(log.fieldsOf(syncLogEvents.storeRegained)).toEqual([
      { milliseconds: 1_500, failures: 1 },
    ]);
  });
});

describe('a restore of the store', () => {
  const restored = (revision: number) => orderedRevisionOf({ epoch: 1, revision });

  it('has everything read again by a daemon that learns of it from another one', async () => {
    // Guards against a daemon without the fleet's secret, which no daemon relays, for as long as it runs.
    const { store, knowledge, pauses } = await follow();
    knowledge.applyRelayed({ revision: restored(5), facts: [] }, 0);
    pauses[0]?.end();
    await settle();
    expect(store.pendingReads.at(-1)?.after).toEqual(undefined);
  });

  it('has everything read once more when missing entries had time to come back', async () => {
    const { store, clock, pauses, follower } = await follow();
    follower.readNow('everything');
    await settle();
    store.pendingReads[1]?.answer({ revision: restored(5), facts: [] });
    await settle();
    pauses[1]?.end();
    await settle();
    expect(store.pendingReads.at(-1)?.after).toEqual(restored(5));
    clock.advance(2_300);
    store.pendingReads[2]?.answer({ revision: restored(6), facts: [] });
    await settle();
    pauses[2]?.end();
    await settle();
    expect(store.pendingReads.at(-1)?.after).toEqual(undefined);
  });

  it('has only the page read again that failed in the last full read', async () => {
    // Guards against a large fleet's readers that begin anew at each call that a store refuses after its return.
    const { store, clock, pauses, follower } = await follow();
    follower.readNow('everything');
    await settle();
    store.pendingReads[1]?.answer({ revision: restored(5), facts: [] });
    await settle();
    clock.advance(2_300);
    pauses.at(-1)?.end();
    await settle();
    store.pendingReads[2]?.answer({ revision: restored(6), facts: [], next: 'servers/i-5' });
    await settle();
    store.pendingReads[3]?.fail(new Error('429'));
    await settle();
    pauses.at(-1)?.end();
    await settle();
    expect(store.pendingReads.slice(2).map(({ from }) => from)).toEqual([
      undefined,
      'servers/i-5',
      'servers/i-5',
    ]);
  });

  it('between two pages has the first one read again', async () => {
    const { store } = await followFrom({ revision: 10, facts: [], next: 'servers/i-5' });
    store.pendingReads[1]?.answer({ revision: restored(5), facts: [] });
    await settle();
    expect(store.pendingReads.at(-1)?.from).toEqual(undefined);
  });
});

describe('the first read of a large fleet', () => {
  const PAGE = { revision: 10, facts: [], next: 'servers/i-5' };

  it('retries only the page that failed', async () => {
    // Guards against daemons that start together and read the whole store again each time the store refuses a call.
    const { store, pauses } = await followFrom({ ...PAGE });
    store.pendingReads[1]?.fail(new Error('429'));
    await settle();
    pauses[0]?.end();
    await settle();
    expect(store.pendingReads.map(({ from }) => from)).toEqual([undefined, PAGE.next, PAGE.next]);
  });

  it('ends with the first page if another daemon provides the rest', async () => {
    const { store, knowledge, pauses } = await followFrom(PAGE, {
      learnFromFleet: (_first, target) => {
        target.applyPeerSnapshot({ revision: 12, runners: [], daemons: [] }, 0);
        return Promise.resolve(true);
      },
    });
    pauses[0]?.end();
    await settle();
    expect([knowledge.revision, store.pendingReads.map(({ after }) => after)]).toEqual([
      12,
      [undefined, 12],
    ]);
  });

  it('continues with the store if no other daemon provides the rest', async () => {
    const { store, knowledge } = await followFrom(PAGE, {
      learnFromFleet: () => Promise.resolve(false),
    });
    store.pendingReads[1]?.answer({ revision: 11, facts: [] });
    await settle();
    // The changes since the revision of the first page are read next.
    expect([store.pendingReads.length, knowledge.revision]).toEqual([2, 10]);
  });
});
