/**
 * Passes on what another daemon announces in its messages: the revision of the store and the version of the configuration
 * that it has.
 */
import type { DaemonNews } from '../generated/baobabdock/v1/news_pb.js';
import type { PeerCatchUp } from '../sync/PeerCatchUp.js';
import type { StoreFollower } from '../sync/StoreFollower.js';
import type { StoreRelay } from './StoreRelay.js';

/** The parts of a daemon that act on announcements. */
export interface AnnouncementParts {
  follower: Pick<StoreFollower, 'handleToldVersion' | 'handleAnnouncedRevision'>;
  catchUp: Pick<PeerCatchUp, 'handleAnnouncement'>;
  relay: Pick<StoreRelay, 'handleVersion' | 'isFresh'>;
  /** Whether some daemons read the store for all. */
  hasReaders: boolean;
  /** Address of the sender for requests of other daemons; `undefined` if it is not listed. */
  address: string | undefined;
}

/**
 * @param news - message of another daemon.
 * @param parts - the parts that act on it.
 */
export function handleAnnouncement(
  { daemon, ...news }: Pick<DaemonNews, 'daemon' | 'revision' | 'configurationVersion'>,
  { follower, catchUp, relay, hasReaders, address }: AnnouncementParts,
): void {
  const version = Number(news.configurationVersion);
  follower.handleToldVersion(version);
  if (hasReaders) relay.handleVersion(daemon, version);
  // Store readers broadcast the changes themselves, so that a bare revision needs no read.
  if (hasReaders && relay.isFresh) return;
  const revision = Number(news.revision);
  follower.handleAnnouncedRevision(revision, daemon);
  if (address !== undefined) catchUp.handleAnnouncement(revision, address);
}
