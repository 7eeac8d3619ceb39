/**
 * Authenticates messages with the secret that the daemons of a fleet share, so that nobody else can influence the
 * choice of runners.
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

/**
 * Length of a message authentication code in bytes. Half of a SHA-256 hash is as hard to guess as a random key of
 * that length.
 */
const AUTHENTICATION_CODE_BYTES = 16;

/** A message whose authentication code is valid. */
export interface AuthenticatedMessage {
  readonly kind: MessageKind;
  readonly message: Uint8Array;
}

/**
 * The code covers the kind, because otherwise a message of one kind could be passed off as one of another.
 */
function authenticationCodeOf(kind: MessageKind, message: Uint8Array, secret: string): Buffer {
  const hmac = createHmac('sha256', secret);
  // Messages of the kind `UNSPECIFIED` are authenticated without their kind, as daemons of earlier versions do.
  if (kind !== MessageKind.UNSPECIFIED) hmac.update(Uint8Array.of(kind));
  return hmac.update(message).digest().subarray(0, AUTHENTICATION_CODE_BYTES);
}

/**
 * @param kind - kind of the message.
 * @param message - the encoded message.
 * @param secret - the fleet's secret.
 * @returns The datagram.
 */
export function encodeDatagram(kind: MessageKind, message: Uint8Array, secret: string): Uint8Array {
  const seal = authenticationCodeOf(kind, message, secret);
  return toBinary(SealedNewsSchema, create(SealedNewsSchema, { seal, message, kind }));
}

/**
 * @param datagram - a received datagram.
 * @param secret - the fleet's secret.
 * @returns The message, or `undefined` if its authentication code is not valid.
 * @throws When the datagram cannot be decoded.
 */
export function decodeDatagram(
  datagram: Uint8Array,
  secret: string,
): AuthenticatedMessage | undefined {
  const { seal, message, kind } = fromBinary(SealedNewsSchema, datagram);
  if (seal.length !== AUTHENTICATION_CODE_BYTES) return undefined;
  return timingSafeEqual(seal, authenticationCodeOf(kind, message, secret))
    ? { kind, message }
    : undefined;
}

/**
 * @param news - the message.
 * @param secret - the fleet's secret.
 * @returns The datagram.
 */
export function encodeNews(
  news: MessageInitShape<typeof DaemonNewsSchema>,
  secret: string,
): Uint8Array {
  const message = toBinary(DaemonNewsSchema, create(DaemonNewsSchema, news));
  return encodeDatagram(MessageKind.UNSPECIFIED, message, secret);
}

/**
 * @param datagram - a received datagram.
 * @param secret - the fleet's secret.
 * @returns The message, or `undefined` if its authentication code is not valid.
 * @throws When the datagram or the message in it cannot be decoded.
 */
export function decodeNews(datagram: Uint8Array, secret: string): DaemonNews | undefined {
  const opened = decodeDatagram(datagram, secret);
  return opened && fromBinary(DaemonNewsSchema, opened.message);
}
