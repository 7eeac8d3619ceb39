/**
 * How long a runner that refuses a request wants none, from its `Retry-After`.
 */

/** A pause, and whether it is another one than what was asked for. */
export interface AskedPause {
  readonly milliseconds: number;
  readonly isCorrected: boolean;
}

/** Outages of single runners that can be foreseen are shorter; in ms. */
const LONGEST_MILLISECONDS = 60_000;

/** For what is no number of seconds, a date for example: it asks for some time, and clocks differ; in ms. */
const UNREADABLE_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

const SECONDS = /^\d+(?:\.\d+)?$/u;

/**
 * @param text - of the header.
 * @returns The pause, never negative and never longer than a reasonable outage.
 */
export function askedPause(text: string): AskedPause {
  const trimmed = text.trim();
  if (!SECONDS.test(trimmed)) return { milliseconds: UNREADABLE_MILLISECONDS, isCorrected: true };
  const milliseconds = Number(trimmed) * MILLISECONDS_PER_SECOND;
  const isCorrected = milliseconds > LONGEST_MILLISECONDS;
  return { milliseconds: Math.min(milliseconds, LONGEST_MILLISECONDS), isCorrected };
}
