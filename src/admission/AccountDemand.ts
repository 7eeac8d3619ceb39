/**
 * Measures the work that client accounts ask for, and which of them stay within their fair share of the capacity.
 *
 * Without it, requests of low urgency of an account that asks for little are refused for the urgent ones of an account
 * that asks for more than its share.
 */

/** Time constant of the moving average, in ms; a shorter one takes chance for a surge at a daemon with few requests. */
const AVERAGE_MILLISECONDS = 2_000;

/** Accounts that ask for less are forgotten, in runners. */
const LEAST_DEMAND = 1e-4;

interface Demand {
  /** Work of recent requests, in ms; each counts less as it gets older. */
  work: number;
  at: number;
}

/** Demand of all accounts of one service. */
export class AccountDemand {
  private readonly byAccount = new Map<string, Demand>();

  /**
   * @param account - the account that asks.
   * @param work - work of its request, in ms of a runner of usual speed.
   * @param now - monotonic ms.
   */
  record(account: string, work: number, now: number): void {
    const before = this.byAccount.get(account);
    this.byAccount.set(account, { work: (before ? this.decayed(before, now) : 0) + work, at: now });
  }

  /**
   * @param account - an account.
   * @param runners - runners of usual speed that all accounts share.
   * @param now - monotonic ms.
   * @returns Whether max-min sharing would give the account all that it asks for.
   */
  isWithinShare(account: string, runners: number, now: number): boolean {
    const demands = [...this.byAccount].map(([name, demand]) => ({
      name,
      runners: this.decayed(demand, now) / AVERAGE_MILLISECONDS,
    }));
    demands.sort((one, other) => one.runners - other.runners);
    let left = runners;
    for (const [index, demand] of demands.entries()) {
      if (demand.runners > left / (demands.length - index)) return false;
      if (demand.name === account) return true;
      if (demand.runners < LEAST_DEMAND) this.byAccount.delete(demand.name);
      left -= demand.runners;
    }
    return true;
  }

  private decayed({ work, at }: Demand, now: number): number {
    return work * Math.exp((at - now) / AVERAGE_MILLISECONDS);
  }
}
