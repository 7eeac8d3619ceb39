/**
 * Digest of what a bound request asks for, so that a binding can't be used for another request.
 */
import { createHash } from 'node:crypto';

import type { CallerRequest } from './requestTypes.js';

/**
 * Computes the digest of a request. Headers are left out, because a repeat through another daemon
 * may have different ones.
 *
 * @param request - the request.
 * @returns SHA-256 over service, method, path and body, in base64url.
 */
export function requestDigest({ service, method, path, body }: CallerRequest): string {
  const hash = createHash('sha256');
  for (const part of [service, method, path]) hash.update(part).update('\0');
  return hash.update(body).digest('base64url');
}
