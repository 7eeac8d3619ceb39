import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { RoutingConfiguration } from '../routes/routeTypes.js';
import type { RunnerEntry } from '../runners/Runner.js';
import type { StoreFact } from './FleetStore.js';
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
  knowledge.storeServed(0);
  knowledge.applyAll({ revision: 10, facts: [factOf('a'), factOf('b')] }, 0);
  return { knowledge, gone, unreadable };
}

describe('FleetKnowledge', () => {
  it('drops a runner at once when its entry goes while the store is up', () => {
    const { knowledge, gone } = createKnowledge();
    knowledge.applyChanges({ revision: 11, facts: [{ kind: 'runner_gone', id: 'a' }] }, 100);
    expect(gone).toEqual(['a']);
  });

  it('keeps runners whose entries lapsed while the store was away, until they are back or late', () => {
    // Symptom: all runners are gone for two seconds after each outage. Sequence: leases run out while the
    // store is away, and the first read after its return holds no runner. Cause: missing was taken for gone.
    const { knowledge, gone } = createKnowledge();
    knowledge.storeFailed();
    knowledge.storeServed(5_000);
    knowledge.applyAll({ revision: 12, facts: [] }, 5_000);
    expect(gone).toEqual([]);
    expect(knowledge.runners.readyOf('plain').length).toEqual(2);
    knowledge.applyChanges({ revision: 13, facts: [factOf('a')] }, 6_000);
    knowledge.applyChanges({ revision: 14, facts: [] }, 7_200);
    expect(gone).toEqual([]);
    knowledge.applyChanges({ revision: 15, facts: [] }, 7_300);
    expect(gone).toEqual(['b']);
  });

  it('keeps daemons whose entries lapsed while the store was away, until they are back or late', () => {
    // Symptom: for a second after each outage the directory of a daemon names hardly anybody, and callers drop their
    // connections to all others. Sequence: leases run out while the store is away; the first read after its return holds
    // the daemons that have registered anew so far. Cause: an entry that was missing was taken for a daemon that was gone.
    const { knowledge } = createKnowledge();
    const names = () => [...knowledge.daemons.keys()];
    const facts = [daemonFactOf('x'), daemonFactOf('y')];
    knowledge.applyChanges({ revision: 11, facts }, 100);
    knowledge.storeFailed();
    knowledge.storeServed(5_000);
    const before = knowledge.listingDigest;
    knowledge.applyAll({ revision: 12, facts: [] }, 5_000);
    expect(names()).toEqual(['x', 'y']);
    // Who has an entry is the same for all daemons, however long each waits.
    expect(knowledge.listingDigest === before).toEqual(false);
    expect(knowledge.snapshot(0, 5_000).daemons).toEqual([]);
    knowledge.applyChanges({ revision: 13, facts: [daemonFactOf('x')] }, 6_000);
    knowledge.applyChanges({ revision: 14, facts: [] }, 7_300);
    expect(names()).toEqual(['x']);
    knowledge.applyChanges({ revision: 15, facts: [{ kind: 'daemon_gone', name: 'x' }] }, 7_400);
    expect(names()).toEqual([]);
  });

  it('drops no runner between two reads, whose entry may be back unseen', () => {
    // Symptom: prompts are read again after each outage, though their runners were there all the while. Sequence: an entry
    // is back after two seconds; the daemon reads the store each 1.6 s, and gives the runner up at 2.3 s. Cause: it was given
    // up by the clock alone, with what was known of its cached prompts.
    const { knowledge, gone } = createKnowledge();
    knowledge.storeFailed();
    knowledge.storeServed(5_000);
    knowledge.applyAll({ revision: 12, facts: [factOf('a')] }, 5_000);
    knowledge.applyChanges({ revision: 14, facts: [factOf('b')] }, 7_400);
    expect(gone).toEqual([]);
  });

  it('does not wait for a runner that left while the store turned this daemon away alone', () => {
    // Symptom: requests reach a runner 2.1 s after it left. Sequence: the store turns one daemon away, others
    // tell it what is new; it is served again, and then a runner leaves. Cause: the daemon took the refusal
    // for an outage and the leaving runner's entry for one that had lapsed.
    const { knowledge, gone } = createKnowledge();
    const listed = { runners: [runnerOf('a'), runnerOf('b')], daemons: [] };
    for (let now = 500; now < 5_000; now += 500) {
      knowledge.storeFailed();
      knowledge.applyPeer({ revision: 20 + now, ...listed, storeSilentMilliseconds: 400 }, now);
    }
    knowledge.storeServed(5_000);
    knowledge.applyChanges({ revision: 5_021, facts: [{ kind: 'runner_gone', id: 'a' }] }, 5_100);
    expect(gone).toEqual(['a']);
  });

  it('waits for lapsed runners although others know what the store said before it went away', () => {
    // Symptom: a daemon has no runner at all for two seconds after an outage. Sequence: the store goes away; another
    // daemon has read it a little later than this one, and says so when it is asked. Cause: what another daemon
    // had heard before the outage was taken for a sign that there was none.
    const { knowledge, gone } = createKnowledge();
    knowledge.storeFailed();
    const listed = { runners: [runnerOf('a'), runnerOf('b')], daemons: [] };
    knowledge.applyPeer({ revision: 11, ...listed, storeSilentMilliseconds: 900 }, 1_000);
    knowledge.storeFailed();
    knowledge.storeServed(5_000);
    knowledge.applyAll({ revision: 12, facts: [] }, 5_000);
    expect(gone).toEqual([]);
  });

  it('gives a runner without an entry no new work while most others have theirs', () => {
    // Symptom: requests reach a runner 3.1 s after it left. Sequence: a daemon is cut off, takes that for an outage of
    // the store, and waits for the entry of a runner that leaves just after its return. Cause: a runner that may be
    // back was used like one that is there, although all others had been there all the while.
    const { knowledge, gone } = createTestKnowledge();
    knowledge.storeServed(0);
    const facts = ['a', 'b', 'c', 'd'].map(factOf);
    knowledge.applyAll({ revision: 10, facts }, 0);
    knowledge.storeFailed();
    knowledge.storeServed(8_000);
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

  it('takes no older configuration, from the store or from a daemon', () => {
    const { knowledge } = createKnowledge();
    const put = (version: number, revision: number) =>
      knowledge.applyChanges(
        { revision, facts: [{ kind: 'configuration', configuration: configurationOf(version) }] },
        0,
      );
    put(7, 11);
    put(6, 12);
    const configuration = configurationOf(5);
    knowledge.applyPeer({ revision: 30, configuration, runners: [], daemons: [] }, 0);
    expect(knowledge.routes?.configuration.version).toEqual(7);
  });

  it('takes nothing from a daemon that knows less', () => {
    const { knowledge, gone } = createKnowledge();
    expect(knowledge.applyPeer({ revision: 9, runners: [], daemons: [] }, 0)).toEqual(false);
    expect(gone).toEqual([]);
  });

  it('takes a runner that has started again under its id for another one', () => {
    // Symptom: requests are sent for prompts that the runner no longer holds, and it looks busy with requests that
    // it has lost. Sequence: a runner crashes and starts again under its id and address before its entry lapses.
    // Cause: an entry with the same state and address was taken for no change.
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

  it('learns of a new start from another daemon, and where the entry had gone unseen', () => {
    const { knowledge } = createKnowledge();
    knowledge.applyPeer(
      { revision: 12, runners: [runnerOf('a', 'a@2'), runnerOf('b')], daemons: [] },
      0,
    );
    expect(knowledge.runners.get('a')?.entry.life).toEqual('a@2');
    knowledge.applyChanges({ revision: 13, facts: [{ kind: 'runner_gone', id: 'a' }] }, 0);
    const runner = runnerOf('a', 'a@3');
    knowledge.applyAll({ revision: 14, facts: [{ kind: 'runner', runner }, factOf('b')] }, 0);
    expect(knowledge.runners.readyOf('plain').map(({ entry }) => entry.life)).toEqual(['a@3', 'b']);
  });

  it('sends nothing to a runner whose entry another writer has spoilt, until it is right again', () => {
    // Symptom: requests reach an address that nothing vouches for. Sequence: another writer puts bytes under a
    // runner's id; the runner's next heartbeat puts the entry right. Cause: the former entry stayed in use.
    const { knowledge, gone, unreadable } = createKnowledge();
    const known = knowledge.runners.get('a');
    const spoilt = { kind: 'runner_unreadable', id: 'a', message: 'no JSON' } as const;
    knowledge.applyChanges({ revision: 11, facts: [spoilt] }, 0);
    knowledge.applyChanges({ revision: 12, facts: [spoilt] }, 0);
    expect(knowledge.runners.readyOf('plain').map(({ entry }) => entry.id)).toEqual(['b']);
    expect(unreadable).toEqual(['a']);
    knowledge.applyAll({ revision: 13, facts: [spoilt, factOf('b')] }, 0);
    expect(gone).toEqual([]);
    knowledge.applyChanges({ revision: 14, facts: [factOf('a')] }, 0);
    expect(knowledge.runners.readyOf('plain').map(({ entry }) => entry.id)).toEqual(['a', 'b']);
    expect(knowledge.runners.get('a') === known).toEqual(true);
  });

  it('knows no runner from an entry that was never right', () => {
    const { knowledge, unreadable } = createKnowledge();
    const odd = { kind: 'runner_unreadable', id: 'odd', message: 'no JSON' } as const;
    knowledge.applyChanges({ revision: 11, facts: [odd] }, 0);
    expect(knowledge.runners.get('odd')).toEqual(undefined);
    expect(unreadable).toEqual(['odd']);
  });

  it('keeps what it knew of an entry that cannot be read, and reports it', () => {
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

  it('is cold until the time that its entry tells, also as told to another daemon later', () => {
    const knowledge = knowledgeOf(3_000);
    expect(knowledge.runners.get('r')?.coldUntil).toEqual(4_000);
    const { knowledge: other } = createTestKnowledge();
    other.applyPeer(knowledge.snapshot(0, 2_500), 9_000);
    expect(other.runners.get('r')?.coldUntil).toEqual(10_500);
  });

  it('is told of once, not with each heartbeat that tells the same', () => {
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

  it('is warm as soon as an entry says so, and may become cold again', () => {
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

  it('changes nothing, in a read of changes and in one of everything', () => {
    // Guards against a data centre that gets requests again because somebody has spoilt the order.
    const { knowledge, unreadable: reported } = createTestKnowledge();
    knowledge.applyAll({ revision: 5, facts: [order] }, 0);
    knowledge.applyChanges({ revision: 6, facts: [unreadable] }, 0);
    expect(knowledge.evacuated).toEqual(['north']);
    knowledge.applyAll({ revision: 7, facts: [unreadable] }, 0);
    expect(knowledge.evacuated).toEqual(['north']);
    expect(reported).toEqual(['north']);
    const { knowledge: fresh } = createTestKnowledge();
    fresh.applyAll({ revision: 7, facts: [unreadable] }, 0);
    expect(fresh.evacuated).toEqual([]);
  });
});
