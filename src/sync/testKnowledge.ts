/**
 * Beliefs for tests, with what their listener has heard.
 */
import { FleetKnowledge } from './FleetKnowledge.js';

/** @returns Empty beliefs, runners that have gone, and keys that could not be read. */
export function createTestKnowledge() {
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
      warmPlacesKept: () => undefined,
      runnersLeaving: () => undefined,
      quarantineKept: () => undefined,
      updated: () => undefined,
      unreadable: (key) => unreadable.push(key),
    },
  });
  return { knowledge, gone, unreadable };
}
