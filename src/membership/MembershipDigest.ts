/**
 * Hashes of the present members for anti-entropy: two daemons compare a few bytes to see whether they know the
 * same members.
 */
import murmurhash from 'murmurhash';

import type { MemberRecord } from './membershipTypes.js';

/**
 * Hash buckets that are compared separately: with 32, one difference makes a thirty-second of the fleet's
 * records be sent.
 */
export const BUCKETS = 32;

/**
 * @param daemonId - a daemon's name.
 * @returns The index of the daemon's hash bucket.
 */
export function bucketOf(daemonId: string): number {
  return murmurhash.v3(daemonId) % BUCKETS;
}

/**
 * Suspect counts as alive, because a suspicion is temporary. Dead and left members are not in the hash, because
 * daemons remove them at different times.
 */
function hashOf({ daemonId, incarnation, state }: MemberRecord): number {
  if (state === 'dead' || state === 'left') return 0;
  const hashedState = state === 'leaving' ? 'leaving' : 'alive';
  return murmurhash.v3(`${daemonId} ${incarnation} ${hashedState}`);
}

/** The exclusive or of the members' hashes, by bucket, so that the order of changes does not matter. */
export class MembershipDigest {
  private readonly buckets = new Array<number>(BUCKETS).fill(0);

  /**
   * Updates the hashes for a changed record.
   *
   * @param before - the previous record, if there was one.
   * @param after - the new record, if there is one.
   * @returns Whether a hash changed.
   */
  update(before: MemberRecord | undefined, after: MemberRecord | undefined): boolean {
    const record = after ?? before;
    if (!record) return false;
    const change = (before ? hashOf(before) : 0) ^ (after ? hashOf(after) : 0);
    if (change === 0) return false;
    const bucket = bucketOf(record.daemonId);
    this.buckets[bucket] = (this.buckets[bucket]! ^ change) >>> 0;
    return true;
  }

  /** @returns The 32-bit hash of all members. */
  hash(): number {
    return this.buckets.reduce((hash, bucket) => (hash ^ bucket) >>> 0, 0);
  }

  /** @returns The hash of each bucket. */
  bucketHashes(): number[] {
    return [...this.buckets];
  }

  /**
   * @param hashes - a peer's bucket hashes.
   * @returns The indexes of the buckets that differ; all, if the peer has another number of buckets.
   */
  differingBuckets(hashes: readonly number[]): ReadonlySet<number> {
    if (hashes.length !== BUCKETS) return new Set(this.buckets.keys());
    return new Set(
      [...this.buckets.keys()].filter((index) => this.buckets[index] !== hashes[index]),
    );
  }
}
