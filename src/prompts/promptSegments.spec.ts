import { describe, it } from 'node:test';

import { expect } from 'earl';
import { assert, integer, property } from 'fast-check';

import { prefixKeys } from './prefixKeys.js';
import { segmentIds, segmentParts } from './promptSegments.js';

const LONGEST_PROMPT = 5_000;

function idsOf(count: number): string[] {
  return Array.from({ length: count }, (_, index) => (index * 2_654_435_761).toString(16));
}

describe('segments of prompts', () => {
  it('are the parts themselves where there are few', () => {
    const ids = idsOf(32);
    expect(segmentIds(ids)).toEqual(ids);
    expect(prefixKeys(ids.slice(0, 2))).toEqual(['0', '0,9e3779b1']);
  });

  // Guards against work and memory that grow with the number of parts, or with its square.
  it('are about a hundred at most, with keys of bounded length', () => {
    assert(
      property(integer({ min: 0, max: LONGEST_PROMPT }), (count) => {
        const segments = segmentIds(idsOf(count));
        const keys = prefixKeys(segments);
        expect(segments.length).toBeLessThanOrEqual(110);
        expect(new Set(keys).size).toEqual(segments.length);
        expect(Math.max(0, ...keys.map(({ length }) => length))).toBeLessThanOrEqual(64);
      }),
    );
  });

  // Guards against a returning chat whose cached beginning is not found.
  it('of prompts with a common beginning share most of it', () => {
    assert(
      property(
        integer({ min: 1, max: LONGEST_PROMPT }),
        integer({ min: 0, max: 40 }),
        (common, added) => {
          const ids = idsOf(common + added);
          const before = segmentParts(
            [...ids.slice(0, common), 'x'].map((id) => ({ id, tokens: 1 })),
          );
          const known = new Set(prefixKeys(before.slice(0, -1).map(({ id }) => id)));
          const after = segmentParts([...ids, 'y'].map((id) => ({ id, tokens: 1 }))).slice(0, -1);
          const keys = prefixKeys(after.map(({ id }) => id));
          const shared = keys.filter((key) => known.has(key)).length;
          const tokens = after.slice(0, shared).reduce((sum, part) => sum + part.tokens, 0);
          expect(tokens).toBeGreaterThanOrEqual(Math.floor((common * 7) / 8));
        },
      ),
    );
  });

  it('keep all tokens, and replace long ids', () => {
    const parts = idsOf(1_000).map((id, index) => ({ id: id.padEnd(index, '0'), tokens: index }));
    const segments = segmentParts(parts);
    const sum = (all: readonly { tokens: number }[]) => all.reduce((so, one) => so + one.tokens, 0);
    expect(sum(segments)).toEqual(sum(parts));
    expect(Math.max(...segments.map(({ id }) => id.length))).toBeLessThanOrEqual(64);
  });
});
