/**
 * Creates the parts that keep the capacity of runners.
 */
import { CapacityParts } from '../capacity/CapacityParts.js';
import type { CapacityPartsOptions } from '../capacity/CapacityParts.js';
import { addWork } from '../capacity/ObservedCapacity.js';
import type { GrantLedger } from '../coordination/GrantLedger.js';
import type { PeerLoads } from '../news/PeerLoads.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { RouterSettings } from './routerFeature.js';

/** Options of {@link createCapacity}. */
export interface CreateCapacityOptions extends Pick<
  CapacityPartsOptions,
  'clock' | 'log' | 'registry' | 'hasCoordinators'
> {
  settings: RouterSettings;
  knowledge: FleetKnowledge;
  /** What other daemons have reported. */
  foreignLoads: PeerLoads;
  /** What this daemon has granted and they have not reported yet. */
  grants: GrantLedger;
}

/**
 * @param options - the settings, the runners, and what is known of other daemons.
 * @returns The estimates, and the reports to other daemons.
 */
export function createCapacity({
  settings,
  knowledge,
  foreignLoads,
  grants,
  ...parts
}: CreateCapacityOptions): CapacityParts {
  return new CapacityParts({
    ...parts,
    runners: knowledge.runners,
    isEnabled: settings.capacity.enabled,
    memoryTokensOf: (service) => knowledge.routes?.serviceOf(service)?.memoryTokens,
    foreignWork: (life) => addWork(foreignLoads.workOf(life), grants.outstandingWorkOf(life)),
  });
}
