/**
 * Why a service has no runner for a request, and when its caller should come back.
 */
import type { HomeRegions } from '../routes/homeRegions.js';
import type { RunnerAdmission } from './RunnerAdmission.js';
import type { RunnerTable } from './RunnerTable.js';

/** `no_runner`: what is listed has been tried, has no place, or there is none. */
export type UnavailableReason = 'no_runner' | 'asked_for_time' | 'evacuated' | 'no_home' | 'cold';

/** What keeps a service's runners from a request. */
export interface Unavailability {
  readonly reason: UnavailableReason;
  /** Until coming back makes sense, in ms, where that is known. */
  readonly pauseMilliseconds?: number;
}

/** Operators take the order to evacuate a data centre back after seconds to hours; callers come back once or twice. */
const EVACUATED_MILLISECONDS = 1_500;

/** What is asked about a service that no runner was found for. */
export interface UnavailabilityQuestion {
  readonly runners: RunnerTable;
  readonly admission: Pick<RunnerAdmission, 'isCold' | 'isAtHome'>;
  readonly service: string;
  /** Regions whose runners may run the request. */
  readonly homeRegions?: HomeRegions;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/**
 * @param question - a service that no runner was found for.
 * @returns Why.
 */
export function unavailabilityOf({
  runners,
  admission,
  service,
  homeRegions,
  now,
}: UnavailabilityQuestion): Unavailability {
  const all = runners.readyOf(service);
  const ready = all.filter((runner) => admission.isAtHome(runner, homeRegions));
  if (ready.length === 0) {
    const isEvacuated = runners.evacuatedOf(service).length > 0;
    if (!isEvacuated) return { reason: all.length > 0 ? 'no_home' : 'no_runner' };
    return { reason: 'evacuated', pauseMilliseconds: EVACUATED_MILLISECONDS };
  }
  const pauseMilliseconds = Math.min(...ready.map(({ pausedUntil }) => pausedUntil - now));
  if (pauseMilliseconds > 0) return { reason: 'asked_for_time', pauseMilliseconds };
  const areCold = ready.every((runner) => admission.isCold(runner, now));
  return { reason: areCold ? 'cold' : 'no_runner' };
}
