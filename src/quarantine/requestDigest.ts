/**
 * Digest that identifies equal requests: those with the same method, path with query, client account and body.
 */
import { createHash } from 'node:crypto';

/**
 * Length in hexadecimal digits: half of a SHA-256 hash, long enough that two different requests do not collide by
 * chance.
 */
export const DIGEST_DIGITS = 32;

/** The parts of a request that are compared. */
export interface ComparedRequest {
  readonly method: string;
  /** Path with the query. */
  readonly target: string;
  readonly clientAccount: string | undefined;
  readonly body: Buffer | undefined;
}

/**
 * @param request - a completely received request.
 * @returns Hexadecimal digest; the same for each arrival of the request, at any daemon.
 */
export function requestDigest({ method, target, clientAccount, body }: ComparedRequest): string {
  const head = JSON.stringify([method, target, clientAccount ?? null]);
  const hash = createHash('sha256').update(head);
  if (body) hash.update('\n').update(body);
  return hash.digest('hex').slice(0, DIGEST_DIGITS);
}
