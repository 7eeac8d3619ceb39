/**
 * Applies a received gossip message: member records, news, data centre summaries and revisions.
 */
import type { Dissemination } from './Dissemination.js';
import type { MembershipTuning } from './membershipOptions.js';
import type { Gossip, LocalNews, MemberRecord, MembershipAction } from './membershipTypes.js';
import type { MemberTracker } from './MemberTracker.js';
import type { MemberTable } from './MemberTable.js';
import type { NewsCache } from './NewsCache.js';
import { RevisionDetector } from './RevisionDetector.js';

/** Options of a {@link GossipIntake}. */
export interface GossipIntakeOptions {
  table: MemberTable;
  newsCache: NewsCache;
  tracker: MemberTracker;
  dissemination: Dissemination;
  tuning: MembershipTuning;
}

/** The result of a message; `newer` are records of this daemon that the sender has in an older version. */
export interface GossipResult {
  readonly actions: MembershipAction[];
  readonly newer: readonly MemberRecord[];
}

/** Applies messages. They may arrive in any order and more than once. */
export class GossipIntake {
  private readonly table: MemberTable;

  private readonly newsCache: NewsCache;

  private readonly tracker: MemberTracker;

  private readonly dissemination: Dissemination;

  private readonly tuning: MembershipTuning;

  private readonly revisions = new RevisionDetector();

  /**
   * @param options - the tables that are updated, and the size limits.
   */
  constructor({ table, newsCache, tracker, dissemination, tuning }: GossipIntakeOptions) {
    this.table = table;
    this.newsCache = newsCache;
    this.tracker = tracker;
    this.dissemination = dissemination;
    this.tuning = tuning;
  }

  /**
   * Applies one message.
   *
   * @param now - monotonic milliseconds.
   * @param from - the sender's name, as authenticated by the connection.
   * @param gossip - the message.
   * @param local - this daemon's own news.
   * @returns Actions, and records that the sender should get.
   */
  apply(now: number, from: string, gossip: Gossip, local: LocalNews): GossipResult {
    const actions: MembershipAction[] = [];
    const newer: MemberRecord[] = [];
    for (const received of gossip.members) {
      if (received.daemonId === this.table.self.daemonId) {
        actions.push(...this.handleOwnRecord(received, newer, local));
        continue;
      }
      const reason = received.daemonId === from ? 'answered' : 'told_by_peer';
      const merged = this.tracker.merge(now, received, reason);
      actions.push(...merged.actions);
      if (merged.newer) newer.push(merged.newer);
    }
    actions.push(...this.applyNews(now, gossip));
    const sender = this.table.get(from);
    if (sender) {
      actions.push(...this.applyRevisions(sender, gossip));
      actions.push(...this.revisions.compare(now, sender, gossip, local));
    }
    return { actions, newer: newer.slice(0, this.tuning.recordsPerMessage) };
  }

  private applyRevisions(member: MemberRecord, gossip: Gossip): MembershipAction[] {
    if (member.dataCentre === this.table.self.dataCentre) return [];
    if (!this.newsCache.storeRevisions(member.daemonId, gossip)) return [];
    return [{ kind: 'member_changed', member, news: this.newsCache.newsOf(member.daemonId) }];
  }

  private applyNews(now: number, { news, summaries }: Gossip): MembershipAction[] {
    const actions: MembershipAction[] = [];
    const { self } = this.table;
    for (const entry of news) {
      const member = this.table.get(entry.daemonId);
      const isOther = entry.daemonId !== self.daemonId;
      if (!isOther || member?.incarnation !== entry.incarnation) continue;
      if (!this.newsCache.storeNews(now, entry)) continue;
      actions.push({ kind: 'member_changed', member, news: this.newsCache.newsOf(entry.daemonId) });
    }
    for (const summary of summaries) {
      if (summary.dataCentre === self.dataCentre) continue;
      if (this.newsCache.storeSummary(now, summary))
        actions.push({ kind: 'summary_changed', summary });
    }
    return actions;
  }

  /**
   * Refutes a record of this daemon that has another state or a newer incarnation by raising its own version.
   * Without that the fleet would treat a running daemon as dead.
   */
  private handleOwnRecord(
    received: MemberRecord,
    newer: MemberRecord[],
    local: LocalNews,
  ): MembershipAction[] {
    const { self } = this.table;
    if (received.incarnation < self.incarnation) {
      newer.push(self);
      return [];
    }
    const isSame = received.incarnation === self.incarnation;
    if (isSame && received.version < self.version) {
      if (received.state !== self.state) newer.push(self);
      return [];
    }
    if (isSame && received.state === self.state) return [];
    const incarnation = isSame ? self.incarnation : received.incarnation + 1;
    const version = Math.max(received.version, self.version) + 1;
    const member = { ...self, incarnation, version };
    this.table.set(member);
    this.dissemination.add(self.daemonId);
    newer.push(member);
    return [
      ...(isSame ? [] : [{ kind: 'incarnation_raised', incarnation } as const]),
      { kind: 'member_changed', member, news: local },
      { kind: 'refuted', claim: received.state, version },
    ];
  }
}
