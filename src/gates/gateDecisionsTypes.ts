/**
 * The options of a gate and the snapshot of its state.
 */
import type { GateOpeningOptions, GateState } from './GateOpening.js';

/** Options of `GateDecisions`. */
export interface GateDecisionsOptions extends GateOpeningOptions {
  /** Requests that may be on the runner at once. */
  maximumConcurrent?: number;
  /** Requests that may wait at the gate. */
  maximumQueued?: number;
  /** Age in milliseconds after which requests of a lower class get some of the starts; 0 means never. */
  agingMilliseconds?: number;
  /** Requests that a runner may have at once even if its load is then above the bound; see `GateBound`. */
  floorRequests?: number;
}

/** A copy of a gate's state and load at one moment. */
export interface GateSnapshot {
  readonly state: GateState;
  readonly running: number;
  readonly queued: number;
  /** Tokens of work on the runner that this gate sent. */
  readonly runningWork: number;
  readonly queuedWork: number;
  /** Tokens of work that count towards the pool's mean; see `advertisedLoad`. */
  readonly load: number;
  /** Estimated tokens of work on the runner that other daemons sent. */
  readonly foreignWork: number;
  /** Throughput of the runner in tokens a second, as measured by this gate. */
  readonly tokensPerSecond: number;
}
