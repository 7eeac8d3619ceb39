/**
 * Tracks which revision of one document each peer has, chooses peers to pull from, and decides whether this
 * daemon is a watcher.
 */
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { DocumentName, MemberRevisions } from './configurationTypes.js';

/** A daemon's id and location. */
export interface DaemonLocation {
  readonly daemonId: string;
  readonly region: string;
  readonly dataCentre: string;
}

/** Options of {@link PeerRevisions}. */
export interface PeerRevisionsOptions {
  document: DocumentName;
  self: DaemonLocation;
  /** Seeded random source: at least 0, below 1. */
  random: () => number;
}

/**
 * Merges a new record of a member into the previous one. Gossip can deliver an older record after a newer one,
 * so within one incarnation the higher revisions are kept.
 */
function mergeRecords(
  before: MemberRevisions | undefined,
  after: MemberRevisions,
): MemberRevisions {
  if (!before || before.incarnation < after.incarnation) return after;
  const ahead = after.configurationRevision >= before.configurationRevision ? after : before;
  return {
    ...after,
    configurationRevision: ahead.configurationRevision,
    configurationDigest: ahead.configurationDigest,
    runnersRevision: Math.max(before.runnersRevision, after.runnersRevision),
  };
}

/** Latest known revisions of all other daemons, and the peers that are avoided after a failed pull. */
export class PeerRevisions {
  private readonly document: DocumentName;

  private readonly self: DaemonLocation;

  private readonly random: () => number;

  private members = new Map<string, MemberRevisions>();

  /** Monotonic milliseconds until which a peer is not pulled from, by daemon id. */
  private readonly avoidedUntil = new Map<string, number>();

  private isSelfUnavailable = false;

  /**
   * @param options - the document, this daemon's location, the random source.
   */
  constructor({ document, self, random }: PeerRevisionsOptions) {
    this.document = document;
    this.self = self;
    this.random = random;
  }

  /**
   * Replaces the membership list. Higher revisions that are already known of a member are kept.
   *
   * @param members - the whole membership list.
   */
  replaceMembers(members: readonly MemberRevisions[]): void {
    const before = this.members;
    this.members = new Map();
    this.isSelfUnavailable = false;
    for (const member of members) {
      if (member.daemonId === this.self.daemonId) this.isSelfUnavailable = !member.alive;
      else this.members.set(member.daemonId, mergeRecords(before.get(member.daemonId), member));
    }
    [...this.avoidedUntil.keys()]
      .filter((daemonId) => !this.members.has(daemonId))
      .forEach((daemonId) => this.avoidedUntil.delete(daemonId));
  }

  /**
   * Updates one member.
   *
   * @param member - a record that arrived by gossip.
   */
  updateMember(member: MemberRevisions): void {
    if (member.daemonId === this.self.daemonId) return;
    const before = this.members.get(member.daemonId);
    this.members.set(member.daemonId, mergeRecords(before, member));
  }

  /** @returns Whether any other daemon is known to be alive. */
  get hasLivePeers(): boolean {
    return [...this.members.values()].some((member) => member.alive);
  }

  /** @returns The highest known revision of all listed daemons, alive or not; 0 if there is none. */
  highestKnownRevision(): number {
    return Math.max(0, ...[...this.members.values()].map((member) => this.revisionOf(member)));
  }

  /** @returns The highest revision of all live peers; 0 if there is none. */
  highestLiveRevision(): number {
    return Math.max(0, ...this.livePeers().map((member) => this.revisionOf(member)));
  }

  /**
   * Decides whether this daemon is a watcher, by rendezvous hashing instead of an election: daemons with the
   * same membership list choose the same watchers. While membership lists differ, for some seconds, there are
   * a few watchers more or fewer.
   *
   * @param count - number of watchers in each data centre.
   * @returns Whether this daemon is one of its data centre's watchers.
   */
  isWatcher(count: number): boolean {
    if (this.isSelfUnavailable) return false;
    const { daemonId, region, dataCentre } = this.self;
    const neighbours = this.livePeers()
      .filter((member) => member.region === region && member.dataCentre === dataCentre)
      .map((member) => ({ id: member.daemonId }));
    const order = rendezvousOrder(`watch/${this.document}/${dataCentre}`, [
      ...neighbours,
      { id: daemonId },
    ]);
    return order.slice(0, count).some((member) => member.id === daemonId);
  }

  /**
   * Picks a random peer among the nearest ones that have the wanted revision: same data centre, then same
   * region, then any. If all daemons pulled from the same peer, its traffic would grow with the fleet.
   *
   * @param now - monotonic milliseconds.
   * @param wanted - lowest useful revision.
   * @returns A peer, or `undefined` if every peer with that revision is avoided or there is none.
   */
  choosePeer(now: number, wanted: number): MemberRevisions | undefined {
    const useful = this.livePeers().filter(
      (member) =>
        this.revisionOf(member) >= wanted && (this.avoidedUntil.get(member.daemonId) ?? 0) <= now,
    );
    const { region, dataCentre } = this.self;
    const inRegion = useful.filter((member) => member.region === region);
    const inDataCentre = inRegion.filter((member) => member.dataCentre === dataCentre);
    const nearest = [inDataCentre, inRegion, useful].find((group) => group.length > 0) ?? [];
    return nearest[Math.floor(this.random() * nearest.length)];
  }

  /**
   * Excludes a peer from pulls for a while.
   *
   * @param daemonId - a peer whose pull failed or returned nothing new.
   * @param until - end of the exclusion, in monotonic milliseconds.
   */
  avoidPeer(daemonId: string, until: number): void {
    this.avoidedUntil.set(daemonId, until);
  }

  /**
   * Lowers a peer's known revision to the one that the peer returned in a pull; gossip may raise it again.
   *
   * @param daemonId - the peer.
   * @param revision - its revision of this document.
   */
  lowerRevision(daemonId: string, revision: number): void {
    const member = this.members.get(daemonId);
    if (member && this.revisionOf(member) > revision) this.setRevision(member, revision);
  }

  /**
   * Raises a peer's known revision to one that the peer itself reported.
   *
   * @param daemonId - the peer.
   * @param revision - its revision of this document.
   */
  raiseRevision(daemonId: string, revision: number): void {
    const member = this.members.get(daemonId);
    if (member && this.revisionOf(member) < revision) this.setRevision(member, revision);
  }

  private livePeers(): MemberRevisions[] {
    return [...this.members.values()].filter((member) => member.alive);
  }

  private setRevision(member: MemberRevisions, revision: number): void {
    const reported =
      this.document === 'configuration'
        ? { configurationRevision: revision, configurationDigest: '' }
        : { runnersRevision: revision };
    this.members.set(member.daemonId, { ...member, ...reported });
  }

  private revisionOf(member: MemberRevisions): number {
    return this.document === 'configuration'
      ? member.configurationRevision
      : member.runnersRevision;
  }
}
