/**
 * Gets from other daemons what the store does not show this one. It asks at once when another daemon announces a change,
 * and at intervals while the store does not answer.
 */
import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import { applyPeerAnswer } from './applyPeerAnswer.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { KnowledgeAnswer } from './knowledgeTypes.js';
import { revisionFields } from './orderedRevision.js';
import { PeerRanking } from './PeerRanking.js';
import type { RankedPeer } from './PeerRanking.js';
import { ANNOUNCEMENT_GRACE_MILLISECONDS } from './StoreFollower.js';
import { startHedged } from './startHedged.js';
import { syncLogEvents } from './syncFeature.js';

/** Requests another daemon's state; `onResponse` is called as soon as the response begins. */
export type KnowledgeRequest = (
  address: string,
  onResponse: () => void,
) => Promise<KnowledgeAnswer>;

/** Options of a {@link PeerCatchUp}. */
export interface PeerCatchUpOptions {
  knowledge: FleetKnowledge;
  clock: Clock;
  log: Log;
  /** Returns the addresses of the daemons that may be asked. */
  addresses: () => readonly string[];
  fetchKnowledge: KnowledgeRequest;
  /** Whether the store does not answer this daemon, or does not show what others have announced. */
  isStoreUnresponsive: () => boolean;
  /** Interval between requests while the store does not answer, in ms. */
  pollMilliseconds?: number;
  /** Schedules a call after a delay in ms; replaced by tests. */
  later?: (call: () => void, milliseconds: number) => unknown;
  /** Returns random numbers from 0 up to 1; replaced by tests. */
  random?: () => number;
}

/** Default interval between requests while the store does not answer, in ms. */
const POLL_MILLISECONDS = 400;

/** Time without a response after which the next daemon is asked as well, in ms; a daemon responds within a few ms. */
const HEDGE_MILLISECONDS = 150;

/** Most daemons that are asked in one run without having announced anything. */
const MAXIMUM_ASKED = 4;

/** What came of a request: whether it brought something newer, or came from a daemon that follows the store. */
type AskOutcome = 'newer' | 'current' | 'outdated' | 'unanswered';

/** Owns the timer and the requests. */
export class PeerCatchUp {
  private readonly options: Required<PeerCatchUpOptions>;

  private readonly ranking: PeerRanking;

  /** Whether a run is in progress. Only one runs at a time, since two would compete for bandwidth. */
  private isAsking = false;

  private isScheduled = false;

  private isStopped = false;

  /**
   * @param options - the knowledge to update, and the daemons to ask.
   */
  constructor(options: PeerCatchUpOptions) {
    this.options = {
      pollMilliseconds: POLL_MILLISECONDS,
      later: setTimeout,
      random: Math.random,
      ...options,
    };
    this.ranking = new PeerRanking({ random: this.options.random });
  }

  /** Starts the polling. */
  start(): void {
    const { later, pollMilliseconds } = this.options;
    later(() => {
      if (this.isStopped) return;
      void this.askIfNeeded();
      this.start();
    }, pollMilliseconds);
  }

  /** Stops asking. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Handles a revision that another daemon has announced: asks that daemon unless the store shows the change soon.
   *
   * @param revision - the ordered revision.
   * @param address - the daemon's address for requests of other daemons.
   */
  handleAnnouncement(revision: number, address: string): void {
    const { knowledge, clock, isStoreUnresponsive, later } = this.options;
    if (revision <= knowledge.revision) return;
    this.ranking.recordAnnouncement(address, revision, clock.monotonicMilliseconds());
    if (isStoreUnresponsive()) {
      void this.askIfNeeded();
      return;
    }
    if (this.isScheduled) return;
    this.isScheduled = true;
    later(() => {
      this.isScheduled = false;
      void this.askIfNeeded();
    }, ANNOUNCEMENT_GRACE_MILLISECONDS + 1);
  }

  private async askIfNeeded(): Promise<void> {
    if (this.isStopped || this.isAsking || !this.options.isStoreUnresponsive()) return;
    this.isAsking = true;
    try {
      await this.askInOrder();
    } finally {
      this.isAsking = false;
    }
  }

  /** Asks one daemon after the other until one follows the store or brings what was announced. */
  private async askInOrder(): Promise<void> {
    const asked = new Set<string>();
    const pending: Promise<AskOutcome>[] = [];
    let unannounced = 0;
    for (;;) {
      const next = this.nextPeer(asked);
      if (!next) break;
      if (next.rank !== 'announced') unannounced += 1;
      if (unannounced > MAXIMUM_ASKED) break;
      asked.add(next.address);
      const { outcome, settledOrSlow } = startHedged({
        send: (onResponse) => this.request(next, onResponse),
        slowMilliseconds: HEDGE_MILLISECONDS,
        later: this.options.later,
      });
      pending.push(outcome);
      if (this.isDone(await settledOrSlow)) return;
    }
    await Promise.all(pending);
  }

  private isDone(outcome: AskOutcome | 'slow'): boolean {
    if (outcome !== 'newer' && outcome !== 'current') return false;
    return this.nextPeer(new Set())?.rank !== 'announced';
  }

  private nextPeer(asked: ReadonlySet<string>): RankedPeer | undefined {
    const { addresses, knowledge, clock } = this.options;
    const now = clock.monotonicMilliseconds();
    const order = this.ranking.order(addresses(), knowledge.revision, now);
    return order.find(({ address }) => !asked.has(address));
  }

  private async request(
    { address, rank }: RankedPeer,
    onResponse: () => void,
  ): Promise<AskOutcome> {
    const { knowledge, clock, log, fetchKnowledge } = this.options;
    try {
      const answer = await fetchKnowledge(address, onResponse);
      const now = clock.monotonicMilliseconds();
      const isCurrent = this.ranking.recordReport(address, answer, now);
      const isNewer = applyPeerAnswer(knowledge, answer, now);
      const event = isNewer ? syncLogEvents.learntFromPeer : syncLogEvents.peerNotNewer;
      log.write(event, { address, rank, isCurrent, ...revisionFields(answer.revision) });
      if (isNewer) return 'newer';
      return isCurrent ? 'current' : 'outdated';
    } catch (error) {
      this.ranking.recordUnanswered(address);
      const { message } = error as Error;
      log.write(syncLogEvents.peerFailed, { address, rank, error: message });
      return 'unanswered';
    }
  }
}
