/**
 * Chooses what the crash of a runner may be due to among what was running there.
 */
import type { CrashRecords } from './CrashRecords.js';
import { TRUST_MILLISECONDS } from './CrashRecord.js';
import type { CrashSubject, RunnerCrash } from './quarantineTypes.js';
import type { RecentAnswers } from './RecentAnswers.js';
import type { RequestSubjects } from './requestSubjects.js';

/** Maximum number of parts that one crash makes suspect, more than a prompt has. */
const MAXIMUM_SUSPECTS = 4_096;

/** Maximum number of parts that are looked at for one crash. */
const MAXIMUM_EXAMINED = 65_536;

/** What is known of parts. */
export interface PartKnowledge {
  readonly records: Pick<CrashRecords, 'ofPart'>;
  readonly answers: Pick<RecentAnswers, 'ofKey'>;
}

/** 0 for parts that were at other crashes, 1 for those without a late answer, 2 for all others. */
function rankOf(
  key: number,
  { at, versionHash = 0 }: RunnerCrash,
  { records, answers }: PartKnowledge,
): number {
  if ((records.ofPart(key)?.countedCrashes.length ?? 0) > 0) return 0;
  const answeredAt = answers.ofKey(key, versionHash) ?? Number.NEGATIVE_INFINITY;
  return answeredAt < at - TRUST_MILLISECONDS ? 1 : 2;
}

/**
 * @param requests - the interrupted requests, the one that began last first.
 * @param crash - the crash.
 * @param knowledge - what is known of their parts.
 * @returns The requests, and a bounded number of the parts of their prompts.
 */
export function suspectsAmong(
  requests: readonly RequestSubjects[],
  crash: RunnerCrash,
  knowledge: PartKnowledge,
): CrashSubject[] {
  const keys = new Set<number>();
  for (const { partKeys } of requests) {
    if (keys.size + partKeys.length <= MAXIMUM_EXAMINED) for (const key of partKeys) keys.add(key);
  }
  const byRank: [number[], number[], number[]] = [[], [], []];
  for (const key of keys) byRank[rankOf(key, crash, knowledge)]?.push(key);
  const chosen = new Set(byRank.flat().slice(0, MAXIMUM_SUSPECTS));
  // A part of several requests is taken once.
  const parts = requests.flatMap((request) => request.parts((key) => chosen.delete(key)));
  return [...requests.map(({ whole }) => whole), ...parts];
}
