/**
 * The state of this daemon's gates as operators see it.
 */
import type { RunnerState } from '../gates/gateTypes.js';

/** Current state of one gate. */
export interface GateStatusReading {
  readonly runnerId: string;
  readonly service: string;
  readonly state: RunnerState;
  /** Work in progress and queued, in tokens. */
  readonly load: number;
  /** Mean load of the pool's runners, in tokens. */
  readonly meanLoad: number;
  readonly running: number;
  readonly queued: number;
}

/** Reads the gates of a daemon. Implemented by the part that owns them. */
export abstract class GateStatusSource {
  /** @returns One reading for each gate that this daemon holds. */
  abstract gateReadings(): readonly GateStatusReading[];
}
