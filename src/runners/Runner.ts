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
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly state: RunnerState;
}

/** What a runner told of its load with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** A report says nothing any more after this time, in ms: most requests have ended by then. */
const REPORT_LIFE_MILLISECONDS = 1_000;

/** A runner with what this daemon has under way there. */
export class Runner {
  entry: RunnerEntry;

  readonly health = new RunnerHealth();

  /** Requests of this daemon that the runner has. */
  inFlight = 0;

  /** When anything last came from it, monotonic ms; tells a silent runner from a busy one. */
  lastHeardAt = Number.NEGATIVE_INFINITY;

  private reported = 0;

  private reportedAt = Number.NEGATIVE_INFINITY;

  private inFlightAtReport = 0;

  /**
   * @param entry - from the platform's list.
   */
  constructor(entry: RunnerEntry) {
    this.entry = entry;
  }

  /**
   * @param now - monotonic milliseconds.
   * @param load - what an answer told; counts the request that it answers.
   */
  report(now: number, { running, waiting }: ReportedLoad): void {
    this.reported = running + waiting;
    this.reportedAt = now;
    this.inFlightAtReport = this.inFlight;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Requests that the runner has, of all daemons as far as that is known.
   */
  load(now: number): number {
    if (now - this.reportedAt > REPORT_LIFE_MILLISECONDS) return this.inFlight;
    return Math.max(this.inFlight, this.reported + this.inFlight - this.inFlightAtReport);
  }
}
