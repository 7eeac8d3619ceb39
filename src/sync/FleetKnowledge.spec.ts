import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { RoutingConfiguration } from '../routes/routeTypes.js';
import type { RunnerEntry } from '../runners/Runner.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { StoreFact } from './FleetStore.js';
import { orderedRevisionOf } from './orderedRevision.js';
import { createTestKnowledge } from './testKnowledge.js';

const LIMITS = {
  maximumHeaderBytes: 1_000,
  maximumBodyBytes: 1_000,
  headerTimeoutMilliseconds: 1_000,
  idleTimeoutMilliseconds: 1_000,
};

function configurationOf(version: number): RoutingConfiguration {
  return { version, routes: [], services: [], limits: LIMITS };
}

function runnerOf(id: string, life = id): RunnerEntry {
  const place = { host: '10.0.0.1', port: 80, dataCentre: 'here' };
  return { id, life, service: 'plain', state: 'ready', ...place };
}

function factOf(id: string): StoreFact {
  return { kind: 'runner', runner: runnerOf(id) };
}

function daemonFactOf(name: string): StoreFact {
  const address = `${name}:1`;
  const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
  return { kind: 'daemon', daemon: { name, dataCentre: 'here', ...addresses } };
}

function createKnowledge() {
  const { knowledge, gone, unreadable } = createTestKnowledge();
  knowledge.recordStoreAnswer(0);
  knowledge.applyFullRead({ revision: 10, facts: [factOf('a'), factOf('b')] }, 0);
  return { knowledge, gone, unreadable };
}

