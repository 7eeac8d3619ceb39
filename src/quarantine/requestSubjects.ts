/**
 * What the crash of a runner may be due to in a request that was running there: the request as a whole, or any part of
 * its prompt that other requests share.
 */
import { createHash } from 'node:crypto';

import murmurhash from 'murmurhash';

import type { CrashSubject } from './quarantineTypes.js';
import type { ComparedRequest } from './requestDigest.js';
import { DIGEST_DIGITS, requestDigest } from './requestDigest.js';

/** Maximum length of a part's name in logs and messages, in characters. */
const MAXIMUM_NAME_LENGTH = 40;

/** Hexadecimal digits of a digest that a number holds exactly. */
const KEY_DIGITS = 13;

/** A request with the parts of its prompt. */
export interface PromptedRequest extends ComparedRequest {
  readonly service: string;
  /** Returns the ids of all parts that other requests share, the outermost first. */
  readonly allSharedParts: () => readonly string[];
}

/** Options of {@link RequestSubjects}. */
export interface RequestSubjectsOptions {
  /** Digest of the request as a whole. */
  digest: string;
  service?: string;
  /** Returns the ids of the parts that other requests share. */
  partIds?: () => readonly string[];
}

function digestOfPart(service: string, id: string): string {
  const text = JSON.stringify([service, id]);
  return createHash('sha256').update(text).digest('hex').slice(0, DIGEST_DIGITS);
}

/**
 * @param service - service whose runners read the part.
 * @param id - id of the part.
 * @returns The part as a possible cause of crashes.
 */
export function partSubject(service: string, id: string): CrashSubject {
  return {
    digest: digestOfPart(service, id),
    part: `${service}/${id}`.slice(0, MAXIMUM_NAME_LENGTH),
  };
}

/**
 * @param digest - digest of a part.
 * @returns Its first 52 bits; a prompt may have thousands of parts, which take 8 bytes each in this form.
 */
export function keyOfPart(digest: string): number {
  return Number.parseInt(digest.slice(0, KEY_DIGITS), 16);
}

/** The request as a whole, and the shared parts of its prompt. */
export class RequestSubjects {
  readonly whole: CrashSubject;

  /** Keys of the parts, each once, the outermost first. */
  readonly partKeys: Float64Array;

  private readonly service: string;

  private readonly partIds: () => readonly string[];

  /**
   * @param options - the digest of the request and its parts.
   */
  constructor({ digest, service = '', partIds = () => [] }: RequestSubjectsOptions) {
    this.whole = { digest };
    this.service = service;
    this.partIds = partIds;
    this.partKeys = Float64Array.from(this.distinctIds, (id) =>
      keyOfPart(digestOfPart(service, id)),
    );
  }

  /**
   * Computes subjects, which are not kept for each request because a prompt may have thousands of parts.
   *
   * @param isWanted - tells by its key whether a part is wanted; all are by default.
   * @returns The parts.
   */
  parts(isWanted: (key: number) => boolean = () => true): CrashSubject[] {
    return [...this.distinctIds]
      .filter((_, index) => isWanted(this.partKeys[index] ?? 0))
      .map((id) => partSubject(this.service, id));
  }

  /**
   * @param digest - digest of a request or of a part.
   * @returns Whether it is that of one of the subjects.
   */
  includes(digest: string): boolean {
    return this.whole.digest === digest || this.partKeys.includes(keyOfPart(digest));
  }

  private get distinctIds(): Set<string> {
    return new Set(this.partIds());
  }
}

/**
 * @param request - a completely received request.
 * @returns What a crash under it may be due to.
 */
export function requestSubjects({
  service,
  allSharedParts,
  ...request
}: PromptedRequest): RequestSubjects {
  return new RequestSubjects({ digest: requestDigest(request), service, partIds: allSharedParts });
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
