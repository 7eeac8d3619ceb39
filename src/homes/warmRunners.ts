/**
 * Converts warm runners to messages of the peer schema and merges lists of them.
 */
import { create } from '@bufbuild/protobuf';

import type { WarmRunner } from '../generated/baobabdock/v1/peers_pb.js';
import { WarmRunnerSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { WarmRunnerEntry } from './homeTypes.js';
import type { LocalWarmRunner } from './LocalWarmRunners.js';

/**
 * @param place - an entry of a home's directory.
 * @returns The protobuf message.
 */
export function toWarmRunner({
  runnerId,
  cachedTokens,
  ageMilliseconds,
}: WarmRunnerEntry): WarmRunner {
  return create(WarmRunnerSchema, { runnerId, cachedTokens, ageMilliseconds });
}

/**
 * Merges the warm runners of local gates and of the chat's home. For a runner in both lists the gate's entry
 * counts, because it is more recent.
 *
 * @param local - the runners known to local gates.
 * @param remote - the runners that the home returned.
 * @returns Each runner once, those with the most cached tokens first.
 */
export function mergeWarmRunners(
  local: readonly LocalWarmRunner[],
  remote: readonly WarmRunner[],
): WarmRunner[] {
  const own = local.map(({ runnerId, cachedTokens }) =>
    toWarmRunner({ runnerId, cachedTokens, ageMilliseconds: 0 }),
  );
  const others = remote.filter(({ runnerId }) => !own.some((one) => one.runnerId === runnerId));
  return [...own, ...others].sort((a, b) => b.cachedTokens - a.cachedTokens);
}
