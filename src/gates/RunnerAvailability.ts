/**
 * Tracks whether a gate's runner accepts work. `leaving` is final for an incarnation of the runner, so that outdated
 * gossip and flapping states can't send work to a runner that is about to stop.
 */
import type { RefusalReason, RunnerState } from './gateTypes.js';

/** State of one runner; `leaving` lasts until a newer incarnation of the runner appears. */
export class RunnerAvailability {
  private state: RunnerState = 'live';

  private incarnation = 0;

  /**
   * Applies a state that was received for the runner.
   *
   * @param state - the received state.
   * @param incarnation - incarnation of the runner that the state is about; an older one than the last is ignored.
   * @returns Why waiting requests have to be refused, or `undefined` if they may go on waiting.
   */
  update(state: RunnerState, incarnation: number): RefusalReason | undefined {
    if (incarnation < this.incarnation) return undefined;
    const restarted = incarnation > this.incarnation;
    this.incarnation = incarnation;
    const isLeavingFinal = this.state === 'leaving' && !restarted;
    if (!isLeavingFinal) this.state = state;
    return this.refusalReason();
  }

  /** @returns Why the runner accepts no requests, or `undefined` if it does. */
  refusalReason(): RefusalReason | undefined {
    if (this.state === 'leaving') return 'runner_leaving';
    return this.state === 'down' || this.state === 'ejected' ? 'runner_down' : undefined;
  }
}
