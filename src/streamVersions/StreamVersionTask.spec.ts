import { describe, it } from 'node:test';

import { expect } from 'earl';

import { TestStreamFleet } from './testStreamFleet.js';
import type { TestStreamFleetOptions } from './testStreamFleetTypes.js';

/** Streams that may hold events of two versions. */
const ALLOWED_MIXED = 2;

/** All streams begin, so of those that callers take up at least half have to go on. */
const LEAST_SHARE = 0.5;

const PLAYED_SECONDS = 5;

/** Datagrams that a daemon may send in a second: two to each of the daemons that keep all records. */
const MAXIMUM_DATAGRAMS = 32;

/** Writes by all daemons together that confirm the history of versions in the store, per second; one in three seconds. */
const MAXIMUM_RENEWALS = 0.4;

/** Bytes that a daemon may send in a second: a tenth of what it may spend on control as a whole. */
const MAXIMUM_BYTES = 1_700;

const RELEASES = ['v1.1', 'v1.2'];

/** Replaces all runners, one every so many ms, twice over, from the given time on. */
function planReleases(fleet: TestStreamFleet, runners: number, from: number, gap: number): void {
  RELEASES.forEach((version, release) => {
    for (let index = 0; index < runners; index += 1) {
      const at = from + (release * runners + index) * gap;
      fleet.after(at, () => fleet.replace(index, version));
    }
  });
}

/** Kills one daemon after the other. */
function planKills(fleet: TestStreamFleet, from: number, until: number, gap: number): void {
  for (let at = from; at < until; at += gap) {
    fleet.after(at, () => {
      const daemon = fleet.daemons[Math.floor(fleet.random() * fleet.daemons.length)];
      if (daemon) fleet.kill(daemon);
    });
  }
}

/** Cuts off three in ten daemons at the same moment. */
function planCut(fleet: TestStreamFleet, at: number, milliseconds: number): void {
  fleet.after(at, () => {
    for (const daemon of fleet.daemons) if (fleet.random() < 0.3) fleet.cut(daemon, milliseconds);
  });
}

const FLEETS: readonly TestStreamFleetOptions[] = [
  { daemons: 6, runners: 8, seed: 1, streamsPerSecond: 40 },
  { daemons: 9, runners: 8, seed: 2, streamsPerSecond: 60 },
  { daemons: 90, runners: 30, seed: 3, streamsPerSecond: 300 },
  { daemons: 300, runners: 60, seed: 4, streamsPerSecond: 600 },
];

for (const options of FLEETS) {
  const { daemons, runners } = options;

  describe(`streams that callers take up at a fleet of ${daemons}, while software versions change`, () => {
    function expectKept({ tally }: TestStreamFleet): void {
      expect(tally.mixed).toBeLessThanOrEqual(ALLOWED_MIXED);
      expect(tally.owed).toBeGreaterThanOrEqual(12);
      expect(tally.wentOn / tally.owed).toBeGreaterThanOrEqual(LEAST_SHARE);
    }

    it('go on at the version that began them, beside kills', async () => {
      // Guards against events of two software versions over a caller's tries, and against refusing to go on.
      const fleet = new TestStreamFleet(options);
      planReleases(fleet, runners, 4_000, 14_000 / (2 * runners));
      planKills(fleet, 1_000, 20_000, daemons > 16 ? 100 : 700);
      await fleet.play(22_000);
      expectKept(fleet);
    });

    it('go on at the version that began them, beside cuts from the store and from other daemons', async () => {
      // Guards against a daemon that is cut off, knows one version only, and goes on with streams of another one.
      const fleet = new TestStreamFleet({ ...options, lostByCallers: 0.1 });
      planReleases(fleet, runners, 4_000, 14_000 / (2 * runners));
      planCut(fleet, 3_000, 9_000);
      planCut(fleet, 14_000, 4_000);
      planKills(fleet, 6_000, 18_000, daemons > 16 ? 400 : 2_500);
      await fleet.play(22_000);
      expectKept(fleet);
    });

    it('go on when half of the daemons end at the same moment', async () => {
      // Guards against records that are lost with the daemons that began the streams.
      const fleet = new TestStreamFleet({ ...options, lostByCallers: 0 });
      planReleases(fleet, runners, 1_000, 14_000 / (2 * runners));
      for (const at of [5_000, 11_000, 17_000]) {
        fleet.after(at, () => {
          for (const daemon of fleet.daemons) if (fleet.random() < 0.5) fleet.kill(daemon);
        });
      }
      await fleet.play(20_000);
      expectKept(fleet);
    });

    it('are told in few datagrams while there has been one version only for long', async () => {
      // Guards against traffic between daemons that grows with the fleet, or takes what the rest of control needs.
      const fleet = new TestStreamFleet({ ...options, lostByCallers: 0 });
      await fleet.play(26_000);
      const { sent, sentBytes } = fleet;
      const { recordWrites, historyWrites } = fleet.store;
      await fleet.play(PLAYED_SECONDS * 1_000);
      const share = daemons * PLAYED_SECONDS;
      expect((fleet.sent - sent) / share).toBeLessThanOrEqual(MAXIMUM_DATAGRAMS);
      expect((fleet.sentBytes - sentBytes) / share).toBeLessThanOrEqual(MAXIMUM_BYTES);
      expect(fleet.store.recordWrites).toEqual(recordWrites);
      const renewals = fleet.store.historyWrites - historyWrites;
      expect(renewals / PLAYED_SECONDS).toBeLessThanOrEqual(MAXIMUM_RENEWALS);
    });

    it('go on when the second version comes after they have begun', async () => {
      // Guards against streams that nobody was told of, because there was one version only.
      const fleet = new TestStreamFleet({ ...options, lostByCallers: 0 });
      await fleet.play(26_000);
      for (let index = 0; index < runners / 2; index += 1) fleet.replace(index, 'v1.1');
      await fleet.play(2_000);
      for (const daemon of fleet.daemons.slice(0, daemons / 2)) fleet.kill(daemon);
      await fleet.play(3_000);
      expectKept(fleet);
    });
  });
}
