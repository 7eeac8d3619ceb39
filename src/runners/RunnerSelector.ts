/**
 * Finds the runner of a request, by this daemon's own choice or by asking another one.
 */
import type { Choice, ChoiceQuestion, RunnerChoice } from './RunnerChoice.js';

/** Takes the choice; `undefined` when no runner may get the request. */
export type ChoiceListener = (choice: Choice | undefined) => void;

/** See the module's comment. */
export abstract class RunnerSelector {
  /**
   * @param question - the request.
   * @param done - called once, at once or later.
   */
  abstract select(question: ChoiceQuestion, done: ChoiceListener): void;
}

/** Chooses in this daemon. */
export class LocalSelector extends RunnerSelector {
  private readonly choice: RunnerChoice;

  /**
   * @param choice - by what this daemon knows.
   */
  constructor(choice: RunnerChoice) {
    super();
    this.choice = choice;
  }

  override select(question: ChoiceQuestion, done: ChoiceListener): void {
    done(this.choice.choose(question));
  }
}
