import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { RunnerEntry } from '../runners/Runner.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { StoreFact } from './FleetStore.js';
import { orderedRevisionOf } from './orderedRevision.js';
import { createTestKnowledge } from './testKnowledge.js';

function runnerOf(id: string): RunnerEntry {
  const place = { host: '10.0.0.1', port: 80, dataCentre: 'here' };
  return { id, life: id, service: 'plain', state: 'ready', ...place };
}

function factOf(id: string): StoreFact {
  return { kind: 'runner', runner: runnerOf(id) };
}

function createKnowledge() {
  const { knowledge, unreadable } = createTestKnowledge();
  knowledge.applyFullRead({ revision: 10, facts: [factOf('a')] }, 0);
  return { knowledge, unreadable };
}

describe('FleetKnowledge of an entry by which no request can be sent', () => {
  const odd: RunnerEntry = { ...runnerOf('odd\r\n'), host: '10.0.0.9' };
  const factOfOdd: StoreFact = { kind: 'runner', runner: odd };
  const sound = factOf('c');

  /** The ways on which entries come. */
  const WAYS: Readonly<Record<string, (knowledge: FleetKnowledge) => void>> = {
    'a full read': (knowledge) =>
      knowledge.applyFullRead({ revision: 11, facts: [factOfOdd, sound] }, 1),
    'a watch': (knowledge) =>
      knowledge.applyChanges({ revision: 11, facts: [factOfOdd, sound] }, 1),
    'a restored store': (knowledge) => {
      const revision = orderedRevisionOf({ epoch: 1, revision: 5 });
      knowledge.applyFullRead({ revision, facts: [factOfOdd, sound] }, 1);
    },
    'a change that another daemon relays': (knowledge) => {
      const facts = [factOfOdd, sound].map((fact) => ({ ...fact, revision: 11 }));
      knowledge.applyRelayed({ revision: 11, facts }, 1);
    },
    'the listing of another daemon': (knowledge) => {
      const runners = [odd, runnerOf('c')];
      knowledge.applyPeerSnapshot({ revision: 11, runners, daemons: [] }, 1);
    },
  };

  for (const [way, apply] of Object.entries(WAYS)) {
    it(`names no runner to use, whichever way it comes: ${way}`, () => {
      // Guards against an entry that is checked on one of the ways only.
      const { knowledge, unreadable } = createKnowledge();
      apply(knowledge);
      const ready = knowledge.runners.readyOf('plain').map(({ entry }) => entry.id);
      expect([ready.includes(odd.id), ready.includes('c')]).toEqual([false, true]);
      expect(unreadable).toEqual([odd.id]);
      const passedOn = knowledge.snapshot(0, 2).runners.map(({ id }) => id);
      expect(passedOn.includes(odd.id)).toEqual(false);
    });
  }

  it('is reported with the beginning of its key only', () => {
    // Guards against a log and a memory that another writer fills.
    const { knowledge, unreadable } = createKnowledge();
    const facts = [factOf('x'.repeat(1_000_000))];
    knowledge.applyChanges({ revision: 11, facts }, 1);
    expect(unreadable.map(({ length }) => length)).toEqual([200]);
  });
});
