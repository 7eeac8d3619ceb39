/**
 * Creates the part of a daemon that knows which software version began each stream.
 */
import type { FleetCoordination } from '../coordination/FleetCoordination.js';
import { fetchCachedPrompts } from '../forwarding/fetchCachedPrompts.js';
import type { RunnerProtocol } from '../forwarding/RunnerProtocol.js';
import { StreamVersionTask } from '../streamVersions/StreamVersionTask.js';
import type { StreamVersionTaskOptions } from '../streamVersions/streamVersionTaskTypes.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { StoreFollower } from '../sync/StoreFollower.js';

/** Longest time that a stream may take before the first configuration is known, in ms. */
const DEFAULT_LONGEST_MILLISECONDS = 30_000;

/** Options of {@link createStreamVersions}. */
export interface CreateStreamVersionsOptions extends Pick<
  StreamVersionTaskOptions,
  'daemon' | 'socket' | 'store' | 'clock' | 'log' | 'registry'
> {
  protocol: RunnerProtocol;
  knowledge: FleetKnowledge;
  coordination: FleetCoordination;
  follower: () => Pick<StoreFollower, 'isStoreUnresponsive'>;
}

function longestStreamOf({ routes }: FleetKnowledge): number {
  const timeouts = (routes?.configuration.routes ?? [])
    .filter(({ kind, resumable }) => kind === 'stream' && resumable)
    .map(({ timeoutMilliseconds }) => timeoutMilliseconds);
  return timeouts.length > 0 ? Math.max(...timeouts) : DEFAULT_LONGEST_MILLISECONDS;
}

/**
 * @param options - this daemon, the fleet state and the other daemons.
 * @returns The task, which has to be started.
 */
export function createStreamVersions({
  protocol,
  knowledge,
  coordination,
  follower,
  ...shared
}: CreateStreamVersionsOptions): StreamVersionTask {
  return new StreamVersionTask({
    ...shared,
    runners: () => knowledge.runners.list(),
    daemons: () => coordination.otherAvailableDaemons(),
    isListCurrent: () => coordination.relay.isFresh || !follower().isStoreUnresponsive,
    isFleetWhole: () =>
      coordination.otherAvailableDaemons().length === coordination.otherDaemons().length,
    followsStore: () => !coordination.relay.isFresh,
    fetchPrompts: (runner, done) => fetchCachedPrompts({ runner, protocol }, done),
    longestStreamMilliseconds: () => longestStreamOf(knowledge),
  });
}
