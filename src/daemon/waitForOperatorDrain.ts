/**
 * Detects that operators drain this daemon, upon which it leaves the fleet by a planned stop.
 */
import type { FleetState } from '../fleet/FleetState.js';

/**
 * Waits for a drain of this process. A drain names the daemon's incarnation at the time of the operator's call. This process
 * started with `startIncarnation` and may have raised it since to refute a suspicion. A drain of an earlier process has a
 * lower incarnation and is ignored.
 *
 * @param fleet - this daemon's view of the fleet.
 * @param startIncarnation - the incarnation with which this process started.
 * @returns A promise that resolves when a drain of this process is in force.
 */
export function waitForOperatorDrain(fleet: FleetState, startIncarnation: bigint): Promise<void> {
  const { daemonId } = fleet.self();
  const drained = () =>
    fleet
      .configuration()
      .drains.some(
        ({ kind, id, incarnation }) =>
          kind === 'daemon' && id === daemonId && incarnation >= startIncarnation,
      );
  return new Promise((resolve) => {
    const stopListening = fleet.onChange((change) => {
      if (change !== 'configuration' || !drained()) return;
      stopListening();
      resolve();
    });
  });
}
