/**
 * Creates the parts by which a daemon learns from other daemons what the store does not show it.
 */
import type { RequestListener } from 'node:http';

import type { FleetCoordination } from '../coordination/FleetCoordination.js';
import { handleAnnouncement } from '../coordination/handleAnnouncement.js';
import type { DaemonNews } from '../generated/baobabdock/v1/news_pb.js';
import type { Log } from '../logging/Log.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import { PeerCatchUp } from '../sync/PeerCatchUp.js';
import { PeerExchange } from '../sync/PeerExchange.js';
import type { StoreFollower } from '../sync/StoreFollower.js';
import type { Clock } from '../time/Clock.js';
import type { RouterSettings } from './routerFeature.js';

/** Options of {@link createPeerParts}. */
export interface PeerPartsOptions {
  settings: RouterSettings;
  knowledge: FleetKnowledge;
  clock: Clock;
  log: Log;
  coordination: FleetCoordination;
  follower: StoreFollower;
  /** Handlers of further paths of the server for other daemons, by path. */
  handlers: ReadonlyMap<string, RequestListener>;
}

/** The parts, not started yet. */
export interface PeerParts {
  readonly peers: PeerExchange;
  readonly catchUp: PeerCatchUp;
  /** Handles the revision and the version that another daemon has announced. */
  readonly handleAnnouncement: (news: DaemonNews) => void;
}

/**
 * @param options - the parts of the daemon that they depend on.
 * @returns The server and client of the exchange, and the part that decides when to ask whom.
 */
export function createPeerParts({
  settings: { addresses, seeds },
  coordination,
  follower,
  handlers,
  ...parts
}: PeerPartsOptions): PeerParts {
  const { knowledge, clock, log } = parts;
  const peers = new PeerExchange({
    knowledge,
    clock,
    ownAddress: addresses.peers,
    seeds,
    aliveDaemons: () => coordination.otherAvailableDaemons(),
    handlers,
    readMilliseconds: () => follower.readMilliseconds,
  });
  const catchUp = new PeerCatchUp({
    knowledge,
    clock,
    log,
    addresses: () => peers.addresses(),
    fetchKnowledge: (address, onResponse) => peers.fetchKnowledge(address, onResponse),
    isStoreUnresponsive: () => follower.isStoreUnresponsive,
  });
  const handleNews = (news: DaemonNews) => {
    const hasReaders = coordination.coordinators.length > 0;
    const address = knowledge.daemons.get(news.daemon)?.peerAddress;
    const { relay } = coordination;
    handleAnnouncement(news, { follower, catchUp, relay, hasReaders, address });
  };
  return { peers, catchUp, handleAnnouncement: handleNews };
}
