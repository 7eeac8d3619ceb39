/**
 * Parses the `Retry-After` header of a runner that refuses a request.
 */

/** How long to send the runner no requests, and whether this differs from the value of the header. */
export interface RetryAfterPause {
  readonly milliseconds: number;
  readonly isCorrected: boolean;
}

/** Maximum pause, in ms; predictable outages of single runners are shorter. */
const MAXIMUM_PAUSE_MILLISECONDS = 60_000;

/** Pause for a value that is not a number of seconds, in ms. Dates are not evaluated, because clocks differ. */
const UNREADABLE_PAUSE_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

const SECONDS_PATTERN = /^\d+(?:\.\d+)?$/u;

/**
 * @param value - value of the header.
 * @returns The pause, from 0 to the maximum.
 */
export function parseRetryAfter(value: string): RetryAfterPause {
  const trimmed = value.trim();
  if (!SECONDS_PATTERN.test(trimmed))
    return { milliseconds: UNREADABLE_PAUSE_MILLISECONDS, isCorrected: true };
  const milliseconds = Number(trimmed) * MILLISECONDS_PER_SECOND;
  const isCorrected = milliseconds > MAXIMUM_PAUSE_MILLISECONDS;
  return { milliseconds: Math.min(milliseconds, MAXIMUM_PAUSE_MILLISECONDS), isCorrected };
}
