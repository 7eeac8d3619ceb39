/**
 * A request on its way through a run.
 */
import type { GateRequest } from '../../src/gates/gateTypes.js';
import type { WarmRunnerEntry } from '../../src/homes/homeTypes.js';
import type { PlacementRefusal } from '../../src/routing/placementTypes.js';
import type { EntryChoice } from './entryPolicies.js';
import type { SimulatedDaemon } from './SimulatedDaemon.js';
import type { Turn } from './Workload.js';

/** A request on its way. */
export interface Flow {
  readonly turn: Turn;
  readonly entry: SimulatedDaemon;
  readonly arrivedAt: number;
  readonly refusals: PlacementRefusal[];
  readonly warm: readonly WarmRunnerEntry[];
  queued: boolean;
}

/** A request at one gate. */
export interface Attempt {
  readonly flow: Flow;
  readonly request: GateRequest;
  readonly runnerId: string;
  /** Where it waits; undefined before it got there and after it started. */
  readonly waitsAt: SimulatedDaemon | undefined;
}

/** What a gate's request is made of. */
export interface RequestParts extends EntryChoice {
  readonly attemptId: string;
  readonly turn: Turn;
  readonly deadline: number;
  readonly bound: number;
}

/**
 * @param parts - turn, choice and times.
 * @returns The request as the gate weighs it.
 */
export function requestOf(parts: RequestParts): GateRequest {
  const { attemptId, turn, deadline, bound, cachedTokens, lastChoice } = parts;
  return {
    attemptId,
    requestId: attemptId,
    clientAccount: turn.chat.clientAccount,
    priority: 'standard',
    deadline,
    promptTokens: turn.promptTokens,
    cachedTokens,
    maximumTokens: turn.maximumTokens,
    bound,
    lastChoice,
    accountWeight: 1,
    accountMaximumConcurrent: 0,
    accountMaximumTokensPerMinute: 0,
  };
}
