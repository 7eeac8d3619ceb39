/**
 * Orders the daemons that this one may ask for a newer state of the fleet.
 *
 * Most of them may know nothing newer: the store refuses them too, or they are dead. Asked in a fixed turn, each of them
 * delays a change, and the delay grows with the fleet.
 */

/** Why a daemon is asked, the best reason first. */
const RANKS = ['announced', 'current', 'unknown', 'outdated', 'unanswered'] as const;

/**
 * `announced`: it has announced a newer revision. `current`: the store answered it shortly before it was last asked.
 * `unknown`: it was not asked lately. `outdated`: the store did not answer it either. `unanswered`: it did not answer the
 * last request.
 */
export type PeerRank = (typeof RANKS)[number];

/** A daemon to ask. */
export interface RankedPeer {
  /** Its address for requests of other daemons. */
  readonly address: string;
  readonly rank: PeerRank;
}

/** What a daemon said when it was asked. */
export interface PeerReport {
  /** The revision that it knows. */
  readonly revision: number;
  /** Time since the store last answered it, in ms; `undefined` if it does not say. */
  readonly readMilliseconds?: number | undefined;
}

/** Longest time since the store answered a daemon, in ms, for that daemon to count as one that follows the store. */
export const CURRENT_MILLISECONDS = 1_000;

/** How long what a daemon said counts, in ms: a daemon that was refused then may be served now. */
const REPORT_MILLISECONDS = 3_000;

/** Options of a {@link PeerRanking}. */
export interface PeerRankingOptions {
  /** Returns random numbers from 0 up to 1. */
  random?: () => number;
}

/** Remembers what other daemons announced and answered, by their addresses. */
export class PeerRanking {
  private readonly random: () => number;

  private readonly announcements = new Map<string, { readonly revision: number; at: number }>();

  private readonly reports = new Map<string, { readonly isCurrent: boolean; at: number }>();

  private readonly unanswered = new Set<string>();

  /**
   * @param options - the random numbers, which spread the daemons that ask over equally good ones.
   */
  constructor({ random = Math.random }: PeerRankingOptions = {}) {
    this.random = random;
  }

  /**
   * Records that a daemon has announced a revision.
   *
   * @param address - the daemon's address.
   * @param revision - the ordered revision.
   * @param now - monotonic milliseconds.
   */
  recordAnnouncement(address: string, revision: number, now: number): void {
    this.unanswered.delete(address);
    if (revision <= (this.announcements.get(address)?.revision ?? 0)) return;
    this.announcements.set(address, { revision, at: now });
  }

  /**
   * Records what a daemon answered.
   *
   * @param address - the daemon's address.
   * @param report - its answer.
   * @param now - monotonic milliseconds.
   * @returns Whether the daemon follows the store.
   */
  recordReport(address: string, report: PeerReport, now: number): boolean {
    const { revision, readMilliseconds = Number.POSITIVE_INFINITY } = report;
    const isCurrent = readMilliseconds <= CURRENT_MILLISECONDS;
    this.unanswered.delete(address);
    this.reports.set(address, { isCurrent, at: now });
    // It has started again since it announced the revision.
    if (revision < (this.announcements.get(address)?.revision ?? 0))
      this.announcements.delete(address);
    return isCurrent;
  }

  /** @param address - address of a daemon that has not answered a request. */
  recordUnanswered(address: string): void {
    this.unanswered.add(address);
  }

  /**
   * @param addresses - the daemons that may be asked.
   * @param knownRevision - the ordered revision that is known here.
   * @param now - monotonic milliseconds.
   * @returns The daemons, the best first.
   */
  order(addresses: readonly string[], knownRevision: number, now: number): RankedPeer[] {
    this.forget(new Set(addresses));
    const ranked = addresses.map((address) => ({
      address,
      rank: this.rankOf(address, knownRevision, now),
      announcedAt: this.announcements.get(address)?.at ?? 0,
      draw: this.random(),
    }));
    ranked.sort(
      (a, b) =>
        RANKS.indexOf(a.rank) - RANKS.indexOf(b.rank) ||
        (a.rank === 'announced' ? b.announcedAt - a.announcedAt : 0) ||
        a.draw - b.draw,
    );
    return ranked.map(({ address, rank }) => ({ address, rank }));
  }

  private rankOf(address: string, knownRevision: number, now: number): PeerRank {
    if (this.unanswered.has(address)) return 'unanswered';
    const { revision: announced = 0 } = this.announcements.get(address) ?? {};
    if (announced > knownRevision) return 'announced';
    const report = this.reports.get(address);
    if (!report || now - report.at > REPORT_MILLISECONDS) return 'unknown';
    return report.isCurrent ? 'current' : 'outdated';
  }

  private forget(kept: ReadonlySet<string>): void {
    for (const known of [this.announcements, this.reports, this.unanswered])
      for (const address of [...known.keys()]) if (!kept.has(address)) known.delete(address);
  }
}
