/**
 * Creates the parts by which a daemon keeps up with the store.
 */
import type { FleetCoordination } from '../coordination/FleetCoordination.js';
import { coordinatorsOf } from '../coordination/daemonRoles.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import { FleetBootstrap } from '../sync/FleetBootstrap.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { ListingExchange } from '../sync/ListingExchange.js';
import { storePositionOf } from '../sync/orderedRevision.js';
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
  registry: MetricRegistry;
}

function createPositionGauges(registry: MetricRegistry, knowledge: FleetKnowledge): void {
  registry
    .gauge({
      name: 'store_epoch',
      help: 'Number of restores of the store from an older copy that this daemon has followed.',
    })
    .readFrom(() => storePositionOf(knowledge.revision).epoch);
  registry
    .gauge({
      name: 'store_revision',
      help: 'Revision of the store, within its epoch, up to which this daemon has applied changes.',
    })
    .readFrom(() => storePositionOf(knowledge.revision).revision);
}

/**
 * @param options - the parts of the daemon that the follower depends on.
 * @returns A follower that reads the store, or leaves that to other daemons as long as they relay its changes.
 */
export function createStoreFollower({
  daemon,
  coordination,
  listings,
  registry,
  ...parts
}: CreateStoreFollowerOptions): StoreFollower {
  const { knowledge, clock, log } = parts;
  createPositionGauges(registry, knowledge);
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
