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

function runnerOf(id: string): RunnerEntry {
  const place = { host: '10.0.0.1', port: 80, dataCentre: 'here' };
  return { id, service: 'plain', state: 'ready', ...place };
}

function factOf(id: string): StoreFact {
  return { kind: 'runner', runner: runnerOf(id) };
}

function createKnowledge() {
  const { knowledge, gone, unreadable } = createTestKnowledge();
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
    knowledge.storeLost();
    knowledge.storeReturned(5_000);
    knowledge.applyAll({ revision: 12, facts: [] }, 5_000);
    expect(gone).toEqual([]);
    knowledge.applyChanges({ revision: 13, facts: [factOf('a')] }, 6_000);
    knowledge.expire(7_200);
    expect(gone).toEqual([]);
    knowledge.expire(7_300);
    expect(gone).toEqual(['b']);
  });

  it('does not wait for a runner that left while the store turned this daemon away alone', () => {
    // Symptom: requests reach a runner 2.1 s after it left. Sequence: the store turns one daemon away, others
    // tell it what is new; it is served again, and then a runner leaves. Cause: the daemon took the refusal
    // for an outage and the leaving runner's entry for one that had lapsed.
    const { knowledge, gone } = createKnowledge();
    knowledge.storeLost();
    knowledge.applyPeer(
      { revision: 20, runners: [runnerOf('a'), runnerOf('b')], daemons: [] },
      1_000,
    );
    knowledge.storeReturned(5_000);
    knowledge.applyChanges({ revision: 21, facts: [{ kind: 'runner_gone', id: 'a' }] }, 5_100);
    expect(gone).toEqual(['a']);
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

  it('keeps what it knew of an entry that cannot be read, and reports it', () => {
    const { knowledge, unreadable } = createKnowledge();
    const fact = { kind: 'unreadable', key: 'servers/a', message: 'no JSON' } as const;
    knowledge.applyChanges({ revision: 11, facts: [fact] }, 0);
    expect(knowledge.runners.get('a') === undefined).toEqual(false);
    expect(unreadable).toEqual(['servers/a']);
  });
});
