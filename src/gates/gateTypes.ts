/**
 * The requests, messages and actions of the gate of one runner.
 */

/** Priority classes, the most urgent first. */
export const PRIORITIES = ['urgent', 'standard', 'background'] as const;

/** Priority class of a request. */
export type Priority = (typeof PRIORITIES)[number];

/** Why a gate refused a request. Each reason guarantees that the request was not run. */
export type RefusalReason =
  | 'above_bound'
  | 'queue_full'
  | 'deadline_unreachable'
  | 'account_limit'
  | 'runner_leaving'
  | 'runner_down'
  | 'gate_not_here'
  | 'gate_opening'
  | 'draining'
  | 'runner_refused'
  | 'cancelled';

/** A request with the properties that its gate decides by. */
export interface GateRequest {
  readonly attemptId: string;
  readonly requestId: string;
  readonly clientAccount: string;
  readonly priority: Priority;
  /** Time after which the answer is of no use, in monotonic milliseconds of this daemon. */
  readonly deadline: number;
  readonly promptTokens: number;
  /** Prompt tokens that the daemon placing the request expects to be cached; corrected by the runner's answer. */
  readonly cachedTokens: number;
  readonly maximumTokens: number;
  /** Highest load of a runner as a multiple of the pool's mean. */
  readonly bound: number;
  /** Whether to queue the request when the runner is at its bound, because no other runner is left to try. */
  readonly lastChoice: boolean;
  readonly accountWeight: number;
  /** 0 means no limit. */
  readonly accountMaximumConcurrent: number;
  /** 0 means no limit. */
  readonly accountMaximumTokensPerMinute: number;
}

/** How an attempt left the runner. */
export type AttemptEnd = 'completed' | 'failed' | 'cancelled' | 'lost';

/** A runner's own report of its load, which is delayed. */
export interface LoadReport {
  /** Work in progress and queued at the runner, in tokens. */
  readonly load: number;
  readonly running: number;
  readonly queued: number;
  /** Age of the report when the daemon received it, in milliseconds, as far as it is known. */
  readonly ageMilliseconds: number;
  /** Throughput of the runner in tokens a second. */
  readonly tokensPerSecond: number;
}

/** Input of a gate's decisions. */
export type GateMessage =
  | { readonly kind: 'request'; readonly request: GateRequest }
  | { readonly kind: 'started'; readonly attemptId: string; readonly cachedTokens: number }
  /** The runner refused the attempt, which was therefore not run. */
  | { readonly kind: 'refused_by_runner'; readonly attemptId: string }
  | { readonly kind: 'progress'; readonly attemptId: string; readonly generatedTokens: number }
  | { readonly kind: 'ended'; readonly attemptId: string; readonly end: AttemptEnd }
  | { readonly kind: 'cancel'; readonly attemptId: string }
  | { readonly kind: 'load_report'; readonly report: LoadReport }
  /** Mean load of the pool's runners in tokens of work, and their number, as received by gossip. */
  | { readonly kind: 'pool_mean'; readonly mean: number; readonly runners: number }
  | { readonly kind: 'runner_state'; readonly state: RunnerState; readonly incarnation: number }
  /** This daemon holds the gate from now on. `handedOver` is the old holder's work on the runner, if known. */
  | { readonly kind: 'open'; readonly handedOver?: readonly HeldWork[] }
  /** This daemon no longer holds the gate: queued requests are refused, running ones finish. */
  | { readonly kind: 'close' }
  | { readonly kind: 'tick' };

/** An attempt that a holder of the gate has on the runner, as handed over to the next holder. */
export interface HeldWork {
  readonly attemptId: string;
  readonly clientAccount: string;
  readonly work: number;
}

/** State of a runner in the fleet view. `leaving` is final for an incarnation. */
export type RunnerState = 'live' | 'suspect' | 'ejected' | 'leaving' | 'down';

/** What the gate's task has to do. */
export type GateAction =
  | {
      readonly kind: 'start';
      readonly attemptId: string;
      readonly load: number;
      readonly mean: number;
    }
  | {
      readonly kind: 'refuse';
      readonly attemptId: string;
      readonly reason: RefusalReason;
      readonly retryAfterMilliseconds: number;
      readonly load: number;
      readonly mean: number;
    }
  | {
      readonly kind: 'queued';
      readonly attemptId: string;
      readonly position: number;
      readonly expectedWaitMilliseconds: number;
    }
  /** The attempt is on the runner and has to be cancelled there. */
  | { readonly kind: 'cancel_at_runner'; readonly attemptId: string };