describe('FleetKnowledge', () => {
  it('passes on the history of versions, in whichever read it comes', () => {
    const { knowledge, histories } = createTestKnowledge();
    const history = { versions: new Map([['plain', new Map([['v1', 0]])]]), completeAt: 5 };
    const facts: StoreFact[] = [{ kind: 'version_history', history, revision: 3 }];
    knowledge.applyFullRead({ revision: 10, facts }, 0);
    knowledge.applyChanges({ revision: 11, facts }, 0);
    expect(histories).toEqual([history, history]);
  });

  it('drops a runner at once if its entry is removed while the store is available', () => {
    const { knowledge, gone } = createKnowledge();
    knowledge.applyChanges({ revision: 11, facts: [{ kind: 'runner_gone', id: 'a' }] }, 100);
    expect(gone).toEqual(['a']);
  });

  it('keeps runners whose entries lapsed in a store outage until the grace period ends', () => {
    // Guards against losing all runners for two seconds after each outage: leases expire while the store is unavailable,
    // so the first read after its return holds no runner, and a missing entry must not count as removed.
    const { knowledge, gone } = createKnowledge();
    knowledge.recordStoreFailure();
    knowledge.recordStoreAnswer(5_000);
    knowledge.applyFullRead({ revision: 12, facts: [] }, 5_000);
    expect(gone).toEqual([]);
    expect(knowledge.runners.readyOf('plain').length).toEqual(2);
    knowledge.applyChanges({ revision: 13, facts: [factOf('a')] }, 6_000);
    knowledge.applyChanges({ revision: 14, facts: [] }, 7_200);
    expect(gone).toEqual([]);
    knowledge.applyChanges({ revision: 15, facts: [] }, 7_300);
    expect(gone).toEqual(['b']);
  });

  it('keeps daemons whose entries lapsed in a store outage until the grace period ends', () => {
    // Guards against a directory that names almost no daemons for a second after each outage, so that callers drop their
    // connections to the others. Leases expire while the store is unavailable, and the first read after its return holds
    // only the daemons that have registered again so far; a missing entry must not count as removed.
    const { knowledge } = createKnowledge();
    const names = () => [...knowledge.daemons.keys()];
    const facts = [daemonFactOf('x'), daemonFactOf('y')];
    knowledge.applyChanges({ revision: 11, facts }, 100);
    knowledge.recordStoreFailure();
    knowledge.recordStoreAnswer(5_000);
    const before = knowledge.listingDigest;
    knowledge.applyFullRead({ revision: 12, facts: [] }, 5_000);
    expect(names()).toEqual(['x', 'y']);
    // The digest and the snapshot contain only daemons that have an entry, whatever grace period this daemon applies.
    expect(knowledge.listingDigest === before).toEqual(false);
    expect(knowledge.snapshot(0, 5_000).daemons).toEqual([]);
    knowledge.applyChanges({ revision: 13, facts: [daemonFactOf('x')] }, 6_000);
    knowledge.applyChanges({ revision: 14, facts: [] }, 7_300);
    expect(names()).toEqual(['x']);
    knowledge.applyChanges({ revision: 15, facts: [{ kind: 'daemon_gone', name: 'x' }] }, 7_400);
    expect(names()).toEqual([]);
  });

  it('waits as long for an entry that another daemon tells as lapsed late in the grace period', () => {
    // Guards against a runner that is dropped at once because this daemon's own grace period is about to end.
    const { knowledge, gone } = createKnowledge();
    knowledge.suspectOutage(5_000);
    const lapsed: StoreFact = { kind: 'runner_lapsed', id: 'a', revision: 11 };
    knowledge.applyRelayed({ revision: 11, facts: [lapsed] }, 7_200);
    knowledge.applyChanges({ revision: 12, facts: [] }, 9_400);
    expect(gone).toEqual([]);
    knowledge.applyChanges({ revision: 13, facts: [] }, 9_500);
    expect(gone).toEqual(['a']);
  });

  it('drops no lapsed runner between two reads', () => {
    // Guards against losing what is known of a runner's cached prompts, which then are processed again after each outage.
    // The entry is back after two seconds, the daemon reads the store every 1.6 s, and the grace period ends at 2.3 s: a
    // runner dropped by the clock alone goes before the read that shows its entry.
    const { knowledge, gone } = createKnowledge();
    knowledge.recordStoreFailure();
    knowledge.recordStoreAnswer(5_000);
    knowledge.applyFullRead({ revision: 12, facts: [factOf('a')] }, 5_000);
    knowledge.applyChanges({ revision: 14, facts: [factOf('b')] }, 7_400);
    expect(gone).toEqual([]);
  });

  it('applies no grace period after the store has refused only this daemon', () => {
    // Guards against requests to a runner 2.1 s after it left. The store refuses one daemon, which learns changes from
    // others; then the store answers it again and a runner leaves. If the daemon takes the refusal for an outage, it
    // treats the removed entry as lapsed.
    const { knowledge, gone } = createKnowledge();
    const listed = { runners: [runnerOf('a'), runnerOf('b')], daemons: [] };
    for (let now = 500; now < 5_000; now += 500) {
      knowledge.recordStoreFailure();
      knowledge.applyPeerSnapshot(
        { revision: 20 + now, ...listed, storeSilentMilliseconds: 400 },
        now,
      );
    }
    knowledge.recordStoreAnswer(5_000);
    knowledge.applyChanges({ revision: 5_021, facts: [{ kind: 'runner_gone', id: 'a' }] }, 5_100);
    expect(gone).toEqual(['a']);
  });

  it('applies the grace period although another daemon has read the store later than this one', () => {
    // Guards against a daemon without any runner for two seconds after an outage. Another daemon read the store a little
    // later than this one, but before the outage; its snapshot does not show that the store stayed available.
    const { knowledge, gone } = createKnowledge();
    knowledge.recordStoreFailure();
    const listed = { runners: [runnerOf('a'), runnerOf('b')], daemons: [] };
    knowledge.applyPeerSnapshot({ revision: 11, ...listed, storeSilentMilliseconds: 900 }, 1_000);
    knowledge.recordStoreFailure();
    knowledge.recordStoreAnswer(5_000);
    knowledge.applyFullRead({ revision: 12, facts: [] }, 5_000);
    expect(gone).toEqual([]);
  });

  it('gives a lapsed runner no new requests while most runners have their entries', () => {
    // Guards against requests to a runner 3.1 s after it left. A daemon is cut off, takes that for an outage of the store,
    // and waits for the entry of a runner that leaves just after its return. A lapsed runner must not be used like a
    // ready one as long as the other entries are present, since a real outage would have lapsed them too.
    const { knowledge, gone } = createTestKnowledge();
    knowledge.recordStoreAnswer(0);
    const facts = ['a', 'b', 'c', 'd'].map(factOf);
    knowledge.applyFullRead({ revision: 10, facts }, 0);
    knowledge.recordStoreFailure();
    knowledge.recordStoreAnswer(8_000);
    const ready = () => knowledge.runners.readyOf('plain').map(({ entry }) => entry.id);
    knowledge.applyChanges({ revision: 11, facts: [{ kind: 'runner_gone', id: 'a' }] }, 8_000);
    expect([ready(), gone]).toEqual([['b', 'c', 'd'], []]);
    knowledge.applyChanges({ revision: 12, facts: [factOf('a')] }, 8_500);
    expect(ready()).toEqual(['a', 'b', 'c', 'd']);
    knowledge.applyChanges({ revision: 13, facts: [{ kind: 'runner_gone', id: 'a' }] }, 8_600);
    knowledge.applyChanges({ revision: 14, facts: [{ kind: 'runner_gone', id: 'b' }] }, 8_700);
    expect(ready()).toEqual(['a', 'b', 'c', 'd']);
    knowledge.applyChanges({ revision: 15, facts: [] }, 10_300);
    expect(gone).toEqual(['a', 'b']);
  });

  it('ignores an older configuration from the store or another daemon', () => {
    const { knowledge } = createKnowledge();
    const put = (version: number, revision: number) =>
      knowledge.applyChanges(
        { revision, facts: [{ kind: 'configuration', configuration: configurationOf(version) }] },
        0,
      );
    put(7, 11);
    put(6, 12);
    const configuration = configurationOf(5);
    knowledge.applyPeerSnapshot({ revision: 30, configuration, runners: [], daemons: [] }, 0);
    expect(knowledge.routes?.configuration.version).toEqual(7);
  });

  it('ignores a snapshot of an older revision', () => {
    const { knowledge, gone } = createKnowledge();
    expect(knowledge.applyPeerSnapshot({ revision: 9, runners: [], daemons: [] }, 0)).toEqual(
      false,
    );
    expect(gone).toEqual([]);
  });

  it('treats a new incarnation of a runner as another runner', () => {
    // Guards against requests for prompts that the runner no longer has cached, and against counting requests that it has
    // lost as in flight. The runner crashes and starts again under its id and address before its entry lapses, so its
    // entry differs only in the incarnation.
    const { knowledge, gone } = createKnowledge();
    const before = knowledge.runners.get('a');
    if (before) before.inFlight = 3;
    const runner = runnerOf('a', 'a@2');
    knowledge.applyChanges({ revision: 11, facts: [{ kind: 'runner', runner }] }, 0);
    expect(gone).toEqual(['a']);
    expect(knowledge.runners.get('a')?.inFlight).toEqual(0);
    expect(knowledge.runners.ofLife('a')).toEqual(undefined);
    expect(knowledge.runners.ofLife('a@2')?.entry).toEqual(runner);
  });

  it('learns of a new incarnation from another daemon, and after the entry was removed', () => {
    const { knowledge } = createKnowledge();
    knowledge.applyPeerSnapshot(
      { revision: 12, runners: [runnerOf('a', 'a@2'), runnerOf('b')], daemons: [] },
      0,
    );
    expect(knowledge.runners.get('a')?.entry.life).toEqual('a@2');
    knowledge.applyChanges({ revision: 13, facts: [{ kind: 'runner_gone', id: 'a' }] }, 0);
    const runner = runnerOf('a', 'a@3');
    knowledge.applyFullRead({ revision: 14, facts: [{ kind: 'runner', runner }, factOf('b')] }, 0);
    expect(knowledge.runners.readyOf('plain').map(({ entry }) => entry.life)).toEqual(['a@3', 'b']);
  });

  it('sends no requests to a runner whose entry is unreadable, until the entry is restored', () => {
    // Guards against requests to an address that the store no longer confirms. Another writer overwrites a runner's
    // entry, and the runner's next heartbeat restores it; until then the former entry must not stay in use.
    const { knowledge, gone, unreadable } = createKnowledge();
    const known = knowledge.runners.get('a');
    const spoilt = { kind: 'runner_unreadable', id: 'a', message: 'no JSON' } as const;
    knowledge.applyChanges({ revision: 11, facts: [spoilt] }, 0);
    knowledge.applyChanges({ revision: 12, facts: [spoilt] }, 0);
    expect(knowledge.runners.readyOf('plain').map(({ entry }) => entry.id)).toEqual(['b']);
    expect(unreadable).toEqual(['a']);
    knowledge.applyFullRead({ revision: 13, facts: [spoilt, factOf('b')] }, 0);
    expect(gone).toEqual([]);
    knowledge.applyChanges({ revision: 14, facts: [factOf('a')] }, 0);
    expect(knowledge.runners.readyOf('plain').map(({ entry }) => entry.id)).toEqual(['a', 'b']);
    expect(knowledge.runners.get('a') === known).toEqual(true);
  });

  it('lists no runner for an entry that has never been readable', () => {
    const { knowledge, unreadable } = createKnowledge();
    const odd = { kind: 'runner_unreadable', id: 'odd', message: 'no JSON' } as const;
    knowledge.applyChanges({ revision: 11, facts: [odd] }, 0);
    expect(knowledge.runners.get('odd')).toEqual(undefined);
    expect(unreadable).toEqual(['odd']);
  });

  it('keeps the last known value of an entry that becomes unreadable, and reports it', () => {
    const { knowledge, unreadable } = createKnowledge();
    const fact = { kind: 'unreadable', key: 'servers/a', message: 'no JSON' } as const;
    knowledge.applyChanges({ revision: 11, facts: [fact] }, 0);
    expect(knowledge.runners.get('a') === undefined).toEqual(false);
    expect(unreadable).toEqual(['servers/a']);
  });
});

