import { describe, it } from 'node:test';

import { expect } from 'earl';

import { FleetSize } from './FleetSize.js';

const PERIOD_MILLISECONDS = 10_000;

describe(FleetSize.name, () => {
  // Guards against remaining daemons that raise their share of the fleet's limits as soon as others leave, while the
  // usage of those that left still counts.
  it('is the maximum length of the list within the period', () => {
    const size = new FleetSize();
    const most = (now: number) => size.maximumWithin(PERIOD_MILLISECONDS, now);
    expect(most(0)).toEqual(1);
    size.changed(9, 0);
    size.changed(1, 40_000);
    size.changed(3, 41_000);
    expect([most(40_000), most(49_999), most(50_001), most(51_000)]).toEqual([9, 9, 3, 3]);
    size.changed(12, 52_000);
    size.changed(2, 53_000);
    expect([most(53_000), most(62_999), most(63_001)]).toEqual([12, 12, 2]);
  });
});
