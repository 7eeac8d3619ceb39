/**
 * Converts the load digests of pools into the form in which membership gossips them.
 */
import type { PoolDigest } from '../generated/baobabdock/v1/peers_pb.js';
import type { PoolNews } from '../membership/membershipTypes.js';

/**
 * @param digest - load of one pool on the gates of this daemon, as a protobuf message.
 * @returns The same values as a plain object.
 */
export function poolNewsOf(digest: PoolDigest): PoolNews {
  const { service, runners, load, lightestRunner, lightestLoad } = digest;
  return { service, runners, load, lightestRunner, lightestLoad };
}
