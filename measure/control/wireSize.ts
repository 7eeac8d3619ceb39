/**
 * Bytes that a message takes between two daemons: its serialized form as the link sends it, and HTTP's part.
 */
import { gzipSync } from 'node:zlib';

import { toBinary } from '@bufbuild/protobuf';

import { GossipMessageSchema } from '../../src/generated/baobabdock/v1/peers_pb.js';
import { toGossipMessage } from '../../src/membership/membershipCodec.js';
import type { Gossip } from '../../src/membership/membershipTypes.js';

/** Headers and framing of a signed call without a body, as counted at the sockets of ConnectPeerLink and PeerServer. */
export const REQUEST_OVERHEAD_BYTES = 285;
export const RESPONSE_OVERHEAD_BYTES = 121;
const COMPRESSION_HEADER_BYTES = 24;

/** The link's own threshold. */
const COMPRESSION_THRESHOLD_BYTES = 256;

/**
 * @param bytes - a serialized message.
 * @returns Bytes of its body with the header that names a compression.
 */
export function bodyBytes(bytes: Uint8Array): number {
  if (bytes.length < COMPRESSION_THRESHOLD_BYTES) return bytes.length;
  return gzipSync(bytes).length + COMPRESSION_HEADER_BYTES;
}

/**
 * @param from - the sender's name.
 * @param gossip - its message.
 * @returns Bytes of the body.
 */
export function gossipBytes(from: string, gossip: Gossip): number {
  return bodyBytes(toBinary(GossipMessageSchema, toGossipMessage(from, gossip)));
}
