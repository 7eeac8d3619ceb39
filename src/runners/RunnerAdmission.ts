/**
 * Decides whether a runner that accepts new work may get a specific request now, and why not.
 */
import type { HomeRegions } from '../routes/homeRegions.js';
import type { BrittleRunners } from './BrittleRunners.js';
import type { ColdStarts } from './ColdStarts.js';
import type { Runner } from './Runner.js';

/** Why a runner may not get a request, although it may get others or may get this one later. */
export type RejectionReason =
  'tried' | 'other_region' | 'other_version' | 'asked_for_time' | 'backlogged' | 'no_connection';

/** New streams avoid runners that may have started again only if at least this share of all is left for them. */
const FEWEST_KNOWN_SHARE = 2 / 3;

/** The properties of a request that decide about its admission. */
export interface AdmissionQuestion {
  /** Incarnations of the runners that have already had this request. */
  readonly tried: ReadonlySet<string>;
  /** Regions whose runners may execute the request; any region if left out. */
  readonly homeRegions?: HomeRegions;
  /** Software version that a stream goes on at; any version if left out. */
  readonly softwareVersion?: string | undefined;
  /** Whether the version of the runner matters, because the request is a stream that may be taken up elsewhere. */
  readonly needsVersion?: boolean;
  /** Maximum number of requests that this daemon may have in flight at one runner. */
  readonly connectionLimit: number;
  /** Current time, monotonic ms. */
  readonly now: number;
  /** Whether another daemon sends the request. */
  readonly isForOther?: boolean;
}

/** Options of a {@link RunnerAdmission}. */
export interface RunnerAdmissionOptions {
  coldStarts?: ColdStarts | undefined;
  brittleRunners?: BrittleRunners | undefined;
  /** Returns the region of a data centre, or `undefined` if it is unknown. */
  regionOf?: (dataCentre: string) => string | undefined;
  /** Whether a stream may begin at a runner that callers may take up elsewhere; at any by default. */
  mayBeginAt?: (runner: Runner) => boolean;
}

/** Checks each request against the state of the runner that it may go to. */
export class RunnerAdmission {
  /** Limits the requests to brittle runners. */
  readonly brittleRunners: BrittleRunners | undefined;

  private readonly coldStarts: ColdStarts | undefined;

  private readonly regionOf: (dataCentre: string) => string | undefined;

  private readonly mayBeginAt: (runner: Runner) => boolean;

  /**
   * @param options - the limits for cold and brittle runners, without which every runner counts as warm and sound, and
   * the regions of data centres.
   */
  constructor({
    coldStarts,
    brittleRunners,
    regionOf = () => undefined,
    mayBeginAt = () => true,
  }: RunnerAdmissionOptions = {}) {
    this.brittleRunners = brittleRunners;
    this.coldStarts = coldStarts;
    this.regionOf = regionOf;
    this.mayBeginAt = mayBeginAt;
  }

  /**
   * Tells whether a runner is in one of the regions that may execute a request.
   *
   * @param runner - a runner of any service.
   * @param homeRegions - the regions of the request.
   * @returns Whether it is; a runner in an unknown data centre is in none of them.
   */
  isInHomeRegion({ entry }: Runner, homeRegions: HomeRegions): boolean {
    if (homeRegions === undefined) return true;
    const region = this.regionOf(entry.dataCentre);
    return region !== undefined && homeRegions.includes(region);
  }

  /**
   * Checks everything but the limits for cold runners.
   *
   * @param runner - a runner that accepts new work.
   * @param question - the request.
   * @returns Why the runner may not get the request; `undefined` if it may.
   */
  rejectionReasonFor(runner: Runner, question: AdmissionQuestion): RejectionReason | undefined {
    const { tried, now, connectionLimit } = question;
    if (tried.has(runner.entry.life)) return 'tried';
    if (!this.isInHomeRegion(runner, question.homeRegions)) return 'other_region';
    if (!this.mayHaveVersion(runner, question.softwareVersion)) return 'other_version';
    if (runner.pausedUntil > now) return 'asked_for_time';
    // A request that another runner has failed already is worth more than the next one.
    if (tried.size === 0 && !runner.backlog.admits(runner.inFlight, now)) return 'backlogged';
    return runner.inFlight < connectionLimit ? undefined : 'no_connection';
  }

