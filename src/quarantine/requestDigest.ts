/**
 * What makes two requests the same: method, path with query, client account and body.
 */
import { createHash } from 'node:crypto';

/** Half of SHA-256: no two requests have the same by chance; in hexadecimal digits. */
const DIGEST_DIGITS = 32;

/** A request, as far as it is compared. */
export interface ComparedRequest {
  readonly method: string;
  /** Path with the query. */
  readonly target: string;
  readonly clientAccount: string | undefined;
  readonly body: Buffer | undefined;
}

/**
 * @param request - a request that was read whole.
 * @returns Hexadecimal; the same for each arrival of the request, at any daemon.
 */
export function requestDigest({ method, target, clientAccount, body }: ComparedRequest): string {
  const head = JSON.stringify([method, target, clientAccount ?? null]);
  const hash = createHash('sha256').update(head);
  if (body) hash.update('\n').update(body);
  return hash.digest('hex').slice(0, DIGEST_DIGITS);
}
