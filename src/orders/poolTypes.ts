/**
 * Observed and wanted state of a pool, as input of the roll-out decisions. All of it is JSON data.
 */
import type { UpstreamState } from '../upstreams/Upstream.js';

/** The state that the configuration wants of every runner of a pool. */
export interface WantedState {
  readonly model: string;
  /** Wanted version; empty if any version will do. */
  readonly version: string;
  /** Size of that version's weights, in bytes; 0 when unknown. */
  readonly weightBytes: number;
  readonly adapters: readonly string[];
  /** Wanted role; empty if any role will do. */
  readonly role: '' | 'prefill' | 'decode' | 'mixed';
}

/** Whether a runner is drained, and whether by the roll-out or by something else, such as an operator. */
export type RunnerDrain = 'none' | 'rollout' | 'other';

/** A runner of the pool in this data centre. */
export interface PoolRunner {
  readonly id: string;
  readonly incarnation: number;
  readonly state: 'live' | 'suspect' | 'ejected' | 'leaving' | 'down';
  readonly drain: RunnerDrain;
}

/** Snapshot of a roll-out in the configuration. */
export interface RolloutPicture {
  readonly name: string;
  readonly state: 'running' | 'halted' | 'rolling_back' | 'finished' | 'rolled_back';
  /** State in which a halted roll-out continues; empty if it is not halted. */
  readonly resumesAs: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Largest share of the service's runners that may be unavailable at once. */
  readonly maximumUnavailableShare: number;
  /** Number of failed runners at which the roll-out halts. */
  readonly maximumFailures: number;
  readonly dataCentres: readonly string[];
  readonly finishedDataCentres: readonly string[];
}

/** Snapshot of the pool as this daemon sees it, from the configuration and the list of runners. */
export interface PoolPicture {
  readonly service: string;
  readonly dataCentre: string;
  /** Revision of the configuration. */
  readonly revision: number;
  /** Lowest configuration revision that is in force on any serving daemon. */
  readonly everywhereRevision: number;
  readonly model: string;
  readonly wantedVersion: string;
  readonly adapters: readonly string[];
  readonly role: WantedState['role'];
  /** Size of each known version's weights, in bytes. */
  readonly weightBytes: Readonly<Record<string, number>>;
  readonly rollout?: RolloutPicture;
  readonly runners: readonly PoolRunner[];
  /** The service's runners in other data centres. */
  readonly elsewhere: { readonly runners: number; readonly unavailable: number };
}

/** Result of a state read: the state that the runner reported, or `silent` if it did not answer. */
export type StateReadResult =
  | { readonly kind: 'state'; readonly state: UpstreamState }
  | { readonly kind: 'silent'; readonly reason: string };

/** Result of a load read: the load that the runner reported, or `silent` if it did not answer. */
export type LoadReadResult =
  | {
      readonly kind: 'load';
      readonly running: number;
      readonly queued: number;
      readonly ageMilliseconds: number;
    }
  | { readonly kind: 'silent'; readonly reason: string };
