import { describe, it } from 'node:test';

import { expect } from 'earl';

import { ToldVersions } from './ToldVersions.js';

describe(ToldVersions.name, () => {
  it('is behind from the time that another daemon tells a newer version until it is in force', () => {
    const told = new ToldVersions();
    told.record(4, 4, 0);
    expect(told.isBehind(4, 0)).toEqual(false);
    told.record(6, 4, 100);
    expect([4, 5, 6].map((inForce) => told.isBehind(inForce, 100))).toEqual([true, true, false]);
  });

  // Guards against 503 to every unknown path for good, after a store has lost a version that daemons had.
  it('gives up a version that has not come, however often it is told', () => {
    const told = new ToldVersions();
    for (let now = 0; now <= 20_000; now += 500) told.record(9, 4, now);
    expect([told.isBehind(4, 9_999), told.isBehind(4, 10_000)]).toEqual([true, false]);
  });

  it('counts the time from the version that is missing, while versions follow each other', () => {
    const told = new ToldVersions();
    for (let version = 1; version <= 60; version += 1) {
      const now = version * 500;
      told.record(version, version - 1, now);
      expect([told.isBehind(version - 1, now), told.isBehind(version, now)]).toEqual([true, false]);
    }
  });
});
