/**
 * The times and sizes that the soak's checks rest on.
 */

/** In force within this time after the store's acknowledgement, as on the users' platform; in ms. */
export const CHANGE_BOUND_MILLISECONDS = 2_000;

/** Processes and timers of a busy machine are late by some hundred ms. */
export const LATENESS_MILLISECONDS = 1_000;

/** A daemon that nothing has touched for this long has no excuse of having been out of touch; in ms. */
export const CONTACT_MILLISECONDS = 3_000;

/** Time that a planned stop may take. */
export const STOP_SECONDS = 5;

/** From then on a stopping daemon refuses, and closes what is idle; see `runPlannedStop`. */
export const CLOSING_SHARE = 0.35;

/** From then on it cuts what is not complete; see `runPlannedStop`. */
export const CUTTING_SHARE = 0.93;

/** Of each route of the stand-in's configuration, in ms. */
export const TIMEOUT_MILLISECONDS = 5_000;

/** The fleet serves again this long after the last fault, as on the users' platform; in ms. */
export const RECOVERY_MILLISECONDS = 12_000;

/** Events of each stream; with 40 ms between them it lasts 1.6 s. */
export const EVENTS = 40;

/** Runners that may run one request; see `siteConfiguration`. */
export const MAXIMUM_ATTEMPTS = 2;

/** Before a plain answer, and before a crash; long enough that faults meet plain requests under way; in ms. */
export const WORK_MILLISECONDS = 80;

/** A request with such a body crashes each runner that runs it. */
export const FATAL_BODY = 'fatal';

/** A request with a part of its prompt that begins like this crashes each runner that runs it. */
export const FATAL_PART = 'fa7a';

/**
 * @param part - id of a part of a prompt.
 * @returns Whether it crashes runners.
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

/** Crashes after which no request with such a part is to run any more. */
export const FATAL_PART_CRASHES = 5;

/** Crashes after which a request is not to run any more. */
export const FATAL_CRASHES = 3;

/** Runs that are allowed once all daemons had the time to know, in all. */
export const LATE_FATAL_RUNS = 3;
