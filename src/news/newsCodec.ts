/**
 * Seals messages with the secret that the daemons of a fleet share, so that nobody else can steer choices.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';

import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';

import { DaemonNewsSchema, SealedNewsSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { DaemonNews } from '../generated/baobabdock/v1/news_pb.js';

/** Half of SHA-256 is as hard to guess as a random key of that length; in bytes. */
const SEAL_BYTES = 16;

function sealOf(message: Uint8Array, secret: string): Buffer {
  return createHmac('sha256', secret).update(message).digest().subarray(0, SEAL_BYTES);
}

/**
 * @param news - the message.
 * @param secret - of the fleet.
 * @returns One datagram.
 */
export function encodeNews(
  news: MessageInitShape<typeof DaemonNewsSchema>,
  secret: string,
): Uint8Array {
  const message = toBinary(DaemonNewsSchema, create(DaemonNewsSchema, news));
  const seal = sealOf(message, secret);
  return toBinary(SealedNewsSchema, create(SealedNewsSchema, { seal, message }));
}

/**
 * @param datagram - as received.
 * @param secret - of the fleet.
 * @returns The message, or `undefined` where the seal is not one of the fleet.
 * @throws When it is no message of this kind.
 */
export function decodeNews(datagram: Uint8Array, secret: string): DaemonNews | undefined {
  const { seal, message } = fromBinary(SealedNewsSchema, datagram);
  const isSealed = seal.length === SEAL_BYTES && timingSafeEqual(seal, sealOf(message, secret));
  return isSealed ? fromBinary(DaemonNewsSchema, message) : undefined;
}