describe('a cold runner', () => {
  const entry = {
    ...{ id: 'r', life: 'r', service: 's', host: '10.0.0.1', port: 80, dataCentre: 'here' },
    state: 'ready',
  } as const;

  function knowledgeOf(coldMilliseconds: number) {
    const { knowledge } = createTestKnowledge();
    const runner = { ...entry, coldMilliseconds };
    knowledge.applyChanges(
      { revision: 5, facts: [{ kind: 'runner', runner, revision: 5 }] },
      1_000,
    );
    return knowledge;
  }

  it('is cold until the time in its entry, also for a daemon that gets a snapshot later', () => {
    const knowledge = knowledgeOf(3_000);
    expect(knowledge.runners.get('r')?.coldUntil).toEqual(4_000);
    const { knowledge: other } = createTestKnowledge();
    other.applyPeerSnapshot(knowledge.snapshot(0, 2_500), 9_000);
    expect(other.runners.get('r')?.coldUntil).toEqual(10_500);
  });

  it('is relayed once, not with each heartbeat that only counts down its cold time', () => {
    const knowledge = knowledgeOf(3_000);
    const told = () => knowledge.changeLog.recent(1_000).changes.length;
    const before = told();
    const runner = { ...entry, coldMilliseconds: 1_800 };
    knowledge.applyChanges(
      { revision: 6, facts: [{ kind: 'runner', runner, revision: 6 }] },
      2_300,
    );
    expect(told()).toEqual(before);
  });

  it('is warm as soon as its entry has no cold time, and may become cold again', () => {
    const knowledge = knowledgeOf(3_000);
    const facts = [{ kind: 'runner', runner: entry, revision: 6 } as const];
    knowledge.applyChanges({ revision: 6, facts }, 2_000);
    expect(knowledge.runners.get('r')?.coldUntil).toEqual(2_000);
    const cold = { ...entry, coldMilliseconds: 3_000 };
    const again = [{ kind: 'runner', runner: cold, revision: 7 } as const];
    knowledge.applyChanges({ revision: 7, facts: again }, 9_000);
    expect(knowledge.runners.get('r')?.coldUntil).toEqual(12_000);
  });
});

