/**
 * Times and sizes used by the checks of the soak.
 */

/** Time within which a change is in force after the store has acknowledged it, in ms; as on the users' platform. */
export const CHANGE_BOUND_MILLISECONDS = 2_000;

/** Allowance for processes and timers that are late on a busy machine, in ms. */
export const LATENESS_MILLISECONDS = 1_000;

/** Time without a fault after which a daemon counts as connected to all others, in ms. */
export const CONTACT_MILLISECONDS = 3_000;

/** Maximum duration of a planned stop. */
export const STOP_SECONDS = 5;

/** Share of the stop after which a daemon refuses requests and closes idle connections; see `runPlannedStop`. */
export const CLOSING_SHARE = 0.35;

/** Share of the stop after which it cuts incomplete answers; see `runPlannedStop`. */
export const CUTTING_SHARE = 0.93;

/** Timeout of each route of the stand-in's configuration, in ms. */
export const TIMEOUT_MILLISECONDS = 5_000;

/** Time after the last fault within which the fleet serves again, in ms; as on the users' platform. */
export const RECOVERY_MILLISECONDS = 12_000;

/** Number of events of each stream; with 40 ms between events, a stream takes 1.6 s. */
export const EVENTS = 40;

/** Maximum number of runners that may run one request; see `siteConfiguration`. */
export const MAXIMUM_ATTEMPTS = 2;

/** Time until a plain answer, or a crash, in ms; long enough for faults to hit plain requests in progress. */
export const WORK_MILLISECONDS = 80;

/** Beginning of the bodies of requests that crash each runner that runs them. */
export const FATAL_BODY = 'fatal';

/** Beginning of the ids of prompt parts that crash each runner that runs a request with them. */
export const FATAL_PART = 'fa7a';

/**
 * @param part - id of a part of a prompt.
 * @returns Whether requests with the part crash runners.
 */
export function isFatalPart(part: string): boolean {
  return part.startsWith(FATAL_PART);
}

/**
 * @param request - body and parts of a request.
 * @returns Whether it crashes each runner that runs it.
 */
export function isFatal({ body, parts }: { body: string; parts: readonly string[] }): boolean {
  return body.startsWith(FATAL_BODY) || parts.some(isFatalPart);
}

/** Number of crashes after which no request with a fatal part may run any more. */
export const FATAL_PART_CRASHES = 5;

/** Number of crashes after which a fatal request may not run any more. */
export const FATAL_CRASHES = 3;

/** Number of runs that are allowed in total after all daemons had time to learn of the crashes. */
export const LATE_FATAL_RUNS = 3;
