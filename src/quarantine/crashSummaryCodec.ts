/**
 * Encodes and decodes the crash records that daemons exchange. Messages hold ages instead of times, because daemons
 * share no clock.
 */
import { create } from '@bufbuild/protobuf';
import { z } from 'zod';

import { CrashRecordSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { CrashRecord as CrashMessage } from '../generated/baobabdock/v1/news_pb.js';
import { groupAlike, separateAlike } from './alikeSubjects.js';
import type { AlikeSubjects } from './alikeSubjects.js';
import type { CrashSummary, RunnerCrash, VersionAnswer } from './quarantineTypes.js';
import { DIGEST_DIGITS } from './requestDigest.js';

/**
 * Maximum number of crashes sent for a subject: enough to quarantine it, and few enough for eight subjects in a datagram.
 */
const MAXIMUM_SENT_CRASHES = 4;

/** Maximum number of software versions whose answers are sent; those that answered last. */
const MAXIMUM_SENT_ANSWERS = 2;

/** Converts between this daemon's monotonic clock and the times in a JSON document; both in ms. */
export type TimeConversion = (milliseconds: number) => number;

const digestSchema = z.string().regex(/^[0-9a-f]{32}$/u);

const recordSchema = z.object({
  digest: digestSchema,
  part: z.string().optional(),
  /** Hash of the name of the runner's incarnation, and when it ended. */
  crashes: z.array(z.tuple([z.int().nonnegative(), z.number().nonnegative()])),
  /** Those of the crashes whose runners had to reject too many requests, by position. */
  overloads: z.array(z.int().nonnegative()).optional(),
  /** Hashes of the software versions of the crashed runners, by position. */
  versions: z.array(z.int().nonnegative()).optional(),
  clearedAt: z.number().nonnegative().optional(),
  /** Hash of a software version, and up to when its crashes do not count. */
  answers: z.array(z.tuple([z.int().nonnegative(), z.number().nonnegative()])).optional(),
  /** Digests of further parts for which all of this holds as well. */
  alike: z.array(digestSchema).optional(),
});

const documentSchema = z.object({ requests: z.array(recordSchema) });

function ageOf(at: number, now: number): number {
  return Math.max(0, Math.round(now - at));
}

function digestsIn(bytes: Uint8Array): string[] {
  const digits = Buffer.from(bytes).toString('hex');
  const starts = Array.from(
    { length: Math.floor(digits.length / DIGEST_DIGITS) },
    (_, index) => index,
  );
  return starts.map((index) => digits.slice(index * DIGEST_DIGITS, (index + 1) * DIGEST_DIGITS));
}

/**
 * @param group - crashes of one request, or of several parts.
 * @param now - this daemon's monotonic time, in ms.
 * @returns The message.
 */
export function toMessage({ summary, alike }: AlikeSubjects, now: number): CrashMessage {
  const { digest, part = '', crashes, clearedAt, answers = [] } = summary;
  return create(CrashRecordSchema, {
    alike: Buffer.from(alike.join(''), 'hex'),
    digest: Buffer.from(digest, 'hex'),
    part,
    crashes: crashes.slice(-MAXIMUM_SENT_CRASHES).map(({ at, versionHash = 0, ...crash }) => ({
      ...crash,
      ageMilliseconds: ageOf(at, now),
      versionHash,
    })),
    clearedAgeMilliseconds: clearedAt === undefined ? undefined : ageOf(clearedAt, now),
    answers: answers.slice(-MAXIMUM_SENT_ANSWERS).map(({ versionHash, at }) => ({
      versionHash,
      ageMilliseconds: Math.round(now - at),
    })),
  });
}

/** @returns Positions of the crashes of overload; `undefined` if there are none. */
function overloadsAmong(crashes: readonly RunnerCrash[]): number[] | undefined {
  const positions = crashes.flatMap(({ isOverload }, index) => (isOverload ? [index] : []));
  return positions.length > 0 ? positions : undefined;
}

/** @returns The optional fields of a crash that are not at their default. */
function crashDetails(
  versionHash: number,
  isOverload: boolean,
): Pick<RunnerCrash, 'versionHash' | 'isOverload'> {
  return { ...(versionHash !== 0 && { versionHash }), ...(isOverload && { isOverload }) };
}

/** @returns Software versions of the crashed runners, by position; `undefined` if none has one. */
function versionsAmong(crashes: readonly RunnerCrash[]): number[] | undefined {
  const versions = crashes.map(({ versionHash = 0 }) => versionHash);
  return versions.some((version) => version !== 0) ? versions : undefined;
}

/**
 * @param message - message of another daemon.
 * @param now - this daemon's monotonic time, in ms.
 * @returns The crashes that it reports, by subject.
 */
export function fromMessage(message: CrashMessage, now: number): CrashSummary[] {
  const { digest, part, crashes, clearedAgeMilliseconds, answers, alike } = message;
  const summary = {
    digest: Buffer.from(digest).toString('hex'),
    ...(part !== '' && { part }),
    crashes: crashes.map(({ life, ageMilliseconds, versionHash, isOverload }) => ({
      life,
      at: now - ageMilliseconds,
      ...crashDetails(versionHash, isOverload),
    })),
    clearedAt: clearedAgeMilliseconds === undefined ? undefined : now - clearedAgeMilliseconds,
    ...(answers.length > 0 && {
      answers: answers.map(({ versionHash, ageMilliseconds }) => ({
        versionHash,
        at: now - ageMilliseconds,
      })),
    }),
  };
  return separateAlike({ summary, alike: digestsIn(alike) });
}

function documentOf(
  { digest, part, crashes, clearedAt, answers }: CrashSummary,
  toDocumentTime: TimeConversion,
) {
  return {
    digest,
    part,
    crashes: crashes.map(({ life, at }) => [life, toDocumentTime(at)]),
    overloads: overloadsAmong(crashes),
    versions: versionsAmong(crashes),
    clearedAt: clearedAt === undefined ? undefined : toDocumentTime(clearedAt),
    answers: answers?.map(({ versionHash, at }) => [versionHash, toDocumentTime(at)]),
  };
}

/**
 * @param news - crashes of several requests.
 * @param toDocumentTime - converts monotonic times to those in the document.
 * @returns The JSON document.
 */
export function encodeDocument(
  news: readonly CrashSummary[],
  toDocumentTime: TimeConversion,
): string {
  const requests = groupAlike(news).map(({ summary, alike }) => ({
    ...documentOf(summary, toDocumentTime),
    ...(alike.length > 0 && { alike }),
  }));
  return JSON.stringify({ requests });
}
function summaryIn(
  {
    digest,
    part,
    crashes,
    overloads = [],
    versions,
    clearedAt,
    answers,
  }: z.output<typeof recordSchema>,
  fromDocumentTime: TimeConversion,
): CrashSummary {
  return {
    digest,
    ...(part !== undefined && { part }),
    crashes: crashes.map(([life, time], index) => ({
      life,
      at: fromDocumentTime(time),
      ...crashDetails(versions?.[index] ?? 0, overloads.includes(index)),
    })),
    clearedAt: clearedAt === undefined ? undefined : fromDocumentTime(clearedAt),
    ...(answers && {
      answers: answers.map(([versionHash, time]): VersionAnswer => ({
        versionHash,
        at: fromDocumentTime(time),
      })),
    }),
  };
}

/**
 * @param text - a JSON document.
 * @param fromDocumentTime - converts times in the document to monotonic ones.
 * @returns The crashes that it lists.
 * @throws When the document does not match the schema.
 */
export function decodeDocument(text: string, fromDocumentTime: TimeConversion): CrashSummary[] {
  const { requests } = documentSchema.parse(JSON.parse(text));
  return requests.flatMap((record) =>
    separateAlike({ summary: summaryIn(record, fromDocumentTime), alike: record.alike ?? [] }),
  );
}
