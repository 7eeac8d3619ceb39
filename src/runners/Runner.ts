/**
 * One life of one runner, as this daemon knows it.
 */
import { RunnerHealth } from './RunnerHealth.js';

/** Whether a runner may get new work. */
export type RunnerState = 'ready' | 'draining';

/** What the platform's list tells of a runner. */
export interface RunnerEntry {
  /** New at each start of the runner. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly state: RunnerState;
}

/** A runner with what this daemon has under way there. */
export class Runner {
  entry: RunnerEntry;

  readonly health = new RunnerHealth();

  /** Requests of this daemon that the runner has. */
  inFlight = 0;

  /** When anything last came from it, monotonic ms; tells a silent runner from a busy one. */
  lastHeardAt = Number.NEGATIVE_INFINITY;

  /**
   * @param entry - from the platform's list.
   */
  constructor(entry: RunnerEntry) {
    this.entry = entry;
  }
}
