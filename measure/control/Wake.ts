/**
 * Wakes decisions at the time that they asked for.
 */
import type { VirtualTime } from '../routing/VirtualTime.js';

/** One pending wake at most: the earliest. */
export class Wake {
  private readonly time: VirtualTime;

  private readonly run: () => void;

  private plannedAt = Infinity;

  /**
   * @param time - virtual time.
   * @param run - what happens at the wake.
   */
  constructor(time: VirtualTime, run: () => void) {
    this.time = time;
    this.run = run;
  }

  /**
   * @param at - virtual milliseconds, or `undefined` when no time matters.
   */
  arm(at: number | undefined): void {
    if (at === undefined || at >= this.plannedAt) return;
    this.plannedAt = at;
    this.time.after(at - this.time.now, () => {
      if (this.plannedAt !== at) return;
      this.plannedAt = Infinity;
      this.run();
    });
  }
}
