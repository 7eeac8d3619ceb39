/**
 * Which facts say who is there and gets work.
 */
import murmurhash from 'murmurhash';

import type { Runner } from '../runners/Runner.js';
import type { DaemonEntry, StoreFact } from './FleetStore.js';
import type { KnowledgeSnapshot } from './knowledgeTypes.js';

const LISTINGS: ReadonlySet<StoreFact['kind']> = new Set<StoreFact['kind']>([
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
 * Whether a fact says who is there. Such a fact of an older revision than what is known would bring back a runner that
 * has left: one would see requests at a runner that this daemon knew to be draining. It comes when a slow answer of the
 * store arrives behind another daemon's newer knowledge.
 *
 * @param fact - of the store.
 * @returns Whether it says who is there.
 */
export function isListing({ kind }: StoreFact): boolean {
  return LISTINGS.has(kind);
}

/** What two daemons that know the same list. */
export interface Listed {
  readonly runners: readonly Runner[];
  readonly daemons: readonly DaemonEntry[];
  /** Names of evacuated data centres. */
  readonly evacuated: readonly string[];
}

/**
 * @param listed - by a daemon.
 * @returns 32 bits, the same for two daemons that list the same.
 */
export function digestOf({ runners, daemons, evacuated }: Listed): number {
  const lines = [
    ...runners.map(({ entry }) => `${entry.life} ${entry.state} ${entry.service}`),
    ...daemons.map(({ name, newsAddress }) => `${name} ${newsAddress}`),
    ...evacuated.map((name) => `evacuated ${name}`),
  ];
  return murmurhash.v3(lines.sort().join());
}

/**
 * @param snapshot - of what another daemon lists.
 * @param knownEvacuated - data centres that hold where the other daemon does not know of evacuations.
 * @returns What it says of who is there and gets work.
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
