/**
 * Divides streams among buckets, each of which is kept under keys of its own in the store.
 */

/** Number of buckets; a transaction of the store with an entry for each of them has room to spare. */
export const STREAM_BUCKETS = 16;

/**
 * @param stream - key of a stream.
 * @returns Its bucket, from 0.
 */
export function bucketOf(stream: bigint): number {
  return Number(BigInt.asUintN(64, stream) % BigInt(STREAM_BUCKETS));
}
