import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import { SilentLog } from '../logging/Log.js';
import { FleetSocket } from '../news/FleetSocket.js';
import type { RunnerEntry } from '../runners/Runner.js';
import { createTestKnowledge } from '../sync/testKnowledge.js';
import { ManualClock } from '../time/ManualClock.js';
import { StoreRelay } from './StoreRelay.js';

/** How long a broadcast counts as current, in ms. */
const FRESH_MILLISECONDS = 1_500;
/** How long a change is relayed, in ms. */
const RELAYED_MILLISECONDS = 2_501;

/** More facts than fit into two datagrams. */
const FACTS = 12;

function runnerOf(index: number): RunnerEntry {
  const id = `runner-${index}`;
  const place = { host: '10.0.0.1', port: 8_000 + index, dataCentre: 'here' };
  return { id, life: id, service: 'chat', state: 'ready', ...place };
}

/** Captures messages, which the test delivers without a network. */
class CapturingSocket extends FleetSocket {
  readonly sent: Uint8Array[] = [];

  constructor() {
    super({ log: new SilentLog(), secret: () => 'secret' });
  }

  override send(_kind: MessageKind, message: Uint8Array): void {
    this.sent.push(message);
  }
}

/** Creates the fleet state of one daemon and its relay. */
function createDaemon(
  name: string,
  clock: ManualClock,
  isReader: boolean,
  later: (call: () => void) => void = setImmediate,
) {
  const { knowledge } = createTestKnowledge();
  const socket = new CapturingSocket();
  const reads: string[] = [];
  let take: (message: Uint8Array) => void = () => undefined;
  socket.handle = (_kind, handler) => {
    take = handler;
  };
  const relay = new StoreRelay({
    daemon: name,
    socket,
    knowledge,
    store: { readConfiguration: () => Promise.resolve(undefined) },
    clock,
    log: new SilentLog(),
    isReader: () => isReader,
    hasReaders: () => true,
    others: () => [],
    readStore: (what) => reads.push(what),
    fetchConfiguration: () => Promise.reject(new Error('no test daemon answers')),
    freshMilliseconds: FRESH_MILLISECONDS,
    configurationMilliseconds: 100,
    later,
  });
  return {
    knowledge,
    relay,
    reads,
    sent: socket.sent,
    take: (message: Uint8Array) => take(message),
  };
}

