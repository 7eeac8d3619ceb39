/**
 * Seals messages with the secret that the daemons of a fleet share, so that nobody else can steer choices.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';

import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';

import {
  DaemonNewsSchema,
  MessageKind,
  SealedNewsSchema,
} from '../generated/baobabdock/v1/news_pb.js';
import type { DaemonNews } from '../generated/baobabdock/v1/news_pb.js';

/** Half of SHA-256 is as hard to guess as a random key of that length; in bytes. */
const SEAL_BYTES = 16;

/** A message that was sealed by a daemon of the fleet. */
export interface OpenedMessage {
  readonly kind: MessageKind;
  readonly message: Uint8Array;
}

/** The kind is sealed too, or a message of one kind could be passed off as one of another. */
function sealOf(kind: MessageKind, message: Uint8Array, secret: string): Buffer {
  const hmac = createHmac('sha256', secret);
  // News are sealed without their kind, as daemons of earlier versions do.
  if (kind !== MessageKind.UNSPECIFIED) hmac.update(Uint8Array.of(kind));
  return hmac.update(message).digest().subarray(0, SEAL_BYTES);
}

/**
 * @param kind - of the message.
 * @param message - encoded.
 * @param secret - of the fleet.
 * @returns One datagram.
 */
export function sealMessage(kind: MessageKind, message: Uint8Array, secret: string): Uint8Array {
  const seal = sealOf(kind, message, secret);
  return toBinary(SealedNewsSchema, create(SealedNewsSchema, { seal, message, kind }));
}

/**
 * @param datagram - as received.
 * @param secret - of the fleet.
 * @returns The message, or `undefined` where the seal is not one of the fleet.
 * @throws When it is no sealed message.
 */
export function openMessage(datagram: Uint8Array, secret: string): OpenedMessage | undefined {
  const { seal, message, kind } = fromBinary(SealedNewsSchema, datagram);
  if (seal.length !== SEAL_BYTES) return undefined;
  return timingSafeEqual(seal, sealOf(kind, message, secret)) ? { kind, message } : undefined;
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
  return sealMessage(MessageKind.UNSPECIFIED, message, secret);
}

/**
 * @param datagram - as received.
 * @param secret - of the fleet.
 * @returns The message, or `undefined` where the seal is not one of the fleet.
 * @throws When it is no message of this kind.
 */
export function decodeNews(datagram: Uint8Array, secret: string): DaemonNews | undefined {
  const opened = openMessage(datagram, secret);
  return opened && fromBinary(DaemonNewsSchema, opened.message);
}
