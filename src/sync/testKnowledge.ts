/**
 * Knowledge for tests, with a record of what its listener was told.
 */
import type { SavedHistory } from '../streamVersions/streamVersionTypes.js';
import { FleetKnowledge } from './FleetKnowledge.js';

/**
 * @param onUpdate - called after each update.
 * @returns Empty knowledge, the ids of dropped runners, the keys reported as unreadable, and the histories of versions.
 */
export function createTestKnowledge(onUpdate: () => void = () => undefined) {
  const gone: string[] = [];
  const unreadable: string[] = [];
  const histories: SavedHistory[] = [];
  const knowledge = new FleetKnowledge({
    listener: {
      configurationChanged: () => undefined,
      runnerChanged: ({ id }, state) => {
        if (state === 'gone') gone.push(id);
      },
      daemonChanged: () => undefined,
      evacuationChanged: () => undefined,
      warmPlacesSaved: () => undefined,
      runnersLeaving: () => undefined,
      quarantineSaved: () => undefined,
      versionHistorySaved: (history) => histories.push(history),
      outdatedRead: () => undefined,
      storeRestored: () => undefined,
      updated: onUpdate,
      unreadable: (key) => unreadable.push(key),
    },
  });
  return { knowledge, gone, unreadable, histories };
}
