/**
 * Puts together how a daemon learns what the store holds.
 */
import type { FleetCoordination } from '../coordination/FleetCoordination.js';
import { coordinatorsOf } from '../coordination/coordinatorsOf.js';
import { FleetBootstrap } from '../sync/FleetBootstrap.js';
import type { ListingExchange } from '../sync/ListingExchange.js';
import { StoreFollower } from '../sync/StoreFollower.js';
import type { StoreFollowerOptions } from '../sync/StoreFollower.js';

/** Options of {@link createFollower}. */
export interface CreateFollowerOptions extends Pick<
  StoreFollowerOptions,
  'store' | 'knowledge' | 'clock' | 'log' | 'gatherMilliseconds'
> {
  /** This daemon's name. */
  daemon: string;
  coordination: FleetCoordination;
  listings: ListingExchange;
}

/**
 * @param options - the parts of a daemon.
 * @returns What follows the store, or those that read it for this daemon.
 */
export function createFollower({
  daemon,
  coordination,
  listings,
  ...parts
}: CreateFollowerOptions): StoreFollower {
  const { knowledge, clock, log } = parts;
  const { relay, liveness } = coordination;
  const bootstrap = new FleetBootstrap({
    ...{ daemon, knowledge, clock, log },
    informantsOf: (daemons) => coordinatorsOf(daemons),
    fetchListing: (address) => listings.fetch(address),
    onLearnt: () => relay.learntList(),
  });
  return new StoreFollower({
    ...parts,
    isRelayed: () => relay.isFresh,
    pauses: () => coordination.storePauses,
    isReadingForOthers: () => coordination.isReader,
    learnFromFleet: (first) => bootstrap.learn(first),
    onRead: () => relay.readDone(),
    onQuickAnswer: (calledAt) => liveness.storeAnswered(calledAt),
  });
}
