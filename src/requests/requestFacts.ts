/**
 * Properties of one request, and the streams that are open for it.
 */
import type { RetryScope } from './RetryBudget.js';

/** A reading: one opened stream of gate events. */
export interface Reading {
  readonly number: number;
  readonly attemptId: string;
  readonly runnerId: string;
  readonly mode: 'attempt' | 'resume';
  /** Whether the gate was asked to queue the attempt. */
  readonly lastChoice: boolean;
  readonly openedAt: number;
  lastEventAt: number;
  /** When the daemon that the reading goes through is looked up next, in monotonic milliseconds. */
  checkAt: number;
}

/** The properties of a request that its phases use; the deadline is in monotonic milliseconds. */
export interface RequestFacts {
  readonly retryScope: RetryScope;
  readonly deadline: number;
  readonly idempotent: boolean;
  readonly streaming: boolean;
  readonly attemptSeed: string;
}