describe('an order to evacuate that cannot be read', () => {
  const order = { kind: 'evacuation', dataCentre: 'north', revision: 5 } as const;
  const kind = 'evacuation_unreadable';
  const unreadable = { kind, dataCentre: 'north', message: 'no object', revision: 6 } as const;

  it('changes nothing, in a read of changes and in a full read', () => {
    // Guards against a data centre that gets requests again because the evacuation order was overwritten.
    const { knowledge, unreadable: reported } = createTestKnowledge();
    knowledge.applyFullRead({ revision: 5, facts: [order] }, 0);
    knowledge.applyChanges({ revision: 6, facts: [unreadable] }, 0);
    expect(knowledge.evacuated).toEqual(['north']);
    knowledge.applyFullRead({ revision: 7, facts: [unreadable] }, 0);
    expect(knowledge.evacuated).toEqual(['north']);
    expect(reported).toEqual(['north']);
    const { knowledge: fresh } = createTestKnowledge();
    fresh.applyFullRead({ revision: 7, facts: [unreadable] }, 0);
    expect(fresh.evacuated).toEqual([]);
  });
});

describe('knowledge of a store that is restored from an older copy', () => {
  const restored = (revision: number) => orderedRevisionOf({ epoch: 1, revision });
  const order = { kind: 'evacuation', dataCentre: 'there' } as const;
  const idsOf = (knowledge: FleetKnowledge) =>
    knowledge.runners.readyOf('plain').map(({ entry }) => entry.id);

  it('holds back runners that had left until a full read shows that they are still listed', () => {
    // Guards against requests to a runner that has ended, and against a live runner that gets none for good.
    const { knowledge } = createKnowledge();
    knowledge.applyChanges({ revision: 11, facts: [{ kind: 'runner_gone', id: 'a' }] }, 100);
    const copy = [factOf('a'), factOf('b')];
    knowledge.applyFullRead({ revision: restored(10), facts: copy }, 1_000);
    expect(idsOf(knowledge)).toEqual(['b']);
    knowledge.applyFullRead({ revision: restored(12), facts: copy }, 10_900);
    expect([idsOf(knowledge), knowledge.isFullReadDue(10_900)]).toEqual([['b'], false]);
    expect(knowledge.isFullReadDue(11_000)).toEqual(true);
    knowledge.applyFullRead({ revision: restored(13), facts: copy }, 11_000);
    expect([idsOf(knowledge), knowledge.isFullReadDue(11_000)]).toEqual([['a', 'b'], false]);
  });

  it('takes a new incarnation of a runner that had left at once', () => {
    const { knowledge } = createKnowledge();
    knowledge.applyChanges({ revision: 11, facts: [{ kind: 'runner_gone', id: 'a' }] }, 100);
    const again: StoreFact = { kind: 'runner', runner: runnerOf('a', 'a@2') };
    knowledge.applyFullRead({ revision: restored(10), facts: [again, factOf('b')] }, 1_000);
    expect(idsOf(knowledge)).toEqual(['a', 'b']);
  });

  it('ends evacuations and drops runners that are still missing in a full read after the grace period', () => {
    // Guards against an order that is lost with the copy's age, and against one that stays in force for good.
    const { knowledge, gone } = createKnowledge();
    knowledge.applyChanges({ revision: 11, facts: [order] }, 100);
    knowledge.applyFullRead({ revision: restored(9), facts: [factOf('b')] }, 1_000);
    knowledge.applyChanges({ revision: restored(10), facts: [] }, 3_400);
    expect([knowledge.evacuated, gone]).toEqual([['there'], []]);
    expect(knowledge.isFullReadDue(3_300)).toEqual(true);
    knowledge.applyFullRead({ revision: restored(11), facts: [factOf('b')] }, 3_500);
    expect([knowledge.evacuated, gone]).toEqual([[], ['a']]);
  });

  it('is not replaced by answers and snapshots of before the restore', () => {
    const { knowledge } = createKnowledge();
    const drained: StoreFact = { kind: 'runner', runner: { ...runnerOf('b'), state: 'draining' } };
    knowledge.applyFullRead({ revision: restored(3), facts: [factOf('a'), drained] }, 1_000);
    knowledge.applyFullRead({ revision: 400, facts: [factOf('a'), factOf('b')] }, 1_100);
    const snapshot = { revision: 500, runners: [runnerOf('a'), runnerOf('b')], daemons: [] };
    expect(knowledge.applyPeerSnapshot(snapshot, 1_200)).toEqual(false);
    knowledge.applyRelayed({ revision: 600, facts: [{ ...factOf('b'), revision: 600 }] }, 1_300);
    expect(idsOf(knowledge)).toEqual(['a']);
  });
});
