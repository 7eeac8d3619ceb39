/**
 * Messages and actions of the decisions of one request. All of them are JSON data, so that a
 * session can be recorded and replayed; data, headers and lists of warm runners stay with the
 * task, and messages refer to them by number.
 */
import type { Priority, RefusalReason } from '../gates/gateTypes.js';
import type { OutcomeCode } from './requestTypes.js';

/** The properties of a request that its decisions use. */
export interface RequestSummary {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly service: string;
  readonly priority: Priority;
  /** How long the caller still waits, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** Whether the request may be retried after an attempt whose outcome is unknown. */
  readonly idempotent: boolean;
  readonly streaming: boolean;
  /**
   * Random prefix of the attempt ids. A caller may use a request id twice, but an attempt id is
   * never repeated.
   */
  readonly attemptSeed: string;
}

/** A stream that a caller resumes with `Last-Event-ID`. */
export interface ResumedStream {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly service: string;
  readonly deadlineMilliseconds: number;
  readonly attemptId: string;
  readonly runnerId: string;
  /** Sequence number of the last chunk that the caller has. */
  readonly afterSequence: number;
}

/** A runner that was tried, with the answer of its gate. */
export interface TriedRunner {
  readonly runnerId: string;
  readonly why: RefusalReason | 'lost' | 'hedged';
  /** Load of the runner and mean load of the pool, in tokens; 0 when the gate reported none. */
  readonly load: number;
  readonly mean: number;
  readonly retryAfterMilliseconds: number;
  /** Whether the gate was asked to queue the request. */
  readonly lastChoice: boolean;
}

/** Why an attempt was opened. */
export type AttemptPurpose = 'first' | 'placement' | 'retry' | 'hedge';

/**
 * Messages to the decisions of a request. A `reading` is the number of one opened stream of gate
 * events. A stream that was abandoned may still deliver events; the number keeps them apart from
 * those of the stream that replaced it.
 */
export type RequestMessage =
  | { readonly kind: 'begin'; readonly request: RequestSummary }
  | { readonly kind: 'begin_resume'; readonly stream: ResumedStream }
  | { readonly kind: 'home_answered'; readonly warmRunners: number }
  | {
      readonly kind: 'chosen';
      readonly runnerId: string;
      readonly cachedTokens: number;
      readonly bound: number;
      /** Whether the gate has to queue the attempt instead of refusing it for the bound. */
      readonly lastChoice: boolean;
    }
  | {
      readonly kind: 'nobody';
      readonly message: string;
      readonly retryAfterMilliseconds: number;
    }
  | {
      readonly kind: 'refused';
      readonly reading: number;
      readonly reason: RefusalReason;
      readonly retryAfterMilliseconds: number;
      readonly load: number;
      readonly mean: number;
    }
  | {
      readonly kind: 'started';
      readonly reading: number;
      readonly attemptId: string;
      readonly status: number;
    }
  | {
      readonly kind: 'chunk';
      readonly reading: number;
      readonly attemptId: string;
      readonly sequence: number;
      readonly bytes: number;
    }
  | {
      readonly kind: 'completed';
      readonly reading: number;
      readonly attemptId: string;
      readonly lastSequence: number;
      readonly promptTokens: number;
      readonly generatedTokens: number;
      readonly cachedTokens: number;
    }
  | {
      readonly kind: 'failed';
      readonly reading: number;
      readonly code: OutcomeCode;
      readonly message: string;
      readonly retryAfterMilliseconds: number;
      readonly resumable: boolean;
    }
  /** The stream of events broke; the outcome of the attempt is unknown. */
  | { readonly kind: 'lost'; readonly reading: number; readonly message: string }
  /**
   * Answer to `check_gate`: whether the daemon that the reading goes through is considered alive.
   */
  | { readonly kind: 'gate_checked'; readonly reading: number; readonly alive: boolean }
  | { readonly kind: 'caller_gone' }
  | { readonly kind: 'cancel' }
  | { readonly kind: 'tick' };

/** Last event of a request that did not complete. */
export interface RequestFailure {
  readonly code: OutcomeCode;
  readonly notRun: boolean;
  readonly message: string;
  readonly retryAfterMilliseconds?: number;
  readonly resumable?: boolean;
}

/** Actions that the decisions of a request ask for. */
export type RequestAction =
  | { readonly kind: 'ask_home' }
  | {
      readonly kind: 'choose';
      readonly purpose: AttemptPurpose;
      readonly tried: readonly TriedRunner[];
      readonly deadlineMilliseconds: number;
    }
  | {
      readonly kind: 'attempt';
      readonly reading: number;
      readonly attemptId: string;
      readonly runnerId: string;
      readonly purpose: AttemptPurpose;
      readonly cachedTokens: number;
      readonly bound: number;
      readonly lastChoice: boolean;
      readonly deadlineMilliseconds: number;
    }
  | {
      readonly kind: 'resume';
      readonly reading: number;
      readonly attemptId: string;
      readonly runnerId: string;
      readonly afterSequence: number;
      readonly tries: number;
      readonly why: string;
      readonly deadlineMilliseconds: number;
    }
  | { readonly kind: 'check_gate'; readonly reading: number }
  /** Stop reading; the attempt continues. */
  | { readonly kind: 'abandon'; readonly reading: number }
  /** Stop reading and cancel the attempt at its gate and runner. */
  | {
      readonly kind: 'cancel_attempt';
      readonly reading: number;
      readonly attemptId: string;
      readonly runnerId: string;
    }
  | {
      readonly kind: 'deliver_started';
      readonly reading: number;
      readonly runnerId: string;
    }
  | {
      readonly kind: 'deliver_chunk';
      readonly reading: number;
      readonly attemptId: string;
      readonly runnerId: string;
      readonly sequence: number;
    }
  /** An event was dropped because it was late, repeated, out of order or of another attempt. */
  | {
      readonly kind: 'dropped';
      readonly what: RequestMessage['kind'];
      readonly why: 'other_reading' | 'other_attempt' | 'repeated' | 'out_of_order';
    }
  | { readonly kind: 'retry_denied'; readonly why: 'budget' | 'attempts' | 'not_idempotent' }
  | {
      readonly kind: 'complete';
      readonly promptTokens: number;
      readonly generatedTokens: number;
      readonly cachedTokens: number;
    }
  | { readonly kind: 'fail'; readonly failure: RequestFailure };
