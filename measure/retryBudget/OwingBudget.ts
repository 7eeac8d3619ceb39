/**
 * A sliding window whose process first owes what its life before may have spent.
 */
import { WindowBudget } from './WindowBudget.js';

/** A process that starts later than the fleet sends nothing once more for a window. */
export class OwingBudget extends WindowBudget {
  override take(service: string, now: number): boolean {
    const { startedAt = 0, windowMilliseconds } = this.options;
    if (startedAt > 0 && now - startedAt < windowMilliseconds) return false;
    return super.take(service, now);
  }
}
