/**
 * A sliding window that outlives its process: told to others every second, and asked back at the start.
 */
import type { SharedRetryBudgetOptions } from '../../src/forwarding/SharedRetryBudget.js';
import { OwingBudget } from './OwingBudget.js';
import type { ToldRetries } from './ToldRetries.js';
import { WindowBudget } from './WindowBudget.js';

const TELL_MILLISECONDS = 1_000;

/** Owes a window only where nobody is left who heard of its life before. */
export class ToldBudget extends OwingBudget {
  private readonly memory: ToldRetries;

  private readonly daemon: number;

  private readonly isKnown: boolean;

  private toldAt = 0;

  /**
   * @param options - the operators' limits.
   * @param memory - of the fleet.
   * @param daemon - which one this is.
   */
  constructor(options: SharedRetryBudgetOptions, memory: ToldRetries, daemon: number) {
    super(options);
    this.memory = memory;
    this.daemon = daemon;
    const before = memory.recall(daemon);
    this.isKnown = before !== undefined;
    this.retries.push(...(before ?? []));
  }

  override take(service: string, now: number): boolean {
    const may = this.isKnown
      ? WindowBudget.prototype.take.call(this, service, now)
      : super.take(service, now);
    if (now - this.toldAt >= TELL_MILLISECONDS) {
      this.memory.tell(this.daemon, this.retries);
      this.toldAt = now;
    }
    return may;
  }

  /** What it remembered for others is gone. */
  end(): void {
    this.memory.ended(this.daemon);
  }
}
