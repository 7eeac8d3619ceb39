/**
 * Operators' tokens: random, stored in the settings as their SHA-256, compared in constant time.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

import type { OPERATOR_ROLES } from './operatorsFeature.js';

const TOKEN_BYTES = 32;

/** Largest length in characters. A longer token is not hashed, so that a huge header costs no processor time. */
const MAXIMUM_TOKEN_LENGTH = 512;

const BEARER = /^Bearer ([^\s]+)$/u;

/** What an operator may do. */
export type OperatorRole = (typeof OPERATOR_ROLES)[number];

/** An operator, as recognised by the token. */
export interface Operator {
  readonly name: string;
  readonly role: OperatorRole;
}

/** A token as the settings store it. */
export interface StoredToken extends Operator {
  /** SHA-256 of the token, as 64 hexadecimal digits. */
  readonly sha256: string;
}

/** Options of {@link OperatorTokens}. */
export interface OperatorTokensOptions {
  tokens: readonly StoredToken[];
}

function digestOf(token: string): Buffer {
  // A token has 32 random bytes, so a fast hash without salt is enough: a
  // dictionary attack has no candidates to try.
  return createHash('sha256').update(token, 'utf8').digest();
}

/**
 * Creates a random token.
 *
 * @returns The token for the operator, and its digest for the settings.
 */
export function createOperatorToken(): { token: string; sha256: string } {
  const token = randomBytes(TOKEN_BYTES).toString('base64url');
  return { token, sha256: digestOf(token).toString('hex') };
}

/** Finds the operator to whom a token belongs. */
export class OperatorTokens {
  private readonly tokens: readonly { operator: Operator; digest: Buffer }[];

  /**
   * @param options - the accepted tokens.
   */
  constructor({ tokens }: OperatorTokensOptions) {
    this.tokens = tokens.map(({ name, role, sha256 }) => ({
      operator: { name, role },
      digest: Buffer.from(sha256, 'hex'),
    }));
  }

  /**
   * Compares every token even after a match, so that the time taken reveals nothing about the tokens.
   *
   * @param authorization - the `Authorization` header as received.
   * @returns The operator, or `undefined` without a valid token.
   */
  operatorOf(authorization: string | undefined): Operator | undefined {
    const token = BEARER.exec(authorization ?? '')?.[1];
    if (token === undefined || token.length > MAXIMUM_TOKEN_LENGTH) return undefined;
    const digest = digestOf(token);
    let found: Operator | undefined;
    for (const candidate of this.tokens) {
      if (timingSafeEqual(candidate.digest, digest)) found = candidate.operator;
    }
    return found;
  }
}
