/**
 * How much crashes speak against a subject.
 */
import type { CrashMoments } from './CrashMoments.js';
import { MOMENT_MILLISECONDS } from './CrashMoments.js';
import type { CrashSubject, RunnerCrash } from './quarantineTypes.js';

/** A possible cause, with the crashes that count against it. */
export interface CrashSuspect extends CrashSubject {
  readonly crashes: readonly RunnerCrash[];
}

/** @returns The first crash of each moment. */
function momentsOf(crashes: readonly RunnerCrash[]): number[] {
  const times = crashes.map(({ at }) => at).sort((one, other) => one - other);
  const moments: number[] = [];
  for (const at of times) {
    const last = moments.at(-1) ?? Number.NEGATIVE_INFINITY;
    if (at - last >= MOMENT_MILLISECONDS) moments.push(at);
  }
  return moments;
}

/**
 * Weighs the crashes against a subject. A part of prompts runs at many runners at a time, so that of those that end at the
 * same moment one counts, and none if the part was at a few of them only.
 *
 * @param suspect - a possible cause.
 * @param moments - all crashes of the last time.
 * @returns The number of its crashes that count.
 */
export function crashWeight({ part, crashes }: CrashSuspect, moments: CrashMoments): number {
  if (part === undefined) return crashes.length;
  return momentsOf(crashes).filter((at) => moments.areMostOf(crashes, at)).length;
}
