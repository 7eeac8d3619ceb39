/**
 * Identifies a stream towards other daemons.
 */
import { createHash } from 'node:crypto';

import { boundedId } from '../prompts/promptSegments.js';

/** What a stream is known by. */
export interface StreamName {
  readonly service: string;
  readonly clientAccount: string | undefined;
  /** Id of the caller's attempt that the stream began with. */
  readonly id: string;
}

function hashOf(parts: readonly string[]): bigint {
  return createHash('sha256').update(JSON.stringify(parts)).digest().readBigUInt64LE(0);
}

/**
 * Computes the key of a stream. A caller that names a stream of another account or service gets another key, so that
 * it learns nothing about that stream.
 *
 * @param name - service, account and id.
 * @returns A hash of 64 bits.
 */
export function streamKeyOf({ service, clientAccount = '', id }: StreamName): bigint {
  return hashOf([service, clientAccount, id]);
}

/** What a prompt is known by. */
export interface PromptName {
  readonly service: string;
  /** Id of its last part, which belongs to one request or its session. */
  readonly part: string;
}

/**
 * @param name - service and last part.
 * @returns A hash of 64 bits, never 0.
 */
export function promptKeyOf({ service, part }: PromptName): bigint {
  return hashOf(['prompt', service, boundedId(part)]) || 1n;
}
