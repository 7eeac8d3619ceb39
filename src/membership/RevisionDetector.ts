/**
 * Detects that a peer has a newer configuration or runner list in force.
 */
import type { Gossip, LocalNews, MemberRecord, MembershipAction } from './membershipTypes.js';

const DOCUMENTS = ['configuration', 'runners'] as const;

type WatchedDocument = (typeof DOCUMENTS)[number];

const REVISION_FIELDS = {
  configuration: 'configurationRevision',
  runners: 'runnersRevision',
} as const;

/** A revision that is still missing is reported again after this, in ms, because the pull may have failed. */
const ANNOUNCE_AGAIN_AFTER_MILLISECONDS = 1_000;

interface Announcement {
  readonly revision: number;
  readonly at: number;
}

/**
 * Reports each newer revision with a daemon that has it, and repeats the report while the revision is missing.
 */
export class RevisionDetector {
  private readonly announced = new Map<WatchedDocument, Announcement>();

  /**
   * Compares the revisions of a message with this daemon's own.
   *
   * @param now - monotonic milliseconds.
   * @param sender - the daemon that sent the message.
   * @param gossip - the message.
   * @param local - this daemon's own news.
   * @returns A `newer_revision` action for each document to pull.
   */
  compare(now: number, sender: MemberRecord, gossip: Gossip, local: LocalNews): MembershipAction[] {
    return DOCUMENTS.flatMap((document) => {
      const revision = gossip[REVISION_FIELDS[document]];
      if (revision <= local[REVISION_FIELDS[document]]) return [];
      const before = this.announced.get(document);
      const isFresh = before && now - before.at < ANNOUNCE_AGAIN_AFTER_MILLISECONDS;
      if (isFresh && revision <= before.revision) return [];
      this.announced.set(document, { revision, at: now });
      const { daemonId, peerAddress } = sender;
      return [{ kind: 'newer_revision', document, revision, daemonId, peerAddress } as const];
    });
  }
}
