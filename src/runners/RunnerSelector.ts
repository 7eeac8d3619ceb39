/**
 * Selects the runner of a request, either locally or by asking another daemon.
 */
import type { Choice, ChoiceQuestion, RunnerChoice } from './RunnerChoice.js';

/** Why a request is refused although runners of its service accept requests. */
export interface SelectionRefusal {
  readonly reason: 'no_capacity';
  /** When the caller should retry, in ms. */
  readonly retryAfterMilliseconds: number;
}

/**
 * Receives the choice; `undefined` if no runner may get the request. The refusal is given if the request cannot be served
 * in time.
 */
export type ChoiceListener = (choice: Choice | undefined, refusal?: SelectionRefusal) => void;

/** Selects a runner, possibly asynchronously. */
export abstract class RunnerSelector {
  /**
   * @param question - the request.
   * @param done - called exactly once, synchronously or later; not called if the caller has left meanwhile.
   * @param isAbandoned - whether the caller has left.
   */
  abstract select(
    question: ChoiceQuestion,
    done: ChoiceListener,
    isAbandoned?: () => boolean,
  ): void;
}

/** Selects a runner by this daemon's own choice. */
export class LocalSelector extends RunnerSelector {
  private readonly choice: RunnerChoice;

  /**
   * @param choice - the choice based on what this daemon knows.
   */
  constructor(choice: RunnerChoice) {
    super();
    this.choice = choice;
  }

  override select(question: ChoiceQuestion, done: ChoiceListener): void {
    done(this.choice.choose(question));
  }
}
