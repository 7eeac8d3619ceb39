/**
 * The message with which a daemon hands a request over to another one: what the configuration allows it, the headers for
 * the runner, and the body, authenticated with the secret of the fleet.
 *
 * The sender has checked the request against its configuration, so the receiver applies none of its own, and API keys
 * are not part of the message.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';

import type { AdmittedRequest } from '../forwarding/forwardingTypes.js';

/** A request on its way to another daemon. */
export interface HandOver {
  /** Name of the daemon that hands it over. */
  readonly sender: string;
  readonly request: Omit<AdmittedRequest, 'arrivedAt' | 'deadlineAt' | 'allSharedParts'>;
  /** Time left until the caller's deadline, in ms. */
  readonly remainingMilliseconds: number;
  /** Whether the sender has counted the request in its retry budget. */
  readonly isCounted: boolean;
  /** Number of attempts that may have run. */
  readonly mayHaveRun: number;
  /** Incarnations of the runners that may have run the request; missing in messages of earlier versions. */
  readonly tried?: readonly string[];
  /** Software version at which a stream goes on; any if it is missing. */
  readonly softwareVersion?: string | undefined;
  /** Whether the caller sent a body, which may be empty. */
  readonly hasBody: boolean;
}

/** A decoded message. */
export interface ReceivedHandOver {
  readonly handOver: HandOver;
  readonly body: Buffer | undefined;
}

/** A message that was not sent by a daemon of this fleet, or is truncated. */
export class HandOverError extends Error {
  override readonly name = 'HandOverError';
}

const SEAL_BYTES = 32;

const LENGTH_BYTES = 4;

function sealOf(content: Buffer, secret: string): Buffer {
  return createHmac('sha256', secret).update('hand over').update(content).digest();
}

/**
 * @param handOver - the request without its body.
 * @param body - the caller's body.
 * @param secret - secret of the fleet.
 * @returns The encoded message.
 */
export function encodeHandOver(
  handOver: HandOver,
  body: Buffer | undefined,
  secret: string,
): Buffer {
  const text = Buffer.from(JSON.stringify(handOver));
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(text.length);
  const content = Buffer.concat([length, text, body ?? Buffer.alloc(0)]);
  return Buffer.concat([sealOf(content, secret), content]);
}

/**
 * @param message - an encoded message.
 * @param secret - secret of the fleet.
 * @returns The request and its body.
 * @throws {@link HandOverError}
 */
export function decodeHandOver(message: Buffer, secret: string): ReceivedHandOver {
  const seal = message.subarray(0, SEAL_BYTES);
  const content = message.subarray(SEAL_BYTES);
  if (seal.length < SEAL_BYTES || !timingSafeEqual(seal, sealOf(content, secret))) {
    throw new HandOverError('the message has no valid seal of this fleet');
  }
  const end = LENGTH_BYTES + content.readUInt32BE(0);
  const text = content.subarray(LENGTH_BYTES, end).toString();
  const handOver = JSON.parse(text) as HandOver;
  return { handOver, body: handOver.hasBody ? content.subarray(end) : undefined };
}
