/**
 * Sizes of control messages: the schema's own encoding of a typical one, plus what the protocols below add.
 */
import { create, toBinary } from '@bufbuild/protobuf';

import {
  AskHomeRequestSchema,
  AskHomeResponseSchema,
  HomeChangeSchema,
  PoolDigestSchema,
  RefusedSchema,
} from '../../src/generated/baobabdock/v1/peers_pb.js';

/** HTTP/2 frame headers, compressed header fields with the peer token, for one direction of a call. */
export const CALL_OVERHEAD_BYTES = 150;

/** One line of JSON and HTTP headers of a runner's load report, as asked for and answered. */
export const LOAD_REPORT_BYTES = 400;

/** One cache event in a runner's answer. */
export const CACHE_EVENT_BYTES = 60;

const CHAT = 'chat-0123456789abcdef';
const RUNNER = 'runner-1234';

/**
 * @param warm - runners in the answer.
 * @returns Bytes of a question to a home and its answer.
 */
export function askHomeBytes(warm: number): number {
  const request = create(AskHomeRequestSchema, { chat: CHAT, service: 'chat' });
  const places = Array.from({ length: warm }, () => ({
    runnerId: RUNNER,
    cachedTokens: 2_000,
    ageMilliseconds: 20_000,
  }));
  const response = create(AskHomeResponseSchema, { warm: places });
  return (
    toBinary(AskHomeRequestSchema, request).length +
    toBinary(AskHomeResponseSchema, response).length +
    2 * CALL_OVERHEAD_BYTES
  );
}

/** Bytes of one change in a batch that is sent to a home. */
export const HOME_CHANGE_BYTES =
  toBinary(
    HomeChangeSchema,
    create(HomeChangeSchema, {
      chat: CHAT,
      service: 'chat',
      runnerId: RUNNER,
      cachedTokens: 2_000,
    }),
  ).length + 2;

/** Bytes of a refusal; the request's own body is not control traffic. */
export const REFUSAL_BYTES =
  toBinary(
    RefusedSchema,
    create(RefusedSchema, {
      reason: 'above_bound',
      retryAfterMilliseconds: 200,
      load: 20_000,
      mean: 16_000,
    }),
  ).length +
  2 * CALL_OVERHEAD_BYTES;

/** Bytes of a pool's digest in the gossip. */
export const POOL_DIGEST_BYTES =
  toBinary(
    PoolDigestSchema,
    create(PoolDigestSchema, {
      service: 'chat',
      runners: 4,
      load: 80_000,
      lightestRunner: RUNNER,
      lightestLoad: 15_000,
    }),
  ).length + 2;
