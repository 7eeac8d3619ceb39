/**
 * Streams go on at the software version that began them, also after all daemons have ended at the same moment.
 */
import { setTimeout as wait } from 'node:timers/promises';

import { describeUpheavals } from './describeUpheavals.js';
import type { Upheaval } from './describeUpheavals.js';
import type { VersionedFleet } from './VersionedFleet.js';

/** Streams end, and connections are closed, for some seconds before the first fault, in ms. */
const LONG_MILLISECONDS = 9_000;

const OLD = ['v1', 'v1', 'v1', 'v1'];
const BOTH = ['v1', 'v1', 'v2', 'v2', 'v2', 'v2'];

/** Runners close connections so soon after their answers, in ms. */
const CLOSES_MILLISECONDS = 50;

async function losePowerOfHalf(fleet: VersionedFleet, isCounted: () => void): Promise<void> {
  isCounted();
  const lost = fleet.processes.slice(0, fleet.processes.length / 2);
  const released = wait(1_000).then(() => fleet.addRunner('v2'));
  await Promise.all([fleet.losePower(2_000, lost), released]);
}

function killAll(fleet: VersionedFleet, isCounted: () => void): Promise<void> {
  isCounted();
  return fleet.kill();
}

const UPHEAVALS: readonly Upheaval[] = [
  // Guards against daemons that refuse the streams of others because they alone have seen the only version there was.
  {
    name: 'half lose power before the first runner of another version starts',
    ...{ sizes: [6, 20], versions: OLD, quietMilliseconds: 30_000, lostShare: 0.5 },
    play: losePowerOfHalf,
  },
  // Guards against daemons that record no stream, since each closed connection puts the version of its runner in doubt.
  {
    name: 'half lose power before a release, and runners close connections after their answers',
    ...{ sizes: [6], versions: OLD, beforeMilliseconds: LONG_MILLISECONDS, lostShare: 0.5 },
    ...{ closesAfterMilliseconds: CLOSES_MILLISECONDS },
    play: losePowerOfHalf,
  },
  // Guards against the same while two versions serve.
  {
    name: 'all are killed while two versions serve, and runners close connections after their answers',
    ...{ sizes: [6], versions: BOTH, beforeMilliseconds: LONG_MILLISECONDS },
    ...{ closesAfterMilliseconds: CLOSES_MILLISECONDS },
    play: killAll,
  },
  // Guards against daemons that take the only version that they see after their start for that of any stream.
  {
    name: 'all are killed during a release',
    ...{ sizes: [6, 20], versions: BOTH },
    play: async (fleet, isCounted) => {
      fleet.unlist('v1', 2);
      await wait(1_000);
      isCounted();
      await fleet.kill();
    },
  },
  // Guards against versions that are known again after one start, and forgotten by a second one soon after.
  {
    name: 'all are killed twice during a release',
    ...{ sizes: [6], versions: BOTH },
    play: async (fleet, isCounted) => {
      fleet.unlist('v1', 2);
      await wait(1_000);
      isCounted();
      await fleet.kill();
      await wait(1_200);
      await fleet.kill();
    },
  },
  // Guards against daemons that know no stream after their start, and so refuse all while two versions serve.
  {
    name: 'all are killed while two versions serve',
    ...{ sizes: [6, 20], versions: BOTH },
    play: killAll,
  },
  // Guards against records that are written in a planned stop only, or only after some time without a fault.
  {
    name: 'all lose power while two versions serve',
    ...{ sizes: [6], versions: BOTH },
    play: async (fleet, isCounted) => {
      isCounted();
      await fleet.losePower(1_000);
    },
  },
  // Guards against daemons that forget by their start that there was only one version before another one came.
  {
    name: 'all are killed before the first runner of another version starts',
    ...{ sizes: [6], versions: OLD, pausesMilliseconds: [2_000, 2_400, 600, 2_000, 2_400] },
    play: async (fleet, isCounted) => {
      const killed = fleet.kill();
      await wait(1_500);
      await Promise.all([fleet.addRunner('v2'), killed]);
      isCounted();
    },
  },
  // Guards against records and histories that are right for one release only, or for one loss.
  {
    name: 'all are killed again and again during two releases in series',
    ...{ sizes: [6], versions: [...OLD, 'v1', 'v1'] },
    play: async (fleet, isCounted) => {
      const replace = async (from: string, to: string) => {
        for (let left = 6; left > 0; left -= 1) {
          await fleet.addRunner(to);
          fleet.unlist(from, 1);
          await wait(1_000);
        }
      };
      const releases = replace('v1', 'v2').then(() => replace('v2', 'v3'));
      await wait(2_500);
      isCounted();
      await fleet.kill();
      await wait(3_700);
      await fleet.kill();
      await wait(3_700);
      await Promise.all([fleet.kill(), releases]);
    },
  },
  // Guards against daemons that conclude from a store that does not answer that there is no record.
  {
    name: 'all are killed and the store is silent for three seconds',
    ...{ sizes: [6], versions: BOTH },
    play: async (fleet, isCounted) => {
      fleet.site.store.faultFor({ fault: 'silent' });
      await Promise.all([fleet.kill(), wait(3_000)]);
      fleet.site.store.faultFor({ fault: 'none' });
      isCounted();
    },
  },
];

describeUpheavals('streams that outlive the daemons', UPHEAVALS);
