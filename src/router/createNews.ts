/**
 * Creates the task that broadcasts the state of the daemon.
 */
import type { CapacityParts } from '../capacity/CapacityParts.js';
import type { FleetCoordination } from '../coordination/FleetCoordination.js';
import type { DaemonNews } from '../generated/baobabdock/v1/news_pb.js';
import { NewsTask } from '../news/NewsTask.js';
import type { NewsTaskOptions } from '../news/NewsTask.js';
import type { PeerLoads } from '../news/PeerLoads.js';
import { configurationVersionOf } from '../sync/configurationVersionOf.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { DaemonEntry } from '../sync/FleetStore.js';

/** Options of {@link createNews}. */
export interface CreateNewsOptions extends Pick<
  NewsTaskOptions,
  'clock' | 'log' | 'registry' | 'warmPlaces' | 'isLeaving' | 'hasNoPath'
> {
  daemon: DaemonEntry;
  knowledge: FleetKnowledge;
  /** What other daemons have reported. */
  foreignLoads: PeerLoads;
  capacity: CapacityParts;
  /** Returns the coordination, which is created after the socket that the task owns. */
  coordination: () => FleetCoordination;
  /** Called with each new message of another daemon, once coordination and capacity know it. */
  onNews: (news: DaemonNews) => void;
}

/**
 * @param options - the state to broadcast, and its recipients.
 * @returns The task, which does not listen yet.
 */
export function createNews({
  daemon,
  knowledge,
  foreignLoads,
  capacity,
  coordination,
  onNews,
  ...parts
}: CreateNewsOptions): NewsTask {
  return new NewsTask({
    ...parts,
    daemon: daemon.name,
    runners: knowledge.runners,
    loads: foreignLoads,
    changedAtRevision: () => knowledge.changedAtRevision,
    configurationVersion: () => configurationVersionOf(knowledge),
    announcementRecipients: () => coordination().announcementRecipients(),
    others: () => coordination().reportRecipients(),
    daemons: () => knowledge.daemons.size,
    secret: () => knowledge.secret,
    brittle: () => coordination().brittleServices(),
    countedGrants: () => coordination().selector.countedGrants(),
    speedReports: capacity.reports,
    onNews: (news) => {
      capacity.handleNews(news);
      coordination().handleNews(news);
      onNews(news);
    },
  });
}