  /**
   * Selects the runners that may get a request.
   *
   * @param all - runners that accept new work.
   * @param question - the request.
   * @returns The warm runners, and the cold ones with unused rate; brittle ones as long as they have room.
   */
  admitted(all: readonly Runner[], question: AdmissionQuestion): readonly Runner[] {
    const { coldStarts } = this;
    const runners = this.withBeginnableVersion(all, question);
    const { now, isForOther } = question;
    const isOpen = (runner: Runner) =>
      this.rejectionReasonFor(runner, question) === undefined &&
      !this.isFull(runner, now, isForOther);
    const known = this.withKnownVersion(runners, question).filter(isOpen);
    // A stream that has begun is not cut because the runners of a known version have failed it already.
    const open = known.length > 0 ? known : runners.filter(isOpen);
    if (!coldStarts) return open;
    const admitted = open.filter((runner) => coldStarts.mayOwnerSend(runner, now));
    if (admitted.length > 0) return admitted;
    return open.filter((runner) => coldStarts.mayNonOwnerSend(runner, now));
  }

  /**
   * Leaves out the runners of a version at which a new stream must not begin yet, as long as there are others. Not even a
   * lack of room makes them eligible: a stream there could not be told from those of the other versions later on.
   *
   * @param runners - all runners of the service that accept new work.
   * @param question - the request.
   * @returns Those that have no version on hold; all if no other one is in the regions of the request.
   */
  withBeginnableVersion(
    runners: readonly Runner[],
    { needsVersion, softwareVersion, homeRegions }: AdmissionQuestion,
  ): readonly Runner[] {
    if (needsVersion !== true || softwareVersion !== undefined) return runners;
    const beginnable = runners.filter((runner) => this.mayBeginAt(runner));
    const hasOther = beginnable.some((runner) => this.isInHomeRegion(runner, homeRegions));
    return hasOther ? beginnable : runners;
  }

  /**
   * Leaves out the runners that may have started again, at another version perhaps. If most of them may have, this daemon's
   * own link has failed rather than they; a stream that has begun keeps to the others all the same.
   */
  private withKnownVersion(
    runners: readonly Runner[],
    { needsVersion, softwareVersion }: AdmissionQuestion,
  ): readonly Runner[] {
    if (needsVersion !== true) return runners;
    const known = runners.filter(
      (runner) => runner.hasVersion(softwareVersion) && !runner.restart.isSuspected,
    );
    const isNew = softwareVersion === undefined;
    const fewest = isNew ? runners.length * FEWEST_KNOWN_SHARE : 1;
    return known.length >= fewest ? known : runners;
  }

  /** The entry of a runner that has started again says nothing of its version any more. */
  private mayHaveVersion(runner: Runner, softwareVersion: string | undefined): boolean {
    if (softwareVersion === undefined) return true;
    return runner.hasVersion(softwareVersion) && !runner.restart.hasRestarted;
  }

  /**
   * @param runner - the runner to check.
   * @param now - current time, monotonic ms.
   * @param isForOther - whether another daemon sends the request.
   * @returns Whether it is brittle and may have no room.
   */
  isFull(runner: Runner, now: number, isForOther = false): boolean {
    return this.brittleRunners?.maySend(runner, now, isForOther) === false;
  }

  /**
   * @param runner - the runner to check.
   * @param now - current time, monotonic ms.
   * @returns Whether requests to it are limited because it is cold.
   */
  isCold(runner: Runner, now: number): boolean {
    return this.coldStarts?.isCold(runner, now) ?? false;
  }

  /**
   * Counts a request against the rate of its runner if that is cold.
   *
   * @param runner - the runner that the request goes to.
   * @param now - current time, monotonic ms.
   */
  countRequest(runner: Runner, now: number): void {
    this.coldStarts?.countRequest(runner, now);
  }
}
