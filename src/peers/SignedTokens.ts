/**
 * Tokens that only a holder of the fleet secret can create: HMAC-SHA-256 (RFC 2104) over purpose and payload.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';

import type { DescMessage, MessageInitShape, MessageShape } from '@bufbuild/protobuf';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import { SignedTokenSchema } from '../generated/baobabdock/v1/peers_pb.js';

/** What a token is used for; a token of one purpose is not valid for another one. */
export type TokenPurpose = 'peer' | 'peer-answer' | 'binding' | 'resume' | 'resume-event';

/** Options of {@link SignedTokens}. */
export interface SignedTokensOptions {
  /**
   * Accepted secrets of the fleet; the first one signs. There is more than one only while a secret is being replaced.
   */
  secrets: readonly string[];
}

/** Minimum length of a secret in bytes: half of the length of the hash. */
export const MINIMUM_SECRET_BYTES = 16;

/**
 * Maximum length of a token in characters, so that an unauthenticated caller cannot make the daemon decode megabytes.
 */
export const MAXIMUM_TOKEN_CHARACTERS = 2_048;

/** Length of a tag in bytes: one guess in 2^96 is right, and each guess takes a request. */
const TAG_BYTES = 12;

/** Length of a whole SHA-256 signature in bytes. */
const SIGNATURE_BYTES = 32;

/**
 * Length of a truncated signature in bytes (HMAC-SHA-256-128): half of the hash, which is the minimum that RFC 2104
 * (section 5) recommends and the length that RFC 4868 uses.
 */
const TRUNCATED_SIGNATURE_BYTES = 16;

function signatureOf(secret: string, purpose: TokenPurpose, payload: Uint8Array | string): Buffer {
  // A purpose contains no zero byte, so no two pairs of purpose and payload yield the same signed bytes.
  return createHmac('sha256', secret).update(`${purpose}\0`).update(payload).digest();
}

/** Signs and opens tokens. It does not check expiry, which the users of the payloads have to do. */
export class SignedTokens {
  private readonly secrets: readonly string[];

  /**
   * @param options - the accepted secrets.
   * @throws RangeError if there is no secret or one is too short.
   */
  constructor({ secrets }: SignedTokensOptions) {
    if (secrets.length === 0) throw new RangeError('At least one fleet secret is needed.');
    const short = secrets.some((secret) => Buffer.byteLength(secret) < MINIMUM_SECRET_BYTES);
    if (short) throw new RangeError(`A fleet secret has at least ${MINIMUM_SECRET_BYTES} bytes.`);
    this.secrets = [...secrets];
  }

  /**
   * Signs a payload.
   *
   * @param purpose - the purpose of the token.
   * @param schema - the message type of the payload.
   * @param payload - the payload.
   * @returns A `SignedToken` in base64url, which is safe in headers, URLs and event ids.
   */
  sign<Payload extends DescMessage>(
    purpose: TokenPurpose,
    schema: Payload,
    payload: MessageInitShape<Payload>,
  ): string {
    const bytes = toBinary(schema, create(schema, payload));
    const [secret = ''] = this.secrets;
    const signature = signatureOf(secret, purpose, bytes);
    const token = create(SignedTokenSchema, { payload: bytes, signature, purpose });
    return Buffer.from(toBinary(SignedTokenSchema, token)).toString('base64url');
  }

  /**
   * Verifies a token and decodes its payload.
   *
   * @param purpose - the required purpose.
   * @param schema - the message type of the payload.
   * @param token - the received token.
   * @returns The payload, or `undefined` if the token is malformed, for another purpose, or not signed with an accepted
   *   secret.
   */
  open<Payload extends DescMessage>(
    purpose: TokenPurpose,
    schema: Payload,
    token: string,
  ): MessageShape<Payload> | undefined {
    if (token.length === 0 || token.length > MAXIMUM_TOKEN_CHARACTERS) return undefined;
    try {
      const signed = fromBinary(SignedTokenSchema, Buffer.from(token, 'base64url'));
      if (signed.purpose !== purpose) return undefined;
      if (!this.hasValidSignature(purpose, signed.payload, signed.signature)) return undefined;
      return fromBinary(schema, signed.payload);
    } catch {
      // The reason is not reported, because it would help a forger of tokens.
      return undefined;
    }
  }

