/**
 * Encodes what daemons tell each other of crashes. Times are told as ages: daemons share no clock.
 */
import { create } from '@bufbuild/protobuf';
import { z } from 'zod';

import { CrashRecordSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { CrashRecord as CrashMessage } from '../generated/baobabdock/v1/news_pb.js';
import type { CrashNews } from './quarantineTypes.js';

/** Enough for a quarantine; a datagram holds sixteen requests then. */
const MAXIMUM_TOLD_CRASHES = 4;

/** Converts between this daemon's monotonic clock and what a page says; both in ms. */
export type TimeConversion = (milliseconds: number) => number;

const recordSchema = z.object({
  digest: z.string().regex(/^[0-9a-f]{32}$/u),
  /** Hash of the runner's life, and when it ended. */
  crashes: z.array(z.tuple([z.int().nonnegative(), z.number().nonnegative()])),
  clearedAt: z.number().nonnegative().optional(),
});

const pageSchema = z.object({ requests: z.array(recordSchema) });

function ageOf(at: number, now: number): number {
  return Math.max(0, Math.round(now - at));
}

/**
 * @param news - of one request.
 * @param now - monotonic ms of this daemon.
 * @returns A message.
 */
export function toMessage({ digest, crashes, clearedAt }: CrashNews, now: number): CrashMessage {
  return create(CrashRecordSchema, {
    digest: Buffer.from(digest, 'hex'),
    crashes: crashes
      .slice(-MAXIMUM_TOLD_CRASHES)
      .map(({ life, at }) => ({ life, ageMilliseconds: ageOf(at, now) })),
    clearedAgeMilliseconds: clearedAt === undefined ? undefined : ageOf(clearedAt, now),
  });
}

/**
 * @param message - of another daemon.
 * @param now - monotonic ms of this daemon.
 * @returns What it says.
 */
export function fromMessage(message: CrashMessage, now: number): CrashNews {
  const { digest, crashes, clearedAgeMilliseconds } = message;
  return {
    digest: Buffer.from(digest).toString('hex'),
    crashes: crashes.map(({ life, ageMilliseconds }) => ({ life, at: now - ageMilliseconds })),
    clearedAt: clearedAgeMilliseconds === undefined ? undefined : now - clearedAgeMilliseconds,
  };
}

/**
 * @param news - of requests.
 * @param toPageTime - how the page tells times.
 * @returns JSON.
 */
export function toPage(news: readonly CrashNews[], toPageTime: TimeConversion): string {
  const requests = news.map(({ digest, crashes, clearedAt }) => ({
    digest,
    crashes: crashes.map(({ life, at }) => [life, toPageTime(at)]),
    clearedAt: clearedAt === undefined ? undefined : toPageTime(clearedAt),
  }));
  return JSON.stringify({ requests });
}

/**
 * @param text - JSON.
 * @param fromPageTime - how the page tells times.
 * @returns What it says.
 * @throws When it is no such page.
 */
export function fromPage(text: string, fromPageTime: TimeConversion): CrashNews[] {
  return pageSchema.parse(JSON.parse(text)).requests.map(({ digest, crashes, clearedAt }) => ({
    digest,
    crashes: crashes.map(([life, time]) => ({ life, at: fromPageTime(time) })),
    clearedAt: clearedAt === undefined ? undefined : fromPageTime(clearedAt),
  }));
}
