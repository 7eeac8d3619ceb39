/**
 * The listing: which runners, daemons and evacuations there are, as facts, as a snapshot and as a digest.
 */
import murmurhash from 'murmurhash';

import type { Runner } from '../runners/Runner.js';
import type { DaemonEntry, StoreFact } from './FleetStore.js';
import type { KnowledgeSnapshot } from './knowledgeTypes.js';

const LISTING_KINDS: ReadonlySet<StoreFact['kind']> = new Set<StoreFact['kind']>([
  'runner',
  'runner_gone',
  'runner_lapsed',
  'runner_unreadable',
  'daemon',
  'daemon_gone',
  'evacuation',
  'evacuation_over',
  'evacuation_unreadable',
]);

/**
 * Whether a fact belongs to the listing of runners, daemons and evacuations. Such a fact must not be applied if it is
 * older than what is known: it would bring back a runner that has left, and requests would go to a runner that this
 * daemon knew to be draining. Old facts occur when a slow answer of the store arrives after another daemon's newer
 * snapshot.
 *
 * @param fact - a fact of the store.
 * @returns Whether it is about a runner, a daemon or an evacuation.
 */
export function isListingFact({ kind }: StoreFact): boolean {
  return LISTING_KINDS.has(kind);
}

/** The content of a listing that is compared between daemons. */
export interface Listing {
  readonly runners: readonly Runner[];
  readonly daemons: readonly DaemonEntry[];
  /** Names of evacuated data centres. */
  readonly evacuated: readonly string[];
}

/**
 * Computes the digest by which daemons compare their listings.
 *
 * @param listed - the listing of a daemon.
 * @returns A 32-bit hash that is equal for equal listings.
 */
export function digestOf({ runners, daemons, evacuated }: Listing): number {
  const lines = [
    ...runners.map(({ entry }) => `${entry.life} ${entry.state} ${entry.service}`),
    ...daemons.map(({ name, newsAddress }) => `${name} ${newsAddress}`),
    ...evacuated.map((name) => `evacuated ${name}`),
  ];
  return murmurhash.v3(lines.sort().join());
}

/**
 * Converts a snapshot to facts.
 *
 * @param snapshot - the snapshot of another daemon.
 * @param knownEvacuated - evacuated data centres to use if the snapshot has no information about evacuations.
 * @returns The facts of its listing.
 */
export function factsOf(
  { runners, lapsed = [], daemons, evacuated }: KnowledgeSnapshot,
  knownEvacuated: readonly string[],
): StoreFact[] {
  return [
    ...runners.map((runner) => ({ kind: 'runner', runner }) as const),
    ...lapsed.map((id) => ({ kind: 'runner_lapsed', id }) as const),
    ...daemons.map((daemon) => ({ kind: 'daemon', daemon }) as const),
    ...(evacuated ?? knownEvacuated).map(
      (dataCentre) => ({ kind: 'evacuation', dataCentre }) as const,
    ),
  ];
}
