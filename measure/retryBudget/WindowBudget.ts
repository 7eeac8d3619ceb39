/**
 * A retry budget by a sliding window: the first way to keep a fleet's limit.
 */
import type { SharedRetryBudgetOptions } from '../../src/forwarding/SharedRetryBudget.js';
import type { RetryAccount } from '../../src/forwarding/testRetryFleet.js';
import { dropTimesBefore } from '../../src/time/dropTimesBefore.js';

/** Part of a window's limit that is spent; what is on the way when a window ends has to fit too. */
const SPENT_SHARE = 0.85;

/** Spends what a sliding window of this process allows; a new process has a whole window before it. */
export class WindowBudget implements RetryAccount {
  protected readonly options: SharedRetryBudgetOptions;

  protected readonly retries: number[] = [];

  private readonly requests: number[] = [];

  /**
   * @param options - the operators' limits.
   */
  constructor(options: SharedRetryBudgetOptions) {
    this.options = options;
  }

  /**
   * @param _service - the only one.
   * @param now - monotonic milliseconds.
   */
  recordRequest(_service: string, now: number): void {
    this.requests.push(now);
  }

  /**
   * @param _service - the only one.
   * @param now - monotonic milliseconds.
   * @returns Whether one more may be sent.
   */
  take(_service: string, now: number): boolean {
    const { ratio, allowance, daemons, windowMilliseconds } = this.options;
    dropTimesBefore(this.requests, now - windowMilliseconds);
    dropTimesBefore(this.retries, now - windowMilliseconds);
    const limit = (ratio * this.requests.length + allowance / Math.max(1, daemons())) * SPENT_SHARE;
    if (this.retries.length + 1 > limit) return false;
    this.retries.push(now);
    return true;
  }
}
