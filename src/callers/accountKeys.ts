/**
 * Creates and verifies the keys of client accounts: `<account>.<secret>`, stored only as SHA-256 of salt and key.
 *
 * A secret has 32 random bytes, so a fast hash is sufficient: dictionary attacks are not possible.
 */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

const SECRET_BYTES = 32;
const SALT_BYTES = 16;
const KEY_ID_BYTES = 6;

/** Longest key in characters. Longer ones are rejected without hashing, so that a huge header costs no CPU time. */
const MAXIMUM_KEY_LENGTH = 512;

/** A key as it is stored in the configuration: its id, and the salted hash. */
export interface StoredKey {
  readonly keyId: string;
  readonly salt: Uint8Array;
  readonly digest: Uint8Array;
}

/** A new key. The key itself is shown to the operator once; only its hash is stored. */
export interface CreatedKey {
  readonly key: string;
  readonly stored: StoredKey;
}

/** Placeholder compared against when an account does not exist or has no keys; no key hashes to it. */
const PLACEHOLDER_KEYS: readonly StoredKey[] = [
  { keyId: 'absent', salt: randomBytes(SALT_BYTES), digest: randomBytes(SECRET_BYTES) },
];

/**
 * Hashes a key as the configuration stores it.
 *
 * @param salt - the random salt of this key.
 * @param key - the complete key, including the account name.
 * @returns The hash, 32 bytes.
 */
export function hashKey(salt: Uint8Array, key: string): Uint8Array {
  return createHash('sha256').update(salt).update(key, 'utf8').digest();
}

/**
 * Creates a new random key for an account.
 *
 * @param account - the name of the account.
 * @returns The key to give to the account's owner, and the hash to store.
 */
export function createKey(account: string): CreatedKey {
  const key = `${account}.${randomBytes(SECRET_BYTES).toString('base64url')}`;
  const salt = randomBytes(SALT_BYTES);
  const keyId = randomBytes(KEY_ID_BYTES).toString('hex');
  return { key, stored: { keyId, salt, digest: hashKey(salt, key) } };
}

/**
 * Extracts the account name from a key. The secret contains no dot, so the last dot is the separator.
 *
 * @param key - the key that the caller sent.
 * @returns The name, or `undefined` for anything that is not a key.
 */
export function accountNameOfKey(key: string): string | undefined {
  if (key.length > MAXIMUM_KEY_LENGTH) return undefined;
  const separator = key.lastIndexOf('.');
  if (separator <= 0 || separator === key.length - 1) return undefined;
  return key.slice(0, separator);
}

/**
 * Checks a key against the stored ones.
 *
 * An early return would be a timing side channel: from the latency an attacker could learn which accounts exist
 * and how much of a digest matches. Therefore every stored key is compared in constant time, and an account
 * without keys is checked against a placeholder that no key matches.
 *
 * @param stored - the keys of the account; empty or missing when the account does not exist.
 * @param key - the key that the caller sent.
 * @returns The id of the matching key, or `undefined`.
 */
export function verifyKey(
  stored: readonly StoredKey[] | undefined,
  key: string,
): string | undefined {
  const candidates = stored && stored.length > 0 ? stored : PLACEHOLDER_KEYS;
  let matching: string | undefined;
  for (const candidate of candidates) {
    const digest = hashKey(candidate.salt, key);
    const sameLength = candidate.digest.length === digest.length;
    const equal = timingSafeEqual(
      digest,
      sameLength ? candidate.digest : Buffer.alloc(digest.length),
    );
    if (equal && sameLength) matching = candidate.keyId;
  }
  return matching;
}
