import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as fc from 'fast-check';

import type { RunnerEntry } from '../runners/Runner.js';
import type { StoreFact } from './FleetStore.js';
import { createTestKnowledge } from './testKnowledge.js';

const RUNNERS = ['a', 'b', 'c'];

/** One change in the store: a runner becomes ready, starts to drain, or is removed. */
interface Change {
  readonly id: string;
  readonly state: 'ready' | 'draining' | 'gone';
}

/** An answer that arrives: changes from the store, a full read of it, or a snapshot from another daemon. */
interface Arrival {
  readonly from: 'changes' | 'all' | 'peer';
  /** Share of all changes that the answer includes, from 0 to 1. */
  readonly share: number;
}

function entryOf({ id, state }: Change): RunnerEntry {
  const place = { host: '10.0.0.1', port: 80, dataCentre: 'here' };
  const known = state === 'draining' ? 'draining' : 'ready';
  return { id, life: id, service: 'plain', state: known, ...place };
}

function factOf(change: Change): StoreFact {
  if (change.state === 'gone') return { kind: 'runner_gone', id: change.id };
  return { kind: 'runner', runner: entryOf(change) };
}

function listedAt(changes: readonly Change[], revision: number): Map<string, Change> {
  const listed = new Map<string, Change>();
  for (const change of changes.slice(0, revision)) {
    if (change.state === 'gone') listed.delete(change.id);
    else listed.set(change.id, change);
  }
  return listed;
}

const change = fc.record({
  id: fc.constantFrom(...RUNNERS),
  state: fc.constantFrom('ready' as const, 'draining' as const, 'gone' as const),
});

const arrival = fc.record({
  from: fc.constantFrom('changes' as const, 'all' as const, 'peer' as const),
  share: fc.double({ min: 0, max: 1, noNaN: true }),
});

describe('answers that arrive out of order', () => {
  it('leave the state of the newest revision that has arrived', () => {
    // Guards against a request to a runner that the daemon already knew to be draining. A slow answer of the store
    // arrives after a newer snapshot from another daemon and must not overwrite it.
    const play = (changes: readonly Change[], arrivals: readonly Arrival[]) => {
      const { knowledge } = createTestKnowledge();
      let followed = 0;
      let newest = 0;
      for (const { from, share } of arrivals) {
        const revision = Math.round(share * changes.length);
        const listed = [...listedAt(changes, revision).values()];
        if (from === 'peer') {
          knowledge.applyPeerSnapshot({ revision, runners: listed.map(entryOf), daemons: [] }, 0);
        } else if (from === 'all') {
          knowledge.applyFullRead({ revision, facts: listed.map(factOf) }, 0);
          followed = revision;
        } else {
          // The store answers with all changes since the revision asked for, however old that revision is.
          const facts = changes.slice(followed, revision).map(factOf);
          knowledge.applyChanges({ revision: Math.max(followed, revision), facts }, 0);
          followed = Math.max(followed, revision);
        }
        newest = Math.max(newest, revision, followed);
        const believed = knowledge.runners.list().map(({ entry }) => `${entry.id} ${entry.state}`);
        const expected = [...listedAt(changes, newest).values()].map(
          ({ id, state }) => `${id} ${state}`,
        );
        expect([newest, ...believed.sort()]).toEqual([newest, ...expected.sort()]);
      }
    };
    const histories = fc.array(change, { minLength: 1, maxLength: 8 });
    const orders = fc.array(arrival, { maxLength: 6 });
    fc.assert(fc.property(histories, orders, play), { numRuns: 2_000, seed: 20_261_202 });
  });
});
