/**
 * Answers callers that ask which daemons to connect to, from this daemon's view of the fleet.
 */
import type { FleetCoordination } from '../coordination/FleetCoordination.js';
import { selectAddresses } from '../directory/selectAddresses.js';
import type { DirectoryQuery } from '../directory/selectAddresses.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { regionOfDataCentre } from './routerFeature.js';
import type { RouterSettings } from './routerFeature.js';

/** What a caller says about itself when it asks the directory for addresses. */
export interface CallerLocation extends Pick<DirectoryQuery, 'dataCentre' | 'region' | 'caller'> {
  /** The host name that the caller's requests will carry. */
  readonly host?: string | undefined;
}

/** Options of a {@link CallerDirectory}. */
export interface CallerDirectoryOptions {
  settings: RouterSettings;
  knowledge: FleetKnowledge;
  coordination: FleetCoordination;
  clock: Clock;
}

/** Collects the daemons, home regions and data centres that a directory answer depends on. */
export class CallerDirectory {
  private readonly options: CallerDirectoryOptions;

  /**
   * @param options - the settings, and this daemon's view of daemons and routes.
   */
  constructor(options: CallerDirectoryOptions) {
    this.options = options;
  }

  /**
   * @param location - the caller's data centre, region, address and host, as far as they are known.
   * @param own - this daemon's entry, or `undefined` while it accepts no new callers.
   * @returns Caller addresses of daemons, those near the caller first.
   */
  addressesFor(location: CallerLocation, own: DaemonEntry | undefined): string[] {
    const { settings, knowledge, coordination } = this.options;
    const availableDaemons = this.withPath(coordination.otherAvailableDaemons());
    // If every daemon seems unavailable, all listed ones are given: a caller without any address can reach nobody, whereas
    // one that gets the address of a dead daemon tries the next address.
    const daemons =
      own || availableDaemons.length > 0 ? availableDaemons : coordination.otherDaemons();
    const homeRegions = knowledge.routes?.homeRegionsOfHost(location.host ?? '');
    const regionOf = (dataCentre: string) => regionOfDataCentre(settings, dataCentre);
    return selectAddresses({ daemons, own, homeRegions, regionOf, ...location });
  }

  /**
   * Leaves out daemons that have lost their path to the runners for a while: other daemons serve their callers, which
   * takes a hop more. If more than half have lost it, all stay, since the others could not take all callers.
   */
  private withPath(daemons: readonly DaemonEntry[]): readonly DaemonEntry[] {
    const { coordination, clock } = this.options;
    const now = clock.monotonicMilliseconds();
    const left = daemons.filter(({ name }) => !coordination.pathReports.isPathLost(name, now));
    return 2 * left.length >= daemons.length ? left : daemons;
  }
}
