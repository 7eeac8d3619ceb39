/**
 * Builds gossip messages of bounded size, with the content that the receiver needs most.
 */
import type { Dissemination } from './Dissemination.js';
import type { MembershipTuning } from './membershipOptions.js';
import type { Gossip, GossipKind, LocalNews, MemberRecord } from './membershipTypes.js';
import type { MemberTable } from './MemberTable.js';
import { isPresent } from './MemberTable.js';
import type { NewsCache } from './NewsCache.js';
import type { PeerSelector } from './PeerSelector.js';

/** Options of a {@link GossipComposer}. */
export interface GossipComposerOptions {
  table: MemberTable;
  newsCache: NewsCache;
  dissemination: Dissemination;
  selector: PeerSelector;
  tuning: MembershipTuning;
}

/** What a message has to contain besides queued changes and recent news. */
export interface GossipRequest {
  readonly kind: GossipKind;
  /** The receiver's record, if it is known. */
  readonly partner: MemberRecord | undefined;
  /** Records to include in any case. */
  readonly records?: readonly MemberRecord[];
  /** This daemon's own news; the message carries its revisions. */
  readonly local: LocalNews;
}

/** Builds messages. The only state that it changes is the count of how often each change was sent. */
export class GossipComposer {
  private readonly table: MemberTable;

  private readonly newsCache: NewsCache;

  private readonly dissemination: Dissemination;

  private readonly selector: PeerSelector;

  private readonly tuning: MembershipTuning;

  /**
   * @param options - the sources of the content, and the size limits.
   */
  constructor({ table, newsCache, dissemination, selector, tuning }: GossipComposerOptions) {
    this.table = table;
    this.newsCache = newsCache;
    this.dissemination = dissemination;
    this.selector = selector;
    this.tuning = tuning;
  }

  /**
   * Builds a message.
   *
   * @param now - monotonic milliseconds.
   * @param request - the kind of message, its receiver and the records to include.
   * @returns The message.
   */
  compose(now: number, { kind, partner, records = [], local }: GossipRequest): Gossip {
    const members = new Map<string, MemberRecord>();
    // A receiver that is suspect or dead here gets its own record, because it can refute only what it knows of.
    const isSuspectOrDead = partner?.state === 'suspect' || partner?.state === 'dead';
    if (isSuspectOrDead) members.set(partner.daemonId, partner);
    for (const record of records) members.set(record.daemonId, record);
    const { recordsPerMessage } = this.tuning;
    for (const daemonId of this.dissemination.take(recordsPerMessage, this.table.size)) {
      const record = this.table.get(daemonId);
      if (record) members.set(daemonId, record);
    }
    return {
      kind,
      members: [...members.values()],
      pictureHash: this.table.picture.hash(),
      bucketHashes: kind === 'compare' ? this.table.picture.bucketHashes() : [],
      ...this.newsFor(now, partner),
      configurationRevision: local.configurationRevision,
      runnersRevision: local.runnersRevision,
    };
  }

  /** @returns The records of all present members, for a daemon that joins. */
  presentRecords(): MemberRecord[] {
    return this.table.all().filter(isPresent);
  }

  /**
   * Finds the records to send for anti-entropy.
   *
   * @param hashes - the peer's bucket hashes.
   * @param received - the records in the peer's message; equal ones are not sent back.
   * @returns This daemon's records in the buckets that differ: a random sample, if one message can't hold all.
   */
  differingRecords(hashes: readonly number[], received: readonly MemberRecord[]): MemberRecord[] {
    const buckets = this.table.picture.differingBuckets(hashes);
    const sent = new Map(received.map((record) => [record.daemonId, record]));
    const differingRecords = this.table.recordsInBuckets(buckets).filter((record) => {
      const theirs = sent.get(record.daemonId);
      return theirs?.incarnation !== record.incarnation || theirs.state !== record.state;
    });
    const limit = this.tuning.recordsPerComparison;
    if (differingRecords.length <= limit) return differingRecords;
    const names = this.selector.sample(
      differingRecords.map(({ daemonId }) => daemonId),
      limit,
    );
    return names.map((daemonId) => this.table.get(daemonId)!);
  }

  private newsFor(
    now: number,
    partner: MemberRecord | undefined,
  ): Pick<Gossip, 'news' | 'summaries'> {
    if (!partner) return { news: [], summaries: [] };
    const { newsPerMessage, summariesPerMessage } = this.tuning;
    const { daemonId, dataCentre } = this.table.self;
    const summaries = this.newsCache.youngestSummaries(
      now,
      summariesPerMessage,
      partner.dataCentre,
    );
    if (partner.dataCentre === dataCentre) {
      return { news: this.newsCache.youngestNews(now, newsPerMessage, daemonId), summaries };
    }
    const ownSummary = this.newsCache.summarize(dataCentre, this.table.dataCentreMembers());
    return { news: [], summaries: ownSummary ? [ownSummary, ...summaries] : summaries };
  }
}
