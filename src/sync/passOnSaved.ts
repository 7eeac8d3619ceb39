/**
 * Passes on what one daemon saved to the store for the others.
 */
import type { StoreFact } from './FleetStore.js';
import type { KnowledgeListener } from './knowledgeTypes.js';

/** What a daemon saved to the store. */
export type SavedFact = Extract<
  StoreFact,
  { kind: 'warm_places' | 'quarantine' | 'version_history' }
>;

/**
 * @param fact - what a daemon saved.
 * @param listener - its method for this kind of fact is called.
 */
export function passOnSaved(
  fact: SavedFact,
  listener: Pick<KnowledgeListener, 'warmPlacesSaved' | 'quarantineSaved' | 'versionHistorySaved'>,
): void {
  if (fact.kind === 'warm_places') listener.warmPlacesSaved(fact.places);
  else if (fact.kind === 'quarantine') listener.quarantineSaved(fact.page);
  else listener.versionHistorySaved(fact.history);
}
