/**
 * Determines why a service has no runner for a request, and when the caller should retry.
 */
import type { HomeRegions } from '../routes/homeRegions.js';
import type { RunnerAdmission } from './RunnerAdmission.js';
import type { RunnerTable } from './RunnerTable.js';

/**
 * Why no runner is available. `full`: the runners are brittle, and what they can take is in use. `no_runner`: no runner is listed, or those that are have been tried or have no free
 * connection. `no_runner_of_version`: no runner of the software version that began the stream is left.
 */
export type UnavailableReason =
  | 'no_runner'
  | 'no_runner_of_version'
  | 'asked_for_time'
  | 'evacuated'
  | 'no_home'
  | 'cold'
  | 'full'
  | 'backlogged';

/** Why a service has no runner for a request. */
export interface Unavailability {
  readonly reason: UnavailableReason;
  /** Suggested time until a retry, in ms, if it is known. */
  readonly pauseMilliseconds?: number;
}

/**
 * Suggested time until a retry during an evacuation, in ms. Operators lift an evacuation after seconds to hours;
 * callers retry once or twice.
 */
const EVACUATION_RETRY_MILLISECONDS = 1_500;

/** The request that no runner was found for, and the state of the runners. */
export interface UnavailabilityQuestion {
  readonly runners: RunnerTable;
  readonly admission: Pick<RunnerAdmission, 'isCold' | 'isFull' | 'isInHomeRegion'>;
  readonly service: string;
  /** Regions whose runners may execute the request. */
  readonly homeRegions?: HomeRegions;
  /** Software version that a stream goes on at; any version if left out. */
  readonly softwareVersion?: string | undefined;
  /** Current time, monotonic ms. */
  readonly now: number;
}

/**
 * @param question - a request that no runner was found for.
 * @returns The reason, and when to retry.
 */
export function unavailabilityOf({
  runners,
  admission,
  service,
  homeRegions,
  softwareVersion,
  now,
}: UnavailabilityQuestion): Unavailability {
  const all = runners.readyOf(service);
  const ready = all.filter((runner) => admission.isInHomeRegion(runner, homeRegions));
  if (ready.length === 0) {
    const isEvacuated = runners.evacuatedOf(service).length > 0;
    if (!isEvacuated) return { reason: all.length > 0 ? 'no_home' : 'no_runner' };
    return { reason: 'evacuated', pauseMilliseconds: EVACUATION_RETRY_MILLISECONDS };
  }
  if (!ready.some((runner) => runner.hasVersion(softwareVersion))) {
    return { reason: 'no_runner_of_version' };
  }
  const pauseMilliseconds = Math.min(...ready.map(({ pausedUntil }) => pausedUntil - now));
  if (pauseMilliseconds > 0) return { reason: 'asked_for_time', pauseMilliseconds };
  if (ready.every((runner) => admission.isFull(runner, now))) return { reason: 'full' };
  if (ready.every(({ backlog, inFlight }) => !backlog.admits(inFlight, now))) {
    const pauses = ready.map(({ backlog }) => backlog.remainingPause(now));
    return { reason: 'backlogged', pauseMilliseconds: Math.min(...pauses) };
  }
  const areCold = ready.every((runner) => admission.isCold(runner, now));
  return { reason: areCold ? 'cold' : 'no_runner' };
}
