/**
 * Cancellation of one call: the action that cancels a request changes as the request moves from
 * one stage to the next.
 */

/** Runs the action that was set last, at most once. */
export class Cancellation {
  private action: (() => void) | undefined;

  /**
   * Replaces the action that cancels the request.
   *
   * @param action - called by the next {@link Cancellation.cancel}.
   */
  setAction(action: () => void): void {
    this.action = action;
  }

  /**
   * Runs and clears the current action.
   *
   * @returns Whether there was an action to run.
   */
  cancel(): boolean {
    const { action } = this;
    this.action = undefined;
    action?.();
    return action !== undefined;
  }
}
