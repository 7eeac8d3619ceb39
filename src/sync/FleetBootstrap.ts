/**
 * Loads the initial state of a daemon in a large fleet: the daemons, the secret and the configuration from the first
 * page of the store, and the long list of runners from a coordinator, a daemon that has read the whole store. All daemons
 * derive the same coordinators from the list of daemons.
 */
import type { Log } from '../logging/Log.js';
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { Clock } from '../time/Clock.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { DaemonEntry, StorePage } from './FleetStore.js';
import type { KnowledgeSnapshot } from './knowledgeTypes.js';
import { isListingFact } from './listings.js';
import { epochOf, revisionFields } from './orderedRevision.js';
import { syncLogEvents } from './syncFeature.js';

/** Options of a {@link FleetBootstrap}. */
export interface FleetBootstrapOptions {
  /** This daemon's name. */
  daemon: string;
  knowledge: FleetKnowledge;
  clock: Clock;
  log: Log;
  /** Selects the coordinators among the listed daemons: they read the whole store at their start; none in a small fleet. */
  coordinatorsOf: (daemons: readonly DaemonEntry[]) => readonly DaemonEntry[];
  /** Requests the listing of another daemon. */
  fetchListing: (peerAddress: string) => Promise<KnowledgeSnapshot>;
  /** Called once the listing of another daemon has been applied. */
  onLearnt: () => void;
}

/** Daemons that are asked at most. If two of them fail, the cause lies elsewhere, and the store has the list too. */
const MAXIMUM_ASKED = 2;

/** Oldest listing that is accepted, measured from the last known answer of the store, in ms. */
const MAXIMUM_LISTING_AGE_MILLISECONDS = 3_000;

/**
 * Whether the first page holds everything except the runners. The configuration comes after the daemons and the secret;
 * if there are more daemons than fit on a page, it is on a later one.
 */
function holdsAllButRunners({ facts }: StorePage): boolean {
  return facts.some(({ kind }) => kind === 'configuration');
}

/** Fetches the listing of runners and daemons from a coordinator. Used once, at the start. */
export class FleetBootstrap {
  private readonly options: FleetBootstrapOptions;

  /**
   * @param options - the daemons to ask, and the knowledge to fill.
   */
  constructor(options: FleetBootstrapOptions) {
    this.options = options;
  }

  /**
   * Applies the first page and the listing of another daemon.
   *
   * @param first - the first page of the store.
   * @returns Whether a listing was applied; if not, the rest has to be read from the store.
   */
  async learn(first: StorePage): Promise<boolean> {
    const { knowledge, log } = this.options;
    if (knowledge.revision > 0 || !holdsAllButRunners(first)) return false;
    for (const { peerAddress: address } of this.orderedCoordinators(first)) {
      try {
        this.applyListing(first, await this.fetchFresh(address, first));
        log.write(syncLogEvents.learntFromPeer, { address, ...revisionFields(knowledge.revision) });
        return true;
      } catch (error) {
        log.write(syncLogEvents.peerFailed, { address, error: (error as Error).message });
      }
    }
    return false;
  }

  /** Rendezvous hashing spreads the starting daemons over the coordinators: each one asks them in its own order. */
  private orderedCoordinators({ facts }: StorePage): readonly DaemonEntry[] {
    const { daemon, coordinatorsOf } = this.options;
    const daemons = facts.flatMap((fact) => (fact.kind === 'daemon' ? [fact.daemon] : []));
    const coordinators = coordinatorsOf(daemons);
    if (coordinators.some(({ name }) => name === daemon)) return [];
    const named = coordinators.map((coordinator) => ({ id: coordinator.name, coordinator }));
    const ordered = rendezvousOrder(daemon, named).map(({ coordinator }) => coordinator);
    return ordered.slice(0, MAXIMUM_ASKED);
  }

  private async fetchFresh(address: string, first: StorePage): Promise<KnowledgeSnapshot> {
    const snapshot = await this.options.fetchListing(address);
    const { revision, storeSilentMilliseconds = 0 } = snapshot;
    if (!(revision > 0))
      throw new Error(`the listing has revision ${revision}, expected one above 0`);
    if (epochOf(revision) < epochOf(first.revision))
      throw new Error('the listing is from before a restore of the store');
    if (storeSilentMilliseconds > MAXIMUM_LISTING_AGE_MILLISECONDS)
      throw new Error(
        `the listing is ${storeSilentMilliseconds} ms old, expected at most ${MAXIMUM_LISTING_AGE_MILLISECONDS} ms`,
      );
    return snapshot;
  }

  /**
   * The listing may be older than the page. Facts that both hold are taken from the listing only, so that they all
   * belong to one revision.
   */
  private applyListing({ facts }: StorePage, snapshot: KnowledgeSnapshot): void {
    const { knowledge, clock, onLearnt } = this.options;
    const now = clock.monotonicMilliseconds();
    const others = facts.filter((fact) => !isListingFact(fact));
    knowledge.applyChanges({ revision: 0, facts: others }, now);
    knowledge.applyPeerSnapshot(snapshot, now);
    onLearnt();
  }
}
