/**
 * Inputs and results of the choice of a runner for a request. All of it is JSON data, because the same structure is
 * recorded, replayed and written to the log.
 */
import type { RefusalReason, RunnerState } from '../gates/gateTypes.js';
import type { WarmRunnerEntry } from '../homes/homeTypes.js';

/** How far from its daemon a request may go if the nearest runners are busy. */
export type Overflow = 'never' | 'region' | 'anywhere';

/** The routing policy that operators set for a service; see `RoutingPolicy` in the schema. */
export interface PlacementPolicy {
  /** Highest load of a runner, as a multiple of the mean load. */
  readonly bound: number;
  /** Maximum number of warm runners that are compared. */
  readonly warmChoices: number;
  /** Number of runners, first in hash order, among which a cold chat goes to the least loaded. */
  readonly coldChoices: number;
  /** Weight of cache reuse against load: from 0 (load only) to 1 (reuse only). */
  readonly reuseWeight: number;
  readonly overflow: Overflow;
}

/** A runner that may be chosen. */
export interface PlacementCandidate {
  readonly id: string;
  readonly state: RunnerState;
  readonly dataCentre: string;
  readonly region: string;
  /** Weight of the runner: its load share grows with the number of accelerators; 0 counts as 1. */
  readonly accelerators: number;
}

/** Refusal by a gate, which has not run the request. */
export interface PlacementRefusal {
  readonly runnerId: string;
  readonly reason: RefusalReason;
  /** Load in tokens, exact at the time of the refusal. */
  readonly load: number;
  readonly mean: number;
  /** Time after which the gate expects to have room, in ms. */
  readonly retryAfterMilliseconds: number;
  /** Whether the gate was asked to queue the request. */
  readonly lastChoice: boolean;
}

/** A request for which a runner has to be chosen, with all that is known for the choice. */
export interface PlacementQuestion {
  readonly requestId: string;
  readonly service: string;
  readonly chat: string;
  readonly clientAccount: string;
  readonly promptTokens: number;
  readonly maximumTokens: number;
  /** Time until the caller's deadline, in ms. */
  readonly deadlineMilliseconds: number;
  /** Location of the daemon that asks. */
  readonly dataCentre: string;
  readonly region: string;
  readonly policy: PlacementPolicy;
  /**
   * A list that is replaced and never modified when the runners change, because results derived from it are cached.
   */
  readonly candidates: readonly PlacementCandidate[];
  /** Runners that have cached the chat's prefix, as reported by the chat's home. */
  readonly warm: readonly WarmRunnerEntry[];
  /** Mean load of a runner, in tokens. */
  readonly mean: number;
  /**
   * Last reported loads of some runners, in tokens: the least loaded of each daemon that holds gates.
   */
  readonly lightest: readonly { readonly runnerId: string; readonly load: number }[];
  /** Number of runners that the account may use because of its limits; `undefined` means all. */
  readonly accountRunners?: number;
  /** Refusals so far, in the order in which the gates were asked. */
  readonly refusals: readonly PlacementRefusal[];
}

/** Input message of the placement decisions. */
export interface PlacementMessage {
  readonly kind: 'place';
  readonly question: PlacementQuestion;
}

/** Why a runner was chosen. */
export type ChoiceReason =
  /** The chat's prefix is cached there. */
  | 'warm'
  /** It has refused, but waiting there takes less time than recomputing the prefix elsewhere. */
  | 'warm_wait'
  /** The least loaded of the first runners in hash order. */
  | 'cold'
  /** The next in hash order after refusals. */
  | 'next_in_order'
  /** It has refused, and expects to have room before the others. */
  | 'soonest'
  /** One of the least loaded runners known. */
  | 'lightest';

/** Why a runner was not chosen. */
export type PassedOverReason =
  | 'leaving'
  | 'down'
  | 'ejected'
  | 'suspect'
  | 'too_far'
  | 'more_loaded'
  | 'less_cached'
  | 'unknown_runner'
  | RefusalReason;

/** A runner that was considered and not chosen. */
export interface PassedOver {
  readonly runnerId: string;
  readonly reason: PassedOverReason;
}

/** The runner to ask next. */
export interface PlacementChoice {
  readonly kind: 'choose';
  readonly requestId: string;
  readonly runnerId: string;
  readonly reason: ChoiceReason;
  /** Estimated number of prompt tokens that are cached there. */
  readonly cachedTokens: number;
  /** Whether the gate should queue the request instead of refusing it because of the load bound. */
  readonly lastChoice: boolean;
  /** Estimated load there, as a multiple of the mean. */
  readonly relativeLoad: number;
  /** Number of the attempt; 1 for the first gate that is asked. */
  readonly attempt: number;
  readonly passedOver: readonly PassedOver[];
}

/** Why no runner is left to ask. */
export type GiveUpReason = 'no_runner' | 'refused_everywhere' | 'account_limit' | 'deadline';

/** No runner is left; the caller gets its final answer at once. */
export interface PlacementGiveUp {
  readonly kind: 'give_up';
  readonly requestId: string;
  readonly reason: GiveUpReason;
  /** Time after which a retry may succeed, in ms; 0 if unknown. */
  readonly retryAfterMilliseconds: number;
  readonly passedOver: readonly PassedOver[];
}

/** Result of the placement decisions. */
export type PlacementAction = PlacementChoice | PlacementGiveUp;
