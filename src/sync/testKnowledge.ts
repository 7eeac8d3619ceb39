/**
 * Knowledge for tests, with a record of what its listener was told.
 */
import { FleetKnowledge } from './FleetKnowledge.js';

/**
 * @param onUpdate - called after each update.
 * @returns Empty knowledge, the ids of dropped runners, and the keys reported as unreadable.
 */
export function createTestKnowledge(onUpdate: () => void = () => undefined) {
  const gone: string[] = [];
  const unreadable: string[] = [];
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
      outdatedRead: () => undefined,
      storeRestored: () => undefined,
      updated: onUpdate,
      unreadable: (key) => unreadable.push(key),
    },
  });
  return { knowledge, gone, unreadable };
}
