/**
 * The type of an attempt's fixed properties.
 */

/** The fixed properties of an attempt, whether it was requested here or resumed from another holder. */
export interface AttemptDetails {
  readonly attemptId: string;
  readonly runnerId: string;
  readonly clientAccount: string;
  readonly chat: string;
  readonly streaming: boolean;
  readonly idempotent: boolean;
  /** Monotonic milliseconds of this daemon. */
  readonly deadline: number;
}
