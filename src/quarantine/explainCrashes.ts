/**
 * Finds what explains crashes of runners. A crash counts against everything that was running at the runner; what causes
 * crashes is in more of them than what was beside it.
 */
import { isSameCrash } from './CrashRecord.js';
import type { CrashSuspect } from './crashWeight.js';
import type { RunnerCrash } from './quarantineTypes.js';

/** Number of distinct crashes that have to be explained before anything is quarantined. */
export const QUARANTINE_CRASHES = 3;

/** Weighs the crashes of a possible cause. */
export type CrashWeigher = (suspect: CrashSuspect) => number;

/** What decides between possible causes. */
export interface CrashScale {
  readonly weigh: CrashWeigher;
  /** Monotonic ms. */
  readonly now: number;
}

/** Several crashes with what explains them. */
export interface CrashVerdict {
  /**
   * Subjects that were running at each of the crashes. Several of them cannot be told apart until a request with only
   * some of them is answered, or crashes a runner.
   */
  readonly digests: readonly string[];
  readonly crashes: readonly RunnerCrash[];
}

function without(
  crashes: readonly RunnerCrash[],
  explained: readonly RunnerCrash[],
): readonly RunnerCrash[] {
  return crashes.filter((crash) => !explained.some((one) => isSameCrash(one, crash)));
}

interface WeighedSuspect extends CrashSuspect {
  readonly weight: number;
}

/** How long reports of a crash may be on their way, in ms. */
const REPORT_MILLISECONDS = 300;

/** @returns The crashes whose reports have arrived, or are lost. */
function settledOf(crashes: readonly RunnerCrash[], now: number): readonly RunnerCrash[] {
  return crashes.filter(({ at }) => now - at >= REPORT_MILLISECONDS);
}

/**
 * @param suspects - possible causes.
 * @param now - monotonic ms.
 * @returns When the next crash of a request settles, in monotonic ms; infinite if all have. Parts wait for nothing.
 */
export function nextSettledAt(suspects: readonly CrashSuspect[], now: number): number {
  const settledAt = suspects
    .filter(({ part }) => part === undefined)
    .flatMap(({ crashes }) => crashes.map(({ at }) => at + REPORT_MILLISECONDS));
  return Math.min(...settledAt.filter((at) => at > now));
}

/**
 * Tells whether a part of prompts was at all crashes of a request, save those whose reports may be on their way, and at
 * others. It explains them better, also where it weighs less because several of its crashes are of one moment.
 *
 * @param suspect - a possible cause.
 * @param others - other ones.
 * @param now - monotonic ms.
 * @returns Whether the suspect is a request, and there is such a part.
 */
export function isExplainedByPart(
  { part, crashes }: CrashSuspect,
  others: readonly CrashSuspect[],
  now: number,
): boolean {
  if (part !== undefined) return false;
  const settled = settledOf(crashes, now);
  return others.some(
    (other) =>
      other.part !== undefined &&
      other.crashes.length >= crashes.length &&
      without(settled, other.crashes).length === 0 &&
      without(other.crashes, crashes).length > 0,
  );
}

function strongestOf(suspects: readonly WeighedSuspect[]): WeighedSuspect | undefined {
  const [first, ...others] = suspects;
  if (!first) return undefined;
  return others.reduce((strongest, one) => {
    const surplus = one.weight - strongest.weight || one.crashes.length - strongest.crashes.length;
    return surplus > 0 || (surplus === 0 && one.digest < strongest.digest) ? one : strongest;
  }, first);
}

function candidatesAmong(
  suspects: readonly CrashSuspect[],
  { weigh, now }: CrashScale,
): readonly WeighedSuspect[] {
  return suspects
    .filter(({ crashes }) => crashes.length >= QUARANTINE_CRASHES)
    .map((one) => ({ ...one, weight: weigh(one) }))
    .filter((one) => one.weight >= QUARANTINE_CRASHES && !isExplainedByPart(one, suspects, now));
}

/**
 * Explains the crashes by as few subjects as possible, the one with the most weight first. What is left of a subject's
 * crashes after that counts against it.
 *
 * @param suspects - the possible causes.
 * @param scale - weighs their crashes.
 * @returns The subjects that are to be quarantined.
 */
export function explainCrashes(
  suspects: readonly CrashSuspect[],
  scale: CrashScale,
): readonly CrashVerdict[] {
  const verdicts: CrashVerdict[] = [];
  let open = suspects;
  for (;;) {
    const strongest = strongestOf(candidatesAmong(open, scale));
    if (!strongest) return verdicts;
    const { crashes } = strongest;
    const isEqual = (one: CrashSuspect) =>
      one.crashes.length === crashes.length && without(one.crashes, crashes).length === 0;
    const digests = open.filter(isEqual).map(({ digest }) => digest);
    verdicts.push({ digests: digests.sort(), crashes });
    const explained = new Set(digests);
    open = open
      .filter(({ digest }) => !explained.has(digest))
      .map((one) => ({ ...one, crashes: without(one.crashes, crashes) }));
  }
}

/**
 * @param verdicts - what has been explained.
 * @param suspect - a possible cause.
 * @returns The suspect with the crashes that nothing else explains.
 */
export function withUnexplained(
  verdicts: readonly CrashVerdict[],
  suspect: CrashSuspect,
): CrashSuspect {
  const crashes = verdicts
    .filter(({ digests }) => !digests.includes(suspect.digest))
    .reduce((left, verdict) => without(left, verdict.crashes), suspect.crashes);
  return { ...suspect, crashes };
}
