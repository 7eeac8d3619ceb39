/**
 * Whether a runner that takes new work may get this request now, and why not.
 */
import type { HomeRegions } from '../routes/homeRegions.js';
import type { ColdStarts } from './ColdStarts.js';
import type { Runner } from './Runner.js';

/** Why a runner does not get a request that others may get, or that it may get later. */
export type RequestObstacle = 'tried' | 'other_region' | 'asked_for_time' | 'no_connection';

/** What has to be known of a request. */
export interface AdmissionQuestion {
  /** Lives of runners that had this request already. */
  readonly tried: ReadonlySet<string>;
  /** Regions whose runners may run it; all where it is left out. */
  readonly homeRegions?: HomeRegions;
  /** Requests that this daemon may have at one runner. */
  readonly connectionLimit: number;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** Options of a {@link RunnerAdmission}. */
export interface RunnerAdmissionOptions {
  coldStarts?: ColdStarts | undefined;
  /** Region of a data centre, as far as this daemon knows. */
  regionOf?: (dataCentre: string) => string | undefined;
}

/** Asked before each request that goes to a runner. */
export class RunnerAdmission {
  private readonly coldStarts: ColdStarts | undefined;

  private readonly regionOf: (dataCentre: string) => string | undefined;

  /**
   * @param options - what cold runners bear, without which all are warm, and where data centres are.
   */
  constructor({ coldStarts, regionOf = () => undefined }: RunnerAdmissionOptions = {}) {
    this.coldStarts = coldStarts;
    this.regionOf = regionOf;
  }

  /**
   * @param runner - of any service.
   * @param homeRegions - whose runners may run a request.
   * @returns Whether it is in one of them; one in a data centre that nobody knows is not.
   */
  isAtHome({ entry }: Runner, homeRegions: HomeRegions): boolean {
    if (homeRegions === undefined) return true;
    const region = this.regionOf(entry.dataCentre);
    return region !== undefined && homeRegions.includes(region);
  }

  /**
   * @param runner - that takes new work.
   * @param question - the request.
   * @returns What keeps the runner from this request, whoever decides about cold ones.
   */
  obstacleTo(runner: Runner, question: AdmissionQuestion): RequestObstacle | undefined {
    const { tried, now, connectionLimit } = question;
    if (tried.has(runner.entry.life)) return 'tried';
    if (!this.isAtHome(runner, question.homeRegions)) return 'other_region';
    if (runner.pausedUntil > now) return 'asked_for_time';
    return runner.inFlight < connectionLimit ? undefined : 'no_connection';
  }

  /**
   * @param runners - that take new work.
   * @param question - the request.
   * @returns Those that may get it: warm ones, and cold ones that have room.
   */
  admitted(runners: readonly Runner[], question: AdmissionQuestion): readonly Runner[] {
    const { coldStarts } = this;
    const { now } = question;
    const open = runners.filter((runner) => this.obstacleTo(runner, question) === undefined);
    if (!coldStarts) return open;
    const admitted = open.filter((runner) => coldStarts.hasRoom(runner, now));
    if (admitted.length > 0) return admitted;
    return open.filter((runner) => coldStarts.hasRoomForOthers(runner, now));
  }

  /**
   * @param runner - that may be cold.
   * @param now - monotonic milliseconds.
   * @returns Whether it bears a few requests only.
   */
  isCold(runner: Runner, now: number): boolean {
    return this.coldStarts?.isCold(runner, now) ?? false;
  }

  /**
   * @param runner - that the request goes to.
   * @param now - monotonic milliseconds.
   */
  sent(runner: Runner, now: number): void {
    this.coldStarts?.sent(runner, now);
  }
}
