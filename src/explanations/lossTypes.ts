/**
 * What callers lost, and why: the words of an account of losses.
 */

/** What kept a caller from its answer. */
export type LossCause =
  /** The connection to a runner broke before its answer was whole. */
  | 'runner gone'
  /** A runner said nothing and took no connections either. */
  | 'runner silent'
  /** A runner answered with an error of its own, which the caller got. */
  | 'runner error'
  /** A runner gave another request's answer, or one without its signature. */
  | 'stray answer'
  /** Runners said that they had not run it. */
  | 'runner refused'
  /** No runner accepted a connection. */
  | 'not connected'
  /** The caller's deadline or the route's timeout passed. */
  | 'no time left'
  /** No runner of the service was listed and took requests, or none was left to try. */
  | 'no runner'
  /** A stream was cut, and the runner that was to go on with it gave no stream. */
  | 'not resumed'
  /** Runners have crashed under the request before. */
  | 'quarantined'
  /** Refused before any runner was chosen. */
  | 'refused at once'
  /** Still in progress when the time of a planned stop had run out. */
  | 'cut by a stop'
  | 'caller left'
  /** Attempts are in the log, an end is not: the process ended before, or its line was left out. */
  | 'end not told'
  /** An outcome that this version does not know. */
  | 'other';

/** Stands for a field that the line does not have. */
export const NOT_TOLD = 'not told';

/** One failed attempt, as its line tells it. */
export interface FailedAttempt {
  readonly runner: string;
  readonly failure: string;
  readonly verdict: string;
  /** Why no other runner was asked; not every line tells it. */
  readonly reason: string | undefined;
  /** How long the runner was probed before it was given up, in ms; not every line tells it. */
  readonly probedMilliseconds: number | undefined;
}

/** One request that its caller lost. */
export interface Loss {
  readonly cause: LossCause;
  /** What is known beyond the cause: above all why no other runner answered instead. */
  readonly detail: string;
  /** What the caller got: a status, with `cut` where an answer had begun. */
  readonly status: string;
  /** As the caller sent it; empty where it sent none or no line names it. */
  readonly request: string;
  /** When it was told: ISO 8601, UTC, by the daemon's clock. */
  readonly time: string;
  readonly route: string;
  /** The runner that failed last, or was asked last. */
  readonly runner: string;
  /** From its arrival to its end. */
  readonly heldMilliseconds: number | undefined;
  readonly probedMilliseconds: number | undefined;
}

/** One row by cause. */
export interface CauseSum {
  readonly cause: LossCause;
  readonly detail: string;
  readonly status: string;
  readonly requests: number;
  /** Held by the daemon, in ms; missing where no line tells it. */
  readonly medianMilliseconds: number | undefined;
  readonly percentile99Milliseconds: number | undefined;
  readonly medianProbedMilliseconds: number | undefined;
  /** Ids of requests to look at. */
  readonly examples: readonly string[];
}

/** One row by route, moment or runner. */
export interface GroupSum {
  readonly key: string;
  /** All that ended, the answered ones too. */
  readonly requests: number;
  readonly lost: number;
  /** Failed attempts, whether or not another runner answered then. */
  readonly failedAttempts: number;
  /** The most frequent first. */
  readonly causes: readonly (readonly [LossCause, number])[];
}

/** What the logs tell beyond the losses: how far they go. */
export interface LogExtent {
  readonly daemons: number;
  /** Starts of a process that the logs tell. */
  readonly starts: number;
  /** Processes that another one followed without a planned stop; what they held then left no line. */
  readonly unplannedEnds: number;
  /** ISO 8601; `undefined` without any line. */
  readonly firstTime: string | undefined;
  readonly lastTime: string | undefined;
  /** The latest of the times at which the daemons' logs begin. */
  readonly completeFrom: string | undefined;
  /** Lines over the limit of the settings, as the daemons counted them. */
  readonly leftOutLines: number;
  /** Lines that the reader of a log was too slow for, as the daemons counted them. */
  readonly droppedLines: number;
}

/** The whole account. */
export interface LossSummary {
  readonly extent: LogExtent;
  readonly requests: number;
  readonly lost: number;
  /** Requests that were answered although an attempt had failed. */
  readonly saved: number;
  readonly causes: readonly CauseSum[];
  readonly routes: readonly GroupSum[];
  /** Keyed by the start of the moment, ISO 8601. */
  readonly moments: readonly GroupSum[];
  readonly runners: readonly GroupSum[];
}
