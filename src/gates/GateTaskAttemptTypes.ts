/**
 * What an attempt at a gate is.
 */

/** What an attempt is, whoever asked for it. */
export interface AttemptDetails {
  readonly attemptId: string;
  readonly runnerId: string;
  readonly clientAccount: string;
  readonly chat: string;
  readonly streaming: boolean;
  readonly idempotent: boolean;
  /** Monotonic milliseconds. */
  readonly deadline: number;
}
