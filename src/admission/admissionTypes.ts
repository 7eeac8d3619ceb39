/**
 * Types of admission control.
 */
import type { Choice, ChoiceQuestion } from '../runners/RunnerChoice.js';

/**
 * What becomes of a request. `runner`: it is sent to the runner of the choice, or no runner may get it; `wait`: it waits
 * for capacity; `refuse`: it cannot be served in time.
 */
export type AdmissionVerdict =
  | { readonly kind: 'runner'; readonly choice: Choice | undefined }
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly retryAfterMilliseconds: number };

/** A verdict that ends the wait of a request. */
export type FinalVerdict = Exclude<AdmissionVerdict, { kind: 'wait' }>;

/** A request that asks for admission. */
export interface AdmissionRequest {
  /** Unique, and the same when the question is repeated. */
  readonly id: string;
  readonly question: ChoiceQuestion;
  /** Whether the caller has left; missing for requests of other daemons, of which it is not known here. */
  readonly isAbandoned?: (() => boolean) | undefined;
}

/** The end of a request's wait. */
export interface AdmissionResult {
  readonly request: AdmissionRequest;
  readonly verdict: FinalVerdict;
}
