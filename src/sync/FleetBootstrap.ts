/**
 * What a daemon of a large fleet learns at its start, and from whom: who is there from the store, and the long list of
 * runners from one of the daemons that read all of it. Those are drawn from the list of daemons, alike by all of them.
 */
import type { Log } from '../logging/Log.js';
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { Clock } from '../time/Clock.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { DaemonEntry, StorePage } from './FleetStore.js';
import type { KnowledgeSnapshot } from './knowledgeTypes.js';
import { isListing } from './listings.js';
import { syncLogEvents } from './syncFeature.js';

/** Options of a {@link FleetBootstrap}. */
export interface FleetBootstrapOptions {
  /** This daemon's name. */
  daemon: string;
  knowledge: FleetKnowledge;
  clock: Clock;
  log: Log;
  /** Those of the listed daemons that read the whole store when they start; none in a small fleet. */
  informantsOf: (daemons: readonly DaemonEntry[]) => readonly DaemonEntry[];
  /** Asks a daemon for what it lists. */
  fetchListing: (peerAddress: string) => Promise<KnowledgeSnapshot>;
  /** Called when this daemon lists what another one does. */
  onLearnt: () => void;
}

/** More that do not answer mean that something else is wrong: the store has the list. */
const MAXIMUM_ASKED = 2;

/** A daemon that has heard of the store for longer than this has an old list; in ms. */
const LONGEST_SILENCE_MILLISECONDS = 3_000;

/** The configuration comes after daemons and the secret: with more daemons than a page holds it is on a later one. */
function holdsAllButRunners({ facts }: StorePage): boolean {
  return facts.some(({ kind }) => kind === 'configuration');
}

/** Used once, at the start. */
export class FleetBootstrap {
  private readonly options: FleetBootstrapOptions;

  /**
   * @param options - whom to ask, and what learns.
   */
  constructor(options: FleetBootstrapOptions) {
    this.options = options;
  }

  /**
   * @param first - the first page of the store.
   * @returns Whether this daemon lists now what another one does.
   */
  async learn(first: StorePage): Promise<boolean> {
    const { knowledge, log } = this.options;
    if (knowledge.revision > 0 || !holdsAllButRunners(first)) return false;
    for (const { peerAddress: address } of this.informants(first)) {
      try {
        this.take(first, await this.fetchFresh(address));
        log.write(syncLogEvents.learntFromPeer, { address, revision: knowledge.revision });
        return true;
      } catch (error) {
        log.write(syncLogEvents.peerFailed, { address, error: (error as Error).message });
      }
    }
    return false;
  }

  /** Each daemon asks other ones first. */
  private informants({ facts }: StorePage): readonly DaemonEntry[] {
    const { daemon, informantsOf } = this.options;
    const daemons = facts.flatMap((fact) => (fact.kind === 'daemon' ? [fact.daemon] : []));
    const informants = informantsOf(daemons);
    if (informants.some(({ name }) => name === daemon)) return [];
    const named = informants.map((informant) => ({ id: informant.name, informant }));
    const ordered = rendezvousOrder(daemon, named).map(({ informant }) => informant);
    return ordered.slice(0, MAXIMUM_ASKED);
  }

  private async fetchFresh(address: string): Promise<KnowledgeSnapshot> {
    const snapshot = await this.options.fetchListing(address);
    const { revision, storeSilentMilliseconds = 0 } = snapshot;
    if (!(revision > 0)) throw new Error('it lists nothing');
    if (storeSilentMilliseconds > LONGEST_SILENCE_MILLISECONDS) throw new Error('its list is old');
    return snapshot;
  }

  /** The list may be older than the page; what both hold is taken from the list, so that it is of one moment. */
  private take({ facts }: StorePage, snapshot: KnowledgeSnapshot): void {
    const { knowledge, clock, onLearnt } = this.options;
    const now = clock.monotonicMilliseconds();
    const others = facts.filter((fact) => !isListing(fact));
    knowledge.applyChanges({ revision: 0, facts: others }, now);
    knowledge.applyPeer(snapshot, now);
    onLearnt();
  }
}
