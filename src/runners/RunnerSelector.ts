/**
 * Selects the runner of a request, either locally or by asking another daemon.
 */
import type { Choice, ChoiceQuestion, RunnerChoice } from './RunnerChoice.js';

/** Receives the choice; `undefined` if no runner may get the request. */
export type ChoiceListener = (choice: Choice | undefined) => void;

/** Selects a runner, possibly asynchronously. */
export abstract class RunnerSelector {
  /**
   * @param question - the request.
   * @param done - called exactly once, synchronously or later.
   */
  abstract select(question: ChoiceQuestion, done: ChoiceListener): void;
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
