import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { epochOf, LARGEST_EPOCH, orderedRevisionOf, storePositionOf } from './orderedRevision.js';

const position = fc.record(
  {
    epoch: fc.integer({ min: 0, max: LARGEST_EPOCH }),
    revision: fc.integer({ min: 0, max: 2 ** 38 - 1 }),
  },
  { noNullPrototype: true },
);

describe('ordered revisions', () => {
  it('are the revisions of a store that has never been restored', () => {
    expect(orderedRevisionOf({ epoch: 0, revision: 57 })).toEqual(57);
  });

  it('are ordered by epoch, then by revision, and keep both exactly', () => {
    fc.assert(
      fc.property(position, position, (one, other) => {
        const [first, second] = [orderedRevisionOf(one), orderedRevisionOf(other)];
        expect(storePositionOf(first)).toEqual(one);
        expect(epochOf(first)).toEqual(one.epoch);
        expect(Number.isSafeInteger(first)).toEqual(true);
        const expected =
          one.epoch === other.epoch ? one.revision - other.revision : one.epoch - other.epoch;
        expect(Math.sign(first - second)).toEqual(Math.sign(expected));
      }),
      { seed: 44 },
    );
  });
});
