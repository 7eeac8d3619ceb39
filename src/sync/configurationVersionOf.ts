/**
 * Version of the configuration that a daemon has in force.
 */
import type { FleetKnowledge } from './FleetKnowledge.js';

/**
 * @param knowledge - of the daemon.
 * @returns The version; 0 before the first configuration.
 */
export function configurationVersionOf({ routes }: Pick<FleetKnowledge, 'routes'>): number {
  return routes?.configuration.version ?? 0;
}
