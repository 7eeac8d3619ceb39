/**
 * Converts the state of a daemon's gates to and from messages between daemons: pool loads for gossip, cache
 * changes for the homes of chats, and handovers.
 */
import { create } from '@bufbuild/protobuf';

import { HomeChangeSchema, PoolDigestSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type {
  HandOverGateRequest,
  HomeChange,
  PoolDigest,
} from '../generated/baobabdock/v1/peers_pb.js';
import type { GateTask } from './GateTask.js';
import type { RunnerCacheChange } from './GateTaskRunnerWatch.js';
import type { HeldWork } from './gateTypes.js';

/**
 * Computes the load of a gate's runner as it counts towards the pool's mean.
 *
 * @param gate - the gate.
 * @returns Tokens of work on the runner, including work that other holders started, and the share of the
 *   queued work that counts towards the mean.
 */
export function totalLoadOf(gate: Pick<GateTask, 'snapshot'>): number {
  const { load, foreignWork } = gate.snapshot();
  return load + foreignWork;
}

/**
 * Sums the load of each pool. Runners that take no work are left out: they would lower the pool's mean, and
 * with it the load bound of all other runners.
 *
 * @param gates - the gates that one daemon holds.
 * @returns One digest for each pool.
 */
export function poolDigests(gates: readonly GateTask[]): PoolDigest[] {
  const pools = new Map<string, PoolDigest>();
  for (const gate of gates) {
    if (!gate.watch.isUsable) continue;
    const load = totalLoadOf(gate);
    const pool =
      pools.get(gate.service) ??
      create(PoolDigestSchema, { service: gate.service, lightestLoad: Number.POSITIVE_INFINITY });
    pool.runners += 1;
    pool.load += load;
    if (load < pool.lightestLoad) {
      pool.lightestLoad = load;
      pool.lightestRunner = gate.runnerId;
    }
    pools.set(gate.service, pool);
  }
  return [...pools.values()];
}

/**
 * Converts a cache change to the message for the chat's home.
 *
 * @param change - the cache change that a gate detected.
 * @returns The message.
 */
export function toHomeChange({
  chat,
  service,
  runnerId,
  cachedTokens,
}: RunnerCacheChange): HomeChange {
  return create(HomeChangeSchema, { chat, service, runnerId, cachedTokens });
}

/**
 * Converts the attempts of a handover to plain data, so that they can be recorded with a session.
 *
 * @param request - the handover message.
 * @returns The attempts on the runner.
 */
export function heldWorkOf({ attempts }: HandOverGateRequest): HeldWork[] {
  return attempts.map(({ attemptId, clientAccount, work }) => ({ attemptId, clientAccount, work }));
}
