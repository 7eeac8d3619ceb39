/**
 * What the crash of a runner may be due to in a request that was running there: the request as a whole, or any part of
 * its prompt that other requests share.
 */
import { createHash } from 'node:crypto';

import murmurhash from 'murmurhash';

import type { CrashSubject } from './quarantineTypes.js';
import type { ComparedRequest } from './requestDigest.js';
import { DIGEST_DIGITS, requestDigest } from './requestDigest.js';

/** Maximum number of parts of one prompt that are told apart; the outermost ones. */
const MAXIMUM_PARTS = 32;

/** Maximum length of a part's name in logs and messages, in characters. */
const MAXIMUM_NAME_LENGTH = 40;

/** A request with the parts of its prompt. */
export interface PromptedRequest extends ComparedRequest {
  readonly service: string;
  /** Ids of the parts that other requests share, the outermost first. */
  readonly sharedParts: readonly string[];
}

/**
 * @param service - service whose runners read the part.
 * @param id - id of the part.
 * @returns The part as a possible cause of crashes.
 */
export function partSubject(service: string, id: string): CrashSubject {
  const text = JSON.stringify([service, id]);
  const digest = createHash('sha256').update(text).digest('hex').slice(0, DIGEST_DIGITS);
  return { digest, part: `${service}/${id}`.slice(0, MAXIMUM_NAME_LENGTH) };
}

/** The request as a whole, then the shared parts of its prompt. */
export type RequestSubjects = readonly [CrashSubject, ...CrashSubject[]];

/**
 * @param request - a completely received request.
 * @returns What a crash under it may be due to.
 */
export function requestSubjects({
  service,
  sharedParts,
  ...request
}: PromptedRequest): RequestSubjects {
  const parts = [...new Set(sharedParts)].slice(0, MAXIMUM_PARTS);
  return [{ digest: requestDigest(request) }, ...parts.map((part) => partSubject(service, part))];
}

/**
 * @param subjects - subjects of any requests; those without a record may be missing.
 * @param maximum - maximum number of names.
 * @returns Names of the parts among them, for the log; `undefined` if there are none.
 */
export function namesOfParts(
  subjects: readonly (CrashSubject | undefined)[],
  maximum = Number.POSITIVE_INFINITY,
): string | undefined {
  const names = subjects.map((subject) => subject?.part).filter((part) => part !== undefined);
  return [...new Set(names)].slice(0, maximum).join() || undefined;
}

/**
 * @param softwareVersion - version of a runner's software; empty if it has none.
 * @returns Its hash, as crash records hold it.
 */
export function hashOfVersion(softwareVersion: string): number {
  return softwareVersion === '' ? 0 : murmurhash.v3(softwareVersion);
}
