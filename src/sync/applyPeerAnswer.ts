/**
 * Applies what another daemon has answered to a request for what it knows.
 */
import { configurationVersionOf } from './configurationVersionOf.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { KnowledgeAnswer } from './knowledgeTypes.js';

/**
 * Applies an answer as far as it is newer.
 *
 * @param knowledge - of this daemon.
 * @param answer - the other daemon's snapshot, or that it has the same listing.
 * @param now - monotonic milliseconds.
 * @returns Whether anything was newer.
 */
export function applyPeerAnswer(
  knowledge: FleetKnowledge,
  answer: KnowledgeAnswer,
  now: number,
): boolean {
  if (!('isUnchanged' in answer)) return knowledge.applyPeerSnapshot(answer, now);
  const { revision, configuration, storeSilentMilliseconds } = answer;
  knowledge.recordStoreAnswer(now - (storeSilentMilliseconds ?? Number.POSITIVE_INFINITY));
  const knownVersion = configurationVersionOf(knowledge);
  if (configuration) knowledge.applyConfiguration(configuration);
  if (revision > knowledge.revision) knowledge.applyChanges({ revision, facts: [] }, now);
  return (configuration?.version ?? 0) > knownVersion;
}
