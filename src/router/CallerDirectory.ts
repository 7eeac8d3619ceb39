/**
 * Tells callers where to connect, by what this daemon knows.
 */
import type { FleetCoordination } from '../coordination/FleetCoordination.js';
import { addressesFor } from '../directory/DirectoryDecisions.js';
import type { DirectoryQuestion } from '../directory/DirectoryDecisions.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { regionOfDataCentre } from './routerFeature.js';
import type { RouterSettings } from './routerFeature.js';

/** What a caller tells of itself when it asks where to connect. */
export interface CallerPlace extends Pick<DirectoryQuestion, 'dataCentre' | 'region' | 'caller'> {
  /** The host that its requests will name. */
  readonly host?: string | undefined;
}

/** Options of a {@link CallerDirectory}. */
export interface CallerDirectoryOptions {
  settings: RouterSettings;
  knowledge: FleetKnowledge;
  coordination: FleetCoordination;
}

/** See the module's comment. */
export class CallerDirectory {
  private readonly options: CallerDirectoryOptions;

  /**
   * @param options - what is known of daemons, routes and regions.
   */
  constructor(options: CallerDirectoryOptions) {
    this.options = options;
  }

  /**
   * @param place - where a caller is and what it asks for, as far as it says so.
   * @param own - this daemon, as long as it takes requests.
   * @returns Addresses for callers.
   */
  addressesFor(place: CallerPlace, own: DaemonEntry | undefined): string[] {
    const { settings, knowledge, coordination } = this.options;
    const living = coordination.livingOthers();
    // A caller with no address at all is lost; one with an address of a dead daemon tries the next.
    const daemons = own || living.length > 0 ? living : coordination.otherDaemons();
    const homeRegions = knowledge.routes?.homesOfHost(place.host ?? '');
    const regionOf = (dataCentre: string) => regionOfDataCentre(settings, dataCentre);
    return addressesFor({ daemons, own, homeRegions, regionOf, ...place });
  }
}
