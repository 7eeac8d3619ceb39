import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import { SilentLog } from '../logging/Log.js';
import { FleetSocket } from '../news/FleetSocket.js';
import type { RunnerEntry } from '../runners/Runner.js';
import { createTestKnowledge } from '../sync/testKnowledge.js';
import { ManualClock } from '../time/ManualClock.js';
import { StoreRelay } from './StoreRelay.js';

const FRESH_MILLISECONDS = 1_500;
const FACTS = 12;

function runnerOf(index: number): RunnerEntry {
  const id = `runner-${index}`;
  const place = { host: '10.0.0.1', port: 8_000 + index, dataCentre: 'here' };
  return { id, life: id, service: 'chat', state: 'ready', ...place };
}

/** Hands messages over without a network. */
class HandedSocket extends FleetSocket {
  readonly sent: Uint8Array[] = [];

  constructor() {
    super({ log: new SilentLog(), secret: () => 'secret' });
  }

  override send(_kind: MessageKind, message: Uint8Array): void {
    this.sent.push(message);
  }
}

/** One daemon's beliefs with its relay. */
function createDaemon(
  name: string,
  clock: ManualClock,
  isReader: boolean,
  later: (call: () => void) => void = setImmediate,
) {
  const { knowledge } = createTestKnowledge();
  const socket = new HandedSocket();
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
    fetchConfiguration: () => Promise.reject(new Error('nobody answers')),
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
      knowledge.applyAll({ revision: 5, facts: [{ kind: 'runner', runner: runnerOf(0) }] }, 0);
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

  it('leaves a daemon that has read the store itself to the readers for as long as after their word', () => {
    // Guards against a second read by each daemon that starts, before the readers had the time to tell.
    follower.relay.readDone();
    expect(follower.relay.isFresh).toEqual(true);
    clock.advance(FRESH_MILLISECONDS);
    expect(follower.relay.isFresh).toEqual(false);
  });

  it('tells changes, and that there are none, for as long as it reads', () => {
    coordinator.relay.readDone();
    coordinator.sent.forEach(follower.take);
    expect(follower.relay.isFresh).toEqual(true);
    change(1, 6);
    coordinator.relay.readDone();
    coordinator.sent.forEach(follower.take);
    expect(lives()).toEqual(['runner-0 ready', 'runner-1 ready']);
    clock.advance(FRESH_MILLISECONDS);
    expect(follower.relay.isFresh).toEqual(false);
    expect(follower.reads).toEqual([]);
  });

  it('tells more changes than a datagram holds in several', () => {
    for (let index = 1; index <= FACTS; index += 1) change(index, 5 + index);
    coordinator.relay.readDone();
    expect(coordinator.sent.length).toEqual(3);
    coordinator.sent.forEach(follower.take);
    expect(lives().length).toEqual(FACTS + 1);
    expect([follower.relay.isFresh, follower.reads]).toEqual([true, []]);
  });

  it('lets many datagrams follow each other at a pace', () => {
    // Symptom: half of 195 daemons hear two seconds late that runners leave. Sequence: 20 daemons lose their leases at
    // the same moment and register anew; ten coordinators tell of it in up to eight datagrams to each daemon, all at
    // once. Cause: queues on the way were full, and dropped them, with what else they told.
    const later: (() => void)[] = [];
    const teller = createDaemon('daemon-1', clock, true, (call) => later.push(call));
    teller.knowledge.applyAll({ revision: 5, facts: [{ kind: 'runner', runner: runnerOf(0) }] }, 0);
    teller.knowledge.changeLog.restart(5);
    const facts = Array.from({ length: 35 }, (_, index) => {
      const revision = 6 + index;
      return { kind: 'runner', runner: runnerOf(1 + index), revision } as const;
    });
    teller.knowledge.applyChanges({ revision: 40, facts }, 0);
    teller.relay.readDone();
    const sent = [teller.sent.length];
    while (later.length > 0) {
      later.shift()?.();
      sent.push(teller.sent.length);
    }
    expect(sent).toEqual([3, 6, 7]);
    teller.sent.forEach(follower.take);
    expect([lives().length, follower.relay.isFresh, follower.reads]).toEqual([36, true, []]);
  });

  it('tells changes in the order of their revisions, in whatever order it learnt of them', () => {
    // Symptom: a daemon keeps a runner that all others have dropped. Sequence: a coordinator reads everything anew, and
    // learns of changes with revisions that lie before others. Cause: a datagram with older changes that comes behind
    // a newer one is taken for old news.
    const facts = [30, 29, 28, 27, 26, 25, 24, 23, 22, 21, 20, 19].map(
      (revision) => ({ kind: 'runner', runner: runnerOf(revision), revision }) as const,
    );
    coordinator.knowledge.applyChanges({ revision: 30, facts }, 0);
    coordinator.relay.readDone();
    coordinator.sent.forEach(follower.take);
    expect(lives().length).toEqual(13);
  });

  it('has the store read where a datagram was lost and its changes are told no more', () => {
    // Symptom: a daemon sends requests to a runner that has left, seconds after all others stopped. Sequence: the
    // datagram that told of it is lost, and later ones say only what came after. Cause: the gap was not looked for.
    change(1, 6);
    coordinator.relay.readDone();
    coordinator.sent.length = 0;
    clock.advance(3_000);
    change(2, 7);
    coordinator.relay.readDone();
    coordinator.sent.forEach(follower.take);
    expect(follower.reads).toEqual(['changes']);
    expect(follower.relay.isFresh).toEqual(false);
  });

  it('reads everything anew where its list stays another one', () => {
    // Symptom: one daemon keeps a runner that is gone for good. Sequence: a coordinator drops an entry that did not
    // come back after an outage, at a revision that the daemon had reached. Cause: the change was too old to be taken.
    coordinator.knowledge.applyChanges(
      { revision: 5, facts: [{ kind: 'runner_gone', id: 'runner-0', revision: 5 }] },
      0,
    );
    for (let count = 0; count < 3; count += 1) coordinator.relay.readDone();
    coordinator.sent.forEach(follower.take);
    expect(follower.reads).toEqual(['everything']);
    expect(follower.relay.isFresh).toEqual(false);
  });

  it('drops a runner that one coordinator takes for gone and another one only for missing', () => {
    // Symptom: a daemon that was never cut off sends requests to a runner 4.1 s after it left. Sequence: a coordinator
    // returns from a cut and keeps the runner, whose entry is gone, as one that may be back; it tells the revision that
    // it has reached; then a coordinator that was in touch all the while tells that the runner is gone. Cause: the
    // daemon had reached that revision already, and took the removal for old news.
    const returned = createDaemon('daemon-3', clock, true);
    returned.knowledge.applyAll(
      { revision: 5, facts: [{ kind: 'runner', runner: runnerOf(0) }] },
      0,
    );
    returned.knowledge.changeLog.restart(5);
    returned.knowledge.storeServed(0);
    clock.advance(8_000);
    returned.knowledge.storeFailed();
    returned.knowledge.storeServed(8_000);
    const gone = { kind: 'runner_gone', id: 'runner-0', revision: 6 } as const;
    for (const { knowledge } of [returned, coordinator]) {
      knowledge.applyChanges({ revision: 6, facts: [gone] }, 8_000);
    }
    returned.relay.readDone();
    returned.sent.forEach(follower.take);
    coordinator.relay.readDone();
    coordinator.sent.forEach(follower.take);
    expect([lives(), follower.reads]).toEqual([[], []]);
    expect(follower.relay.isFresh).toEqual(true);
  });

  it('waits with its coordinators for runners whose entries lapsed with the store', () => {
    // What would go wrong: a daemon that others read for has noticed no outage, and would drop all runners at the
    // first word of their missing entries, for the two seconds until they are back.
    coordinator.knowledge.storeServed(0);
    clock.advance(4_000);
    coordinator.knowledge.storeFailed();
    coordinator.knowledge.storeServed(4_000);
    coordinator.knowledge.applyAll({ revision: 6, facts: [] }, 4_000);
    coordinator.relay.readDone();
    coordinator.sent.forEach(follower.take);
    expect([lives(), follower.reads]).toEqual([['runner-0 ready'], []]);
    clock.advance(500);
    change(0, 7);
    coordinator.relay.readDone();
    coordinator.sent.forEach(follower.take);
    expect([lives(), follower.relay.isFresh]).toEqual([['runner-0 ready'], true]);
    follower.knowledge.applyChanges({ revision: 8, facts: [] }, 10_000);
    expect(lives()).toEqual(['runner-0 ready']);
  });

  it('counts as informed by a coordinator that lists the same and has read a little earlier', () => {
    // Symptom: after a start of all daemons at once each of them reads the store for eight seconds more, although
    // coordinators read it for them. Sequence: all read at the same moments; runners' heartbeats go on, so that each
    // read gives a newer revision than the one just before. Cause: what a coordinator told of an older revision was
    // not looked at, also where it lists the same.
    coordinator.relay.readDone();
    follower.knowledge.applyChanges({ revision: 6, facts: [] }, 0);
    coordinator.sent.forEach(follower.take);
    expect([follower.relay.isFresh, follower.reads]).toEqual([true, []]);
  });

  it('takes nothing from a coordinator that knows less', () => {
    coordinator.relay.readDone();
    const [old] = coordinator.sent;
    const gone = { kind: 'runner_gone', id: 'runner-0', revision: 6 } as const;
    follower.knowledge.applyChanges({ revision: 6, facts: [gone] }, 0);
    if (old) follower.take(old);
    expect([lives(), follower.reads]).toEqual([[], []]);
  });
});