  /**
   * Signs a payload of which the receiver already knows a part. The signature covers the whole payload, but the known
   * part, the purpose and the second half of the signature are not sent. This saves bytes in the tokens that go with
   * each call.
   *
   * @param purpose - the purpose of the token.
   * @param schema - the message type of the payload.
   * @param sent - the fields that the receiver does not know.
   * @param known - the fields that the receiver knows; the same ones have to be given to
   *   {@link SignedTokens.openCompact}.
   * @returns A `SignedToken` in base64url.
   */
  signCompact<Payload extends DescMessage>(
    purpose: TokenPurpose,
    schema: Payload,
    sent: MessageInitShape<Payload>,
    known: MessageInitShape<Payload>,
  ): string {
    const covered = toBinary(schema, create(schema, { ...sent, ...known }));
    const [secret = ''] = this.secrets;
    const signature = signatureOf(secret, purpose, covered).subarray(0, TRUNCATED_SIGNATURE_BYTES);
    const payload = toBinary(schema, create(schema, sent));
    const token = create(SignedTokenSchema, { payload, signature });
    return Buffer.from(toBinary(SignedTokenSchema, token)).toString('base64url');
  }

  /**
   * Verifies and decodes a token that {@link SignedTokens.signCompact} created.
   *
   * @param purpose - the required purpose.
   * @param schema - the message type of the payload.
   * @param token - the received token.
   * @param known - the required values of the known fields; they replace those in the token, if any.
   * @returns The whole payload, or `undefined` if the token is malformed, not signed with an accepted secret, or signed
   *   for another purpose or with other known fields; the last three cannot be distinguished.
   */
  openCompact<Payload extends DescMessage>(
    purpose: TokenPurpose,
    schema: Payload,
    token: string,
    known: MessageInitShape<Payload>,
  ): MessageShape<Payload> | undefined {
    if (token.length === 0 || token.length > MAXIMUM_TOKEN_CHARACTERS) return undefined;
    try {
      const bytes = Buffer.from(token, 'base64url');
      // Node.js skips characters outside base64url, so two tokens with a comma between them, as in a repeated header,
      // could be read as the second one.
      if (bytes.toString('base64url') !== token) return undefined;
      const { payload, signature } = fromBinary(SignedTokenSchema, bytes);
      const whole = Object.assign(fromBinary(schema, payload), known);
      const isValid = this.hasValidSignature(
        purpose,
        toBinary(schema, whole),
        signature,
        TRUNCATED_SIGNATURE_BYTES,
      );
      return isValid ? whole : undefined;
    } catch {
      // The reason is not reported, as in `open`.
      return undefined;
    }
  }

  /**
   * Creates a tag that authenticates a short text, which is sent in plain beside the tag. It takes an eighth of the
   * work of {@link SignedTokens.sign}, which matters where each part of a stream is signed.
   *
   * @param purpose - the purpose of the text.
   * @param text - the text.
   * @returns The first bytes of the signature in base64url.
   */
  tag(purpose: TokenPurpose, text: string): string {
    const [secret = ''] = this.secrets;
    return signatureOf(secret, purpose, text).toString('base64url', 0, TAG_BYTES);
  }

  /**
   * Verifies the tag of a text.
   *
   * @param purpose - the required purpose.
   * @param text - the text.
   * @param tag - the tag that was received with the text.
   * @returns Whether {@link SignedTokens.tag} created the tag with one of the accepted secrets.
   */
  verifyTag(purpose: TokenPurpose, text: string, tag: string): boolean {
    const received = Buffer.from(tag);
    return this.secrets.some((secret) => {
      const signature = signatureOf(secret, purpose, text);
      const expected = Buffer.from(signature.toString('base64url', 0, TAG_BYTES));
      return expected.length === received.length && timingSafeEqual(expected, received);
    });
  }

  private hasValidSignature(
    purpose: TokenPurpose,
    payload: Uint8Array,
    signature: Uint8Array,
    signatureBytes = SIGNATURE_BYTES,
  ): boolean {
    return this.secrets.some((secret) => {
      const expected = signatureOf(secret, purpose, payload).subarray(0, signatureBytes);
      return expected.length === signature.length && timingSafeEqual(expected, signature);
    });
  }
}
