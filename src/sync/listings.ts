/**
 * Which facts say who is there.
 */
import type { StoreFact } from './FleetStore.js';

const LISTINGS: ReadonlySet<StoreFact['kind']> = new Set<StoreFact['kind']>([
  'runner',
  'runner_gone',
  'runner_unreadable',
  'daemon',
  'daemon_gone',
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
