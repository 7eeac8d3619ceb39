/**
 * Decides how a request goes on after a hand-over has ended.
 */
import type { HandOverEnd } from './HandedOverRequest.js';

/**
 * `finish`: its caller has an answer; `wait` for the attempts that are still in progress; `send` it to a runner from here;
 * `refuse` it as not run; `cut`: the caller has the beginning of an answer that nobody can continue; `repeat` it, if a
 * request that may have run may run again.
 */
export type HandOverStep = 'finish' | 'wait' | 'send' | 'refuse' | 'cut' | 'repeat';

/** Input of {@link stepAfterHandOver}. */
export interface HandOverStepInput {
  readonly end: HandOverEnd;
  /** Whether attempts of this daemon are in progress. */
  readonly hasAttempts: boolean;
  /** Whether an attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Whether the caller has the beginning of an answer that cannot be resumed. */
  readonly isBegun: boolean;
}

/**
 * @param question - end of the hand-over and state of the request.
 * @returns How the request goes on.
 */
export function stepAfterHandOver(question: HandOverStepInput): HandOverStep {
  const { end, hasAttempts, mayHaveRun, isBegun } = question;
  if (end === 'answered' || end === 'not_served') return 'finish';
  if (hasAttempts) return 'wait';
  if (end === 'lost') return isBegun ? 'cut' : 'repeat';
  return end === 'unanswered' || mayHaveRun ? 'send' : 'refuse';
}
