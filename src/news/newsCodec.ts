/**
 * Seals messages with the secret that the daemons of a fleet share, so that nobody else can steer choices.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';

import type { DaemonNews } from './newsTypes.js';

/** Half of SHA-256 is as hard to guess as a random key of that length; in bytes. */
const SEAL_BYTES = 16;

function sealOf(text: Buffer, secret: string): Buffer {
  return createHmac('sha256', secret).update(text).digest().subarray(0, SEAL_BYTES);
}

/**
 * @param news - the message.
 * @param secret - of the fleet.
 * @returns One datagram.
 */
export function encodeNews(news: DaemonNews, secret: string): Buffer {
  const text = Buffer.from(JSON.stringify(news));
  return Buffer.concat([sealOf(text, secret), text]);
}

/**
 * @param datagram - as received.
 * @param secret - of the fleet.
 * @returns The message, or `undefined` where the seal is not one of the fleet.
 */
export function decodeNews(datagram: Buffer, secret: string): DaemonNews | undefined {
  if (datagram.length <= SEAL_BYTES) return undefined;
  const text = datagram.subarray(SEAL_BYTES);
  if (!timingSafeEqual(datagram.subarray(0, SEAL_BYTES), sealOf(text, secret))) return undefined;
  return JSON.parse(text.toString()) as DaemonNews;
}
