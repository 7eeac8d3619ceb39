/**
 * Groups records that differ only in their subject. A prompt may have thousands of parts, and the crash of a runner counts
 * against all of them alike, so that they are sent and saved together.
 */
import { inBatches } from '../collections/inBatches.js';
import { UNNAMED_PART } from './CrashRecord.js';
import type { CrashSummary } from './quarantineTypes.js';

/** Maximum number of subjects in one group, whose digests fit into a datagram beside its crashes. */
export const MAXIMUM_ALIKE = 64;

/** Number of records up to which each is sent by itself, with its name. */
const MAXIMUM_SEPARATE = 8;

/** Records of several subjects. */
export interface AlikeSubjects {
  /** Record of one of them. */
  readonly summary: CrashSummary;
  /** Digests of the others, all of which are parts of prompts. */
  readonly alike: readonly string[];
}

function signatureOf({ crashes, clearedAt, answers }: CrashSummary): string {
  return JSON.stringify([crashes, clearedAt, answers]);
}

function groupsOf(records: readonly CrashSummary[]): AlikeSubjects[] {
  if (records.length <= MAXIMUM_SEPARATE) return records.map((summary) => ({ summary, alike: [] }));
  return inBatches(records, MAXIMUM_ALIKE).flatMap(([summary, ...others]) =>
    summary ? [{ summary, alike: others.map(({ digest }) => digest) }] : [],
  );
}

/**
 * @param records - records of different subjects.
 * @returns The same in groups, in the order of the first of each group.
 */
export function groupAlike(records: readonly CrashSummary[]): AlikeSubjects[] {
  const bySignature = new Map<string, CrashSummary[]>();
  for (const record of records) {
    const signature = record.part === undefined ? record.digest : signatureOf(record);
    const known = bySignature.get(signature);
    if (known) known.push(record);
    else bySignature.set(signature, [record]);
  }
  return [...bySignature.values()].flatMap(groupsOf);
}

/**
 * @param group - records of several subjects.
 * @returns A record for each of them; parts whose name was not sent have none.
 */
export function separateAlike({ summary, alike }: AlikeSubjects): CrashSummary[] {
  return [summary, ...alike.map((digest) => ({ ...summary, digest, part: UNNAMED_PART }))];
}
