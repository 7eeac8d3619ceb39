/**
 * Identifies a stream towards other daemons.
 */
import { createHash } from 'node:crypto';

/** What a stream is known by. */
export interface StreamName {
  readonly service: string;
  readonly clientAccount: string | undefined;
  /** Id of the caller's attempt that the stream began with. */
  readonly id: string;
}

/**
 * Computes the key of a stream. A caller that names a stream of another account or service gets another key, so that
 * it learns nothing about that stream.
 *
 * @param name - service, account and id.
 * @returns A hash of 64 bits.
 */
export function streamKeyOf({ service, clientAccount = '', id }: StreamName): bigint {
  const text = JSON.stringify([service, clientAccount, id]);
  return createHash('sha256').update(text).digest().readBigUInt64LE(0);
}
