/**
 * Types of the report on lost requests: requests whose callers got no valid answer, and the causes.
 */

/** Cause of a lost request. */
export type LossCause =
  /** The connection to a runner broke before its answer was complete. */
  | 'runner gone'
  /** A runner was unresponsive: it sent nothing and accepted no connections either. */
  | 'runner silent'
  /** A runner answered with an error of its own, which was forwarded to the caller. */
  | 'runner error'
  /** A runner sent the answer to another request, or one without its signature. */
  | 'stray answer'
  /** Runners refused the request without running it. */
  | 'runner refused'
  /** No runner accepted a connection. */
  | 'not connected'
  /** The caller's deadline or the route's timeout passed. */
  | 'no time left'
  /** The service had no listed runner that accepted requests, or none that had not been tried. */
  | 'no runner'
  /** A stream was cut, and the runner that was to continue it sent no stream. */
  | 'not resumed'
  /** Runners have crashed before while handling the request. */
  | 'quarantined'
  /** The daemon rejected the request before it chose a runner. */
  | 'refused at once'
  /** The request was still in progress when the time limit of a planned stop ran out. */
  | 'cut by a stop'
  | 'caller left'
  /** The log has attempts but no end: the process ended first, or the end line was left out. */
  | 'end not told'
  /** The log line has an outcome that this version does not know. */
  | 'other';

/** Placeholder for the value of a field that the log line does not have. */
export const UNKNOWN_VALUE = 'not told';

/** One failed attempt, as logged. */
export interface FailedAttempt {
  readonly runner: string;
  readonly failure: string;
  readonly verdict: string;
  /** Why no other runner was tried; not every line has it. */
  readonly reason: string | undefined;
  /** How long the runner was probed before it was given up, in ms; not every line has it. */
  readonly probedMilliseconds: number | undefined;
}

/** One lost request. */
export interface Loss {
  readonly cause: LossCause;
  /** Further detail of the cause, above all why no other runner answered instead. */
  readonly detail: string;
  /** HTTP status that the caller got, followed by `cut` if the answer had begun. */
  readonly status: string;
  /** Request id as logged; empty if no line has it. */
  readonly request: string;
  /** Time of the log line, by the daemon's clock: ISO 8601, UTC. */
  readonly time: string;
  readonly route: string;
  /** Id of the runner that failed last, or was tried last. */
  readonly runner: string;
  /** Time from the arrival of the request to its end, in ms; `undefined` if it was not logged. */
  readonly heldMilliseconds: number | undefined;
  readonly probedMilliseconds: number | undefined;
}

/** Sums of the losses with the same cause, detail and status. */
export interface CauseSum {
  readonly cause: LossCause;
  readonly detail: string;
  readonly status: string;
  readonly requests: number;
  /** Time from arrival to end, in ms; `undefined` if no line has it. */
  readonly medianMilliseconds: number | undefined;
  readonly percentile99Milliseconds: number | undefined;
  readonly medianProbedMilliseconds: number | undefined;
  /** Ids of a few of these requests, for a closer look. */
  readonly examples: readonly string[];
}

/** Sums of one route, moment (time interval) or runner. */
export interface GroupSum {
  readonly key: string;
  /** Number of all requests that ended, including the answered ones. */
  readonly requests: number;
  readonly lost: number;
  /** Number of failed attempts, whether or not another runner answered afterwards. */
  readonly failedAttempts: number;
  /** Causes with their number of requests, the most frequent first. */
  readonly causes: readonly (readonly [LossCause, number])[];
}

/** What the logs cover: daemons, time range and missing lines. */
export interface LogCoverage {
  readonly daemons: number;
  /** Number of logged starts of a process. */
  readonly starts: number;
  /**
   * Number of processes that were followed by another one without a planned stop; requests in progress then have no
   * end line.
   */
  readonly unplannedEnds: number;
  /** Time of the first line, ISO 8601; `undefined` if there is no line. */
  readonly firstTime: string | undefined;
  readonly lastTime: string | undefined;
  /** Time from which the logs of all daemons are present: the latest of their first times. */
  readonly completeFrom: string | undefined;
  /** Number of lines that daemons left out because of the limit in the settings, as counted by them. */
  readonly leftOutLines: number;
  /** Number of lines that daemons dropped because the reader of the log was too slow, as counted by them. */
  readonly droppedLines: number;
}

/** The whole report. */
export interface LossSummary {
  readonly coverage: LogCoverage;
  readonly requests: number;
  readonly lost: number;
  /** Number of requests that were answered although an attempt had failed. */
  readonly recovered: number;
  readonly causes: readonly CauseSum[];
  readonly routes: readonly GroupSum[];
  /** Keyed by the start of the moment, ISO 8601. */
  readonly moments: readonly GroupSum[];
  readonly runners: readonly GroupSum[];
}
