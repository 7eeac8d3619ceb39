/**
 * One window for the whole fleet, kept by the first daemon, which is asked before each retry.
 */
import type { SharedRetryBudgetOptions } from '../../src/forwarding/SharedRetryBudget.js';
import type { RetryAccount } from '../../src/forwarding/testRetryFleet.js';
import { OwingBudget } from './OwingBudget.js';
import type { WindowBudget } from './WindowBudget.js';

/** A first daemon that starts again owes a window. */
export class CentralBudget implements RetryAccount {
  private readonly owner: { budget?: WindowBudget | undefined };

  private readonly isOwner: boolean;

  /**
   * @param options - the operators' limits.
   * @param owner - of the fleet.
   * @param daemon - which one this is.
   */
  constructor(options: SharedRetryBudgetOptions, owner: CentralBudget['owner'], daemon: number) {
    this.owner = owner;
    this.isOwner = daemon === 0;
    if (this.isOwner) this.owner.budget = new OwingBudget({ ...options, daemons: () => 1 });
  }

  /**
   * @param service - the only one.
   * @param now - monotonic milliseconds.
   */
  recordRequest(service: string, now: number): void {
    this.owner.budget?.recordRequest(service, now);
  }

  /**
   * @param service - the only one.
   * @param now - monotonic milliseconds.
   * @returns Whether one more may be sent; never while the owner is away.
   */
  take(service: string, now: number): boolean {
    return this.owner.budget?.take(service, now) ?? false;
  }

  /** The owner takes the account with it. */
  end(): void {
    if (this.isOwner) this.owner.budget = undefined;
  }
}
