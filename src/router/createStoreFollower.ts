/**
 * Creates the parts by which a daemon keeps up with the store.
 */
import type { FleetCoordination } from '../coordination/FleetCoordination.js';
import { coordinatorsOf } from '../coordination/daemonRoles.js';
import { FleetBootstrap } from '../sync/FleetBootstrap.js';
import type { ListingExchange } from '../sync/ListingExchange.js';
import { StoreFollower } from '../sync/StoreFollower.js';
import type { StoreFollowerOptions } from '../sync/StoreFollower.js';

/** Options of {@link createStoreFollower}. */
export interface CreateStoreFollowerOptions extends Pick<
  StoreFollowerOptions,
  'store' | 'knowledge' | 'clock' | 'log' | 'gatherMilliseconds'
> {
  /** This daemon's name. */
  daemon: string;
  coordination: FleetCoordination;
  listings: ListingExchange;
}

/**
 * @param options - the parts of the daemon that the follower depends on.
 * @returns A follower that reads the store, or leaves that to other daemons as long as they relay its changes.
 */
export function createStoreFollower({
  daemon,
  coordination,
  listings,
  ...parts
}: CreateStoreFollowerOptions): StoreFollower {
  const { knowledge, clock, log } = parts;
  const { relay, liveness } = coordination;
  const bootstrap = new FleetBootstrap({
    ...{ daemon, knowledge, clock, log },
    coordinatorsOf: (daemons) => coordinatorsOf(daemons),
    fetchListing: (address) => listings.fetchListing(address),
    onLearnt: () => relay.confirmListing(),
  });
  return new StoreFollower({
    ...parts,
    isRelayed: () => relay.isFresh,
    pauses: () => coordination.storePauses,
    isReadingForOthers: () => coordination.isReader,
    learnFromFleet: (first) => bootstrap.learn(first),
    onRead: () => relay.handleStoreRead(),
    onQuickAnswer: (calledAt) => liveness.recordStoreAnswer(calledAt),
  });
}