describe(StoreRelay.name, () => {
  let clock: ManualClock;
  let coordinator: ReturnType<typeof createDaemon>;
  let follower: ReturnType<typeof createDaemon>;

  beforeEach(() => {
    clock = new ManualClock();
    coordinator = createDaemon('daemon-1', clock, true);
    follower = createDaemon('daemon-2', clock, false);
    for (const { knowledge } of [coordinator, follower]) {
      knowledge.applyFullRead({ revision: 5, facts: [{ kind: 'runner', runner: runnerOf(0) }] }, 0);
      knowledge.changeLog.restart(5);
    }
  });

  afterEach(() => {
    coordinator.sent.length = 0;
  });

  function lives(): string[] {
    return follower.knowledge.runners.list().map(({ entry }) => `${entry.life} ${entry.state}`);
  }

  function change(index: number, revision: number): void {
    const fact = { kind: 'runner', runner: runnerOf(index), revision } as const;
    coordinator.knowledge.applyChanges({ revision, facts: [fact] }, clock.monotonicMilliseconds());
  }

  // Guards against a runner that is missing for good once the two facts of its restart are in two datagrams.
  it('relays all runners that start again at the same moment', () => {
    for (let index = 1; index < FACTS; index += 1) change(index, 5 + index);
    const { knowledge, relay } = coordinator;
    relay.handleStoreRead();
    clock.advance(RELAYED_MILLISECONDS);
    for (let index = 0; index < FACTS; index += 1) {
      const revision = 20 + index;
      const runner = { ...runnerOf(index), life: `runner-${index} again` };
      const facts = [{ kind: 'runner', runner, revision } as const];
      knowledge.applyChanges({ revision, facts }, clock.monotonicMilliseconds());
    }
    relay.handleStoreRead();
    coordinator.sent.forEach(follower.take);
    expect(follower.knowledge.runners.size).toEqual(FACTS);
    expect(follower.relay.isFresh).toEqual(true);
  });

  // Guards against two coordinators that confirm each other in what both have missed.
  it('reads everything again when one of several coordinators keeps a different listing', () => {
    const wrong = createDaemon('daemon-3', clock, true);
    wrong.knowledge.applyFullRead(
      { revision: 5, facts: [{ kind: 'runner', runner: runnerOf(0) }] },
      0,
    );
    wrong.knowledge.changeLog.restart(5);
    wrong.knowledge.applyChanges({ revision: 6, facts: [] }, 0);
    change(1, 6);
    coordinator.knowledge.changeLog.restart(6);
    follower.knowledge.applyChanges({ revision: 6, facts: [] }, 0);
    for (let count = 0; count < 3; count += 1) {
      for (const { relay, sent } of [wrong, coordinator]) {
        relay.handleStoreRead();
        sent.splice(0).forEach(follower.take);
      }
    }
    expect(follower.reads).toEqual(['everything']);
  });

  it('counts a read of its own as current for as long as a broadcast of the store readers', () => {
    // Guards against a second read by each daemon that starts, before the store readers had time to broadcast.
    follower.relay.handleStoreRead();
    expect(follower.relay.isFresh).toEqual(true);
    clock.advance(FRESH_MILLISECONDS);
    expect(follower.relay.isFresh).toEqual(false);
  });

  it('broadcasts after each read, whether or not anything has changed', () => {
    coordinator.relay.handleStoreRead();
    coordinator.sent.forEach(follower.take);
    expect(follower.relay.isFresh).toEqual(true);
    change(1, 6);
    coordinator.relay.handleStoreRead();
    coordinator.sent.forEach(follower.take);
    expect(lives()).toEqual(['runner-0 ready', 'runner-1 ready']);
    clock.advance(FRESH_MILLISECONDS);
    expect(follower.relay.isFresh).toEqual(false);
    expect(follower.reads).toEqual([]);
  });

  it('splits changes that exceed one datagram', () => {
    for (let index = 1; index <= FACTS; index += 1) change(index, 5 + index);
    coordinator.relay.handleStoreRead();
    expect(coordinator.sent.length).toEqual(3);
    coordinator.sent.forEach(follower.take);
    expect(lives().length).toEqual(FACTS + 1);
    expect([follower.relay.isFresh, follower.reads]).toEqual([true, []]);
  });

  it('paces a broadcast of many datagrams', () => {
    // Guards against late notices of leaving runners: half of 195 daemons got them two seconds late. When 20 daemons
    // lost their leases at the same moment and registered again, ten coordinators each sent up to eight datagrams to
    // every daemon at once. Queues on the network path overflowed and dropped them along with other news.
    const later: (() => void)[] = [];
    const reader = createDaemon('daemon-1', clock, true, (call) => later.push(call));
    reader.knowledge.applyFullRead(
      { revision: 5, facts: [{ kind: 'runner', runner: runnerOf(0) }] },
      0,
    );
    reader.knowledge.changeLog.restart(5);
    const facts = Array.from({ length: 35 }, (_, index) => {
      const revision = 6 + index;
      return { kind: 'runner', runner: runnerOf(1 + index), revision } as const;
    });
    reader.knowledge.applyChanges({ revision: 40, facts }, 0);
    reader.relay.handleStoreRead();
    const sent = [reader.sent.length];
    while (later.length > 0) {
      later.shift()?.();
      sent.push(reader.sent.length);
    }
    expect(sent).toEqual([3, 6, 7]);
    reader.sent.forEach(follower.take);
    expect([lives().length, follower.relay.isFresh, follower.reads]).toEqual([36, true, []]);
  });

  it('broadcasts changes in the order of their revisions, whatever order it learnt them in', () => {
    // Guards against a daemon that keeps a runner which all others have dropped. A coordinator that reads everything
    // again learns of changes out of order, and a datagram with older changes that follows a newer one is ignored as
    // outdated.
    const facts = [30, 29, 28, 27, 26, 25, 24, 23, 22, 21, 20, 19].map(
      (revision) => ({ kind: 'runner', runner: runnerOf(revision), revision }) as const,
    );
    coordinator.knowledge.applyChanges({ revision: 30, facts }, 0);
    coordinator.relay.handleStoreRead();
    coordinator.sent.forEach(follower.take);
    expect(lives().length).toEqual(13);
  });

  it('reads the store after the loss of a datagram whose changes are no longer broadcast', () => {
    // Guards against requests to a runner that has left, seconds after all other daemons stopped sending them. The
    // datagram with that change is lost, later ones carry only later changes, and the gap goes unnoticed.
    change(1, 6);
    coordinator.relay.handleStoreRead();
    coordinator.sent.length = 0;
    clock.advance(3_000);
    change(2, 7);
    coordinator.relay.handleStoreRead();
    coordinator.sent.forEach(follower.take);
    expect(follower.reads).toEqual(['changes']);
    expect(follower.relay.isFresh).toEqual(false);
  });

  it('reads everything when its listing keeps differing', () => {
    // Guards against a daemon that keeps a removed runner for good. A coordinator drops an entry that did not come
    // back after an outage, at a revision that the daemon had already reached, so the daemon ignores the change as
    // outdated.
    coordinator.knowledge.applyChanges(
      { revision: 5, facts: [{ kind: 'runner_gone', id: 'runner-0', revision: 5 }] },
      0,
    );
    for (let count = 0; count < 3; count += 1) coordinator.relay.handleStoreRead();
    coordinator.sent.forEach(follower.take);
    expect(follower.reads).toEqual(['everything']);
    expect(follower.relay.isFresh).toEqual(false);
  });

  it('drops a runner that one coordinator reports as gone and another one as missing', () => {
    // Guards against requests to a runner 4.1 s after it left, from a daemon that was never cut off. A coordinator
    // returns from a network cut, keeps the runner, whose entry is gone, as one that may come back, and broadcasts the
    // revision that it has reached. A coordinator that was connected all the while then broadcasts the removal, but
    // the daemon has already reached that revision and ignores it as outdated.
    const returned = createDaemon('daemon-3', clock, true);
    returned.knowledge.applyFullRead(
      { revision: 5, facts: [{ kind: 'runner', runner: runnerOf(0) }] },
      0,
    );
    returned.knowledge.changeLog.restart(5);
    returned.knowledge.recordStoreAnswer(0);
    clock.advance(8_000);
    returned.knowledge.recordStoreFailure();
    returned.knowledge.recordStoreAnswer(8_000);
    const gone = { kind: 'runner_gone', id: 'runner-0', revision: 6 } as const;
    for (const { knowledge } of [returned, coordinator]) {
      knowledge.applyChanges({ revision: 6, facts: [gone] }, 8_000);
    }
    returned.relay.handleStoreRead();
    returned.sent.forEach(follower.take);
    coordinator.relay.handleStoreRead();
    coordinator.sent.forEach(follower.take);
    expect([lives(), follower.reads]).toEqual([[], []]);
    expect(follower.relay.isFresh).toEqual(true);
  });

  it('keeps runners whose entries expired during a store outage, as its coordinators do', () => {
    // Guards against a daemon that others read the store for and that has noticed no outage: it would drop all runners
    // at the first broadcast without their entries, for the two seconds until these are back.
    coordinator.knowledge.recordStoreAnswer(0);
    clock.advance(4_000);
    coordinator.knowledge.recordStoreFailure();
    coordinator.knowledge.recordStoreAnswer(4_000);
    coordinator.knowledge.applyFullRead({ revision: 6, facts: [] }, 4_000);
    coordinator.relay.handleStoreRead();
    coordinator.sent.forEach(follower.take);
    expect([lives(), follower.reads]).toEqual([['runner-0 ready'], []]);
    clock.advance(500);
    change(0, 7);
    coordinator.relay.handleStoreRead();
    coordinator.sent.forEach(follower.take);
    expect([lives(), follower.relay.isFresh]).toEqual([['runner-0 ready'], true]);
    follower.knowledge.applyChanges({ revision: 8, facts: [] }, 10_000);
    expect(lives()).toEqual(['runner-0 ready']);
  });

  it('counts as current by the broadcast of a coordinator that has read the same listing a little earlier', () => {
    // Guards against needless reads after all daemons start together: each read the store for eight seconds more
    // although coordinators read it for them. All read at the same moments, and heartbeats of runners give each read a
    // newer revision than the one just before, so broadcasts of an older revision were ignored even if the listing was
    // the same.
    coordinator.relay.handleStoreRead();
    follower.knowledge.applyChanges({ revision: 6, facts: [] }, 0);
    coordinator.sent.forEach(follower.take);
    expect([follower.relay.isFresh, follower.reads]).toEqual([true, []]);
  });

  it('ignores changes from a coordinator with an older revision', () => {
    coordinator.relay.handleStoreRead();
    const [old] = coordinator.sent;
    const gone = { kind: 'runner_gone', id: 'runner-0', revision: 6 } as const;
    follower.knowledge.applyChanges({ revision: 6, facts: [gone] }, 0);
    if (old) follower.take(old);
    expect([lives(), follower.reads]).toEqual([[], []]);
  });
});
