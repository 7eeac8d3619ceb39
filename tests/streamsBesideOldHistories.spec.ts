/**
 * Streams go on at the software version that began them after a loss of all daemons, also where the store holds less than
 * the daemons knew.
 */
import { setTimeout as wait } from 'node:timers/promises';

import { describeUpheavals } from './describeUpheavals.js';
import type { Upheaval } from './describeUpheavals.js';
import type { VersionedFleet } from './VersionedFleet.js';

const SIZES = [6, 20];

const OLD = ['v1', 'v1'];

const NEW = ['v2', 'v2', 'v2', 'v2'];

/** From the start of the second version to the loss of all daemons, in ms. */
const BESIDE_MILLISECONDS = 4_000;

/** How long the store refuses writes after the loss of all daemons, in ms. */
const REFUSES_ON_MILLISECONDS = 500;

/** From the loss of all daemons until the store is restored, and on until the runners have written their entries again; in ms. */
const RESTORED_AFTER_MILLISECONDS = 100;
const WRITTEN_AGAIN_AFTER_MILLISECONDS = 400;

async function startNewVersion(fleet: VersionedFleet): Promise<void> {
  for (const version of NEW) await fleet.addRunner(version);
}

async function replaceOldVersion(fleet: VersionedFleet): Promise<void> {
  await startNewVersion(fleet);
  fleet.unlist('v1', OLD.length);
}

type Release = (fleet: VersionedFleet) => Promise<void>;

function refuseWrites(release: Release): Upheaval['play'] {
  return async (fleet, isCounted) => {
    const { store } = fleet.site;
    store.faultFor({ fault: 'busy', concerns: ({ method }) => method !== 'GET' });
    await release(fleet);
    await wait(BESIDE_MILLISECONDS);
    isCounted();
    const served = wait(REFUSES_ON_MILLISECONDS).then(() => store.faultFor({ fault: 'none' }));
    await Promise.all([fleet.kill(), served]);
  };
}

function restoreOlderCopy(release: Release): Upheaval['play'] {
  return async (fleet, isCounted) => {
    const { store } = fleet.site;
    const copy = store.copy();
    await release(fleet);
    await wait(BESIDE_MILLISECONDS);
    isCounted();
    const killed = fleet.kill();
    await wait(RESTORED_AFTER_MILLISECONDS);
    store.restore(copy);
    const written = wait(WRITTEN_AGAIN_AFTER_MILLISECONDS).then(() => store.writeAgain());
    await Promise.all([killed, written]);
  };
}

const UPHEAVALS: readonly Upheaval[] = [
  // Guards against a saved history that is taken for complete although the store has refused the newest version.
  {
    name: 'the store has refused writes since the second version came',
    ...{ sizes: SIZES, versions: OLD },
    play: refuseWrites(startNewVersion),
  },
  // Guards against a saved history that is taken for complete although the store has lost the newest version.
  {
    name: 'the store comes back from a copy that is older than the second version',
    ...{ sizes: SIZES, versions: OLD },
    play: restoreOlderCopy(startNewVersion),
  },
  // Guards against a version that is taken for that of all streams because the store knows no other one.
  {
    name: 'the store has refused writes since another version has replaced the only one',
    ...{ sizes: SIZES, versions: OLD },
    play: refuseWrites(replaceOldVersion),
  },
  // Guards against the same where the store has lost the newest version.
  {
    name: 'the store comes back from a copy that is older than the version that has replaced the only one',
    ...{ sizes: SIZES, versions: OLD },
    play: restoreOlderCopy(replaceOldVersion),
  },
];

describeUpheavals('streams beside a store that holds less than the daemons knew', UPHEAVALS);
