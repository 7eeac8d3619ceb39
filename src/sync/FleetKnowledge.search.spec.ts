import { describe, it } from 'node:test';

import { expect } from 'earl';
import * as fc from 'fast-check';

import type { RunnerEntry } from '../runners/Runner.js';
import type { StoreFact } from './FleetStore.js';
import { createTestKnowledge } from './testKnowledge.js';

const RUNNERS = ['a', 'b', 'c'];

/** One change of the store: a runner is ready, drains, or is gone. */
interface Change {
  readonly id: string;
  readonly state: 'ready' | 'draining' | 'gone';
}

/** An answer on its way: of the store, from a revision on, or of another daemon. */
interface Arrival {
  readonly from: 'changes' | 'all' | 'peer';
  /** Of the changes so far, the part that the answer knows. */
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

describe('beliefs from answers that overtake each other', () => {
  it('are at any time those of the newest revision that has come', () => {
    // Symptom: a request goes to a runner that the daemon knew to be draining. Sequence: a slow answer of the
    // store is on its way while another daemon's newer knowledge arrives. Cause: the older one is taken last.
    const play = (changes: readonly Change[], arrivals: readonly Arrival[]) => {
      const { knowledge } = createTestKnowledge();
      let followed = 0;
      let newest = 0;
      for (const { from, share } of arrivals) {
        const revision = Math.round(share * changes.length);
        const listed = [...listedAt(changes, revision).values()];
        if (from === 'peer') {
          knowledge.applyPeer({ revision, runners: listed.map(entryOf), daemons: [] }, 0);
        } else if (from === 'all') {
          knowledge.applyAll({ revision, facts: listed.map(factOf) }, 0);
          followed = revision;
        } else {
          // What the store answers to "after": all changes since, however old the question is.
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
