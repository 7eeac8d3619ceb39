/**
 * Streams go on at the software version that began them, also where their daemons are lost a moment after they began.
 */
import { setTimeout as wait } from 'node:timers/promises';

import { describeUpheavals } from './describeUpheavals.js';
import type { Upheaval } from './describeUpheavals.js';
import type { VersionedFleet } from './VersionedFleet.js';

/** Daemons that were just started know which versions are newer than all streams; these have run for longer. */
const QUIET_MILLISECONDS = 30_000;

const CALLERS_IN_STEP = 60;

async function releaseAfter(fleet: VersionedFleet, milliseconds: number): Promise<void> {
  await wait(milliseconds);
  await fleet.addRunner('v2');
}

const UPHEAVALS: readonly Upheaval[] = [
  // Guards against records that are still at the daemon that is lost when its streams have their first events.
  {
    name: 'half lose power before the first runner of another version starts',
    ...{ sizes: [6, 20], versions: ['v1', 'v1', 'v1', 'v1'] },
    ...{ quietMilliseconds: QUIET_MILLISECONDS, lostShare: 0.5, callersInStep: CALLERS_IN_STEP },
    play: async (fleet, isCounted) => {
      isCounted();
      const lost = fleet.processes.slice(0, fleet.processes.length / 2);
      await Promise.all([fleet.losePower(2_000, lost), releaseAfter(fleet, 500)]);
    },
  },
  // Guards against the same where the first runner has just appeared.
  {
    name: 'half are killed a moment after the first runner of another version has started',
    ...{ sizes: [6], versions: ['v1', 'v1', 'v1', 'v1'] },
    ...{ quietMilliseconds: QUIET_MILLISECONDS, lostShare: 0.5, callersInStep: CALLERS_IN_STEP },
    play: async (fleet, isCounted) => {
      await fleet.addRunner('v2');
      await wait(100);
      isCounted();
      await fleet.kill(fleet.processes.slice(0, fleet.processes.length / 2));
    },
  },
  // Guards against records that are not in the store yet when all daemons are lost.
  {
    name: 'all are killed while two versions serve',
    ...{ sizes: [6, 20], versions: ['v1', 'v1', 'v2', 'v2'], callersInStep: CALLERS_IN_STEP },
    play: async (fleet, isCounted) => {
      isCounted();
      await fleet.kill();
    },
  },
];

describeUpheavals('streams of callers in step', UPHEAVALS);
