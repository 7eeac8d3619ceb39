/**
 * Creates the part of a daemon that follows runners which may have started again.
 */
import type { FleetCoordination } from '../coordination/FleetCoordination.js';
import { fetchRunnerLife } from '../forwarding/fetchRunnerLife.js';
import type { RunnerProtocol } from '../forwarding/RunnerProtocol.js';
import { RestartDoubts } from '../streamVersions/RestartDoubts.js';
import type { RestartDoubtsOptions } from '../streamVersions/RestartDoubts.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { StoreFollower } from '../sync/StoreFollower.js';

/** Options of {@link createRestartDoubts}. */
export interface CreateRestartDoubtsOptions extends Pick<
  RestartDoubtsOptions,
  'clock' | 'log' | 'registry'
> {
  protocol: RunnerProtocol;
  knowledge: FleetKnowledge;
  coordination: () => Pick<FleetCoordination, 'relay'>;
  follower: () => Pick<StoreFollower, 'listConfirmedAt'>;
}

/**
 * @param options - the list of runners, and what confirms it: this daemon's reads and other daemons' broadcasts.
 * @returns The doubts; there are none yet.
 */
export function createRestartDoubts({
  protocol,
  knowledge: { runners },
  coordination,
  follower,
  ...shared
}: CreateRestartDoubtsOptions): RestartDoubts {
  return new RestartDoubts({
    ...shared,
    runners,
    listConfirmedAt: () =>
      Math.max(coordination().relay.listConfirmedAt, follower().listConfirmedAt),
    fetchLife: (runner, done) => fetchRunnerLife({ runner, protocol }, done),
  });
}
