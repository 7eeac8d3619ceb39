/**
 * Synchronization of the list of runners.
 */
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { FollowingFleet } from '../../standIns/platform/FollowingFleet.js';
import { MemoryPlatformStore } from '../../standIns/platform/MemoryPlatformStore.js';
import { runnerRecord } from '../../standIns/platform/sampleConfiguration.js';
import { instanceWrite } from './InstanceDirectory.js';
import {
  commitPolicyChange,
  fleetPlaces,
  SHORT_CHECK_INTERVALS,
  SECOND,
  SETTLE_MILLISECONDS,
} from './testDocumentSync.js';

describe('following the list of runners', () => {
  it('keeps a runner leaving within its incarnation, however the list flaps', async () => {
    // Guards against streams that break at the planned stop of a leaving runner. The lagging list shows the runner
    // as leaving, then as live again, then without it, then as live once more. It goes wrong if the newest entry
    // of a lagging list is trusted.
    const fleet = new FollowingFleet({ places: fleetPlaces(1, 2, 2) });
    const list = async (state: string, incarnation: bigint): Promise<void> => {
      const record = runnerRecord({ runnerId: 'sales-1', state, incarnation });
      await fleet.store.transact({ expected: [], writes: [instanceWrite(record)] });
      await fleet.pass(SETTLE_MILLISECONDS);
    };
    const seen = (): (string | undefined)[] =>
      [...fleet.daemons.values()].map(
        ({ decisions }) => decisions.runners.list().runners[0]?.state,
      );
    await list('live', 5n);
    expect(seen()).toEqual(Array(4).fill('live'));
    await list('leaving', 5n);
    await list('live', 5n);
    expect(seen()).toEqual(Array(4).fill('leaving'));
    const removal = { kind: 'delete', key: 'instances/sales-1' } as const;
    await fleet.store.transact({ expected: [], writes: [removal] });
    await fleet.pass(SETTLE_MILLISECONDS);
    expect(seen()).toEqual(Array(4).fill(undefined));
    await list('live', 5n);
    expect(seen()).toEqual(Array(4).fill('leaving'));
    await list('live', 6n);
    expect(seen()).toEqual(Array(4).fill('live'));
  });

  it('is not pulled again because other keys changed, but is when an entry was missed', async () => {
    // Guards against every daemon pulling the whole list each minute although no runner was added or removed. The
    // configuration changes, and a watcher's check then reads the list at a newer store revision. It goes wrong
    // if the store revision of a read is used as the list's revision. The removal covers the opposite case: a
    // watcher that missed it has to raise the list's revision, although no remaining entry has a newer one.
    const fleet = new FollowingFleet({
      places: fleetPlaces(1, 2, 4),
      timing: SHORT_CHECK_INTERVALS,
    });
    const records = ['sales-1', 'sales-2'].map((runnerId) => runnerRecord({ runnerId }));
    await fleet.store.transact({ expected: [], writes: records.map(instanceWrite) });
    await fleet.pass(SETTLE_MILLISECONDS);
    const pulled = (): number =>
      [...fleet.daemons.values()]
        .flatMap(({ steps }) => steps.flatMap(({ actions }) => actions))
        .filter((action) => action.kind === 'pull' && action.document === 'runners').length;
    const before = pulled();
    await commitPolicyChange(fleet, 0, 'one');
    await fleet.pass(30 * SECOND);
    expect(pulled()).toEqual(before);
    fleet.store.faults.set({ muteWatches: true });
    const removal = { kind: 'delete', key: 'instances/sales-2' } as const;
    await fleet.store.transact({ expected: [], writes: [removal] });
    await fleet.pass(30 * SECOND);
    const left = [...fleet.daemons.values()].map(
      ({ decisions }) => decisions.runners.list().runners.length,
    );
    expect(left).toEqual(Array(8).fill(1));
  });

  it('leaves out an unreadable entry and keeps the others', async () => {
    const store = new MemoryPlatformStore();
    const good = instanceWrite(runnerRecord({ runnerId: 'sales-1' }));
    const value = new TextEncoder().encode('{"state":');
    const bad = { kind: 'put', key: 'instances/sales-2', value } as const;
    await store.transact({ expected: [], writes: [good, bad] });
    const fleet = new FollowingFleet({ places: fleetPlaces(1, 1, 1), store });
    await fleet.pass(SETTLE_MILLISECONDS);
    const { runners } = fleet.daemon(0).decisions.runners.list();
    expect(runners.map(({ runnerId }) => runnerId)).toEqual(['sales-1']);
  });
});
