/**
 * When a quarantined subject is tried again: what makes it crash runners may have been mended without a word to the
 * daemons.
 */
import type { RunnerCrash } from './quarantineTypes.js';

/** Time from the last crash to each next trial, in ms; after the last one, the subject waits for its release. */
const TRIAL_DELAYS_MILLISECONDS = [60_000, 1_800_000, 36_000_000] as const;

/** A crash this long after the one before is that of a trial, in ms. */
export const TRIAL_GAP_MILLISECONDS = 30_000;

/**
 * @param crashes - crashes that the subject explains.
 * @returns When one request with it may run again, in monotonic ms; infinite if none may.
 */
export function nextTrialAt(crashes: readonly RunnerCrash[]): number {
  const times = crashes.map(({ at }) => at).sort((one, other) => one - other);
  const last = times.at(-1) ?? Number.NEGATIVE_INFINITY;
  const trials = times.filter(
    (at, index) => at - (times[index - 1] ?? at) >= TRIAL_GAP_MILLISECONDS,
  ).length;
  return last + (TRIAL_DELAYS_MILLISECONDS[trials] ?? Number.POSITIVE_INFINITY);
}
