/**
 * Sends requests at fixed times, whether or not earlier ones have been answered (open loop).
 */
import type { StandInSite } from './StandInSite.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Options of {@link sendAtRate}. */
export interface SendAtRateOptions {
  site: Pick<StandInSite, 'until'>;
  /** Returns the time since the start, in ms. */
  now: () => number;
  perSecond: number;
  /** Time of the first request, in ms since the start. */
  from?: number;
  /** Time of the last request at the latest, in ms since the start. */
  until: number;
}

/**
 * @param options - rate and times.
 * @param send - sends a request, given its number.
 * @returns Resolves once all requests have ended.
 */
export async function sendAtRate(
  { site, now, perSecond, from = 0, until }: SendAtRateOptions,
  send: (number: number) => Promise<unknown>,
): Promise<void> {
  const calls: Promise<unknown>[] = [];
  for (let number = 0; ; number += 1) {
    const at = from + (number * MILLISECONDS_PER_SECOND) / perSecond;
    if (at > until) break;
    await site.until(() => now() >= at);
    calls.push(send(number));
  }
  await Promise.all(calls);
}
