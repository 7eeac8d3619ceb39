/**
 * Encodes and decodes the crash records that daemons exchange. Messages hold ages instead of times, because daemons
 * share no clock.
 */
import { create } from '@bufbuild/protobuf';
import { z } from 'zod';

import { CrashRecordSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { CrashRecord as CrashMessage } from '../generated/baobabdock/v1/news_pb.js';
import type { CrashSummary, RunnerCrash } from './quarantineTypes.js';

/**
 * Maximum number of crashes sent for a request: enough to quarantine it, and few enough for sixteen requests in a
 * datagram.
 */
const MAXIMUM_SENT_CRASHES = 4;

/** Converts between this daemon's monotonic clock and the times in a JSON document; both in ms. */
export type TimeConversion = (milliseconds: number) => number;

const recordSchema = z.object({
  digest: z.string().regex(/^[0-9a-f]{32}$/u),
  /** Hash of the name of the runner's incarnation, and when it ended. */
  crashes: z.array(z.tuple([z.int().nonnegative(), z.number().nonnegative()])),
  /** Those of the crashes whose runners had to reject too many requests, by position. */
  overloads: z.array(z.int().nonnegative()).optional(),
  clearedAt: z.number().nonnegative().optional(),
});

const documentSchema = z.object({ requests: z.array(recordSchema) });

function ageOf(at: number, now: number): number {
  return Math.max(0, Math.round(now - at));
}

/**
 * @param news - crashes of one request.
 * @param now - this daemon's monotonic time, in ms.
 * @returns The message.
 */
export function toMessage({ digest, crashes, clearedAt }: CrashSummary, now: number): CrashMessage {
  return create(CrashRecordSchema, {
    digest: Buffer.from(digest, 'hex'),
    crashes: crashes
      .slice(-MAXIMUM_SENT_CRASHES)
      .map(({ life, at, isOverload }) => ({ life, ageMilliseconds: ageOf(at, now), isOverload })),
    clearedAgeMilliseconds: clearedAt === undefined ? undefined : ageOf(clearedAt, now),
  });
}

/** @returns Positions of the crashes of overload; `undefined` if there are none. */
function overloadsAmong(crashes: readonly RunnerCrash[]): number[] | undefined {
  const positions = crashes.flatMap(({ isOverload }, index) => (isOverload ? [index] : []));
  return positions.length > 0 ? positions : undefined;
}

/**
 * @param message - message of another daemon.
 * @param now - this daemon's monotonic time, in ms.
 * @returns The crashes that it reports.
 */
export function fromMessage(message: CrashMessage, now: number): CrashSummary {
  const { digest, crashes, clearedAgeMilliseconds } = message;
  return {
    digest: Buffer.from(digest).toString('hex'),
    crashes: crashes.map(({ life, ageMilliseconds, isOverload }) => ({
      life,
      at: now - ageMilliseconds,
      ...(isOverload && { isOverload }),
    })),
    clearedAt: clearedAgeMilliseconds === undefined ? undefined : now - clearedAgeMilliseconds,
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
  const requests = news.map(({ digest, crashes, clearedAt }) => ({
    digest,
    crashes: crashes.map(({ life, at }) => [life, toDocumentTime(at)]),
    overloads: overloadsAmong(crashes),
    clearedAt: clearedAt === undefined ? undefined : toDocumentTime(clearedAt),
  }));
  return JSON.stringify({ requests });
}

/**
 * @param text - a JSON document.
 * @param fromDocumentTime - converts times in the document to monotonic ones.
 * @returns The crashes that it lists.
 * @throws When the document does not match the schema.
 */
export function decodeDocument(text: string, fromDocumentTime: TimeConversion): CrashSummary[] {
  const { requests } = documentSchema.parse(JSON.parse(text));
  return requests.map(({ digest, crashes, overloads = [], clearedAt }) => ({
    digest,
    crashes: crashes.map(([life, time], index) => ({
      life,
      at: fromDocumentTime(time),
      ...(overloads.includes(index) && { isOverload: true }),
    })),
    clearedAt: clearedAt === undefined ? undefined : fromDocumentTime(clearedAt),
  }));
}
