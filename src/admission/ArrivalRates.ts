/**
 * Work that arrives for one service, by urgency and client account. A request that waits is overtaken by requests that arrive
 * later and are more urgent or of an account with less work, so its wait depends on them as much as on what waits already.
 */

/** Time over which arrivals are averaged, in ms; an overload shows within a fraction of it, and its end as well. */
const AVERAGED_MILLISECONDS = 1_000;

/** Number of accounts above which idle ones are dropped. */
const MAXIMUM_ACCOUNTS = 256;

/** Work at which an account counts as idle, in ms. */
const IDLE_WORK_MILLISECONDS = 1;

interface DecayingSum {
  work: number;
  at: number;
}

/** Options of {@link ArrivalRates}. */
export interface ArrivalRatesOptions {
  /** Time over which the rates are averaged, in ms. */
  averagedMilliseconds?: number;
}

/** Rates of work, in ms of a runner of usual speed per ms, which is a number of runners. */
export class ArrivalRates {
  private readonly averagedMilliseconds: number;

  private readonly byUrgency = new Map<number, Map<string, DecayingSum>>();

  /**
   * @param options - the time over which the rates are averaged.
   */
  constructor({ averagedMilliseconds = AVERAGED_MILLISECONDS }: ArrivalRatesOptions = {}) {
    this.averagedMilliseconds = averagedMilliseconds;
  }

  /**
   * Counts a request that asks for admission.
   *
   * @param request - its urgency, account, and work in ms.
   * @param now - monotonic ms.
   */
  record(request: { urgency: number; clientAccount: string; work: number }, now: number): void {
    const { urgency, clientAccount, work } = request;
    const accounts = this.byUrgency.get(urgency) ?? new Map<string, DecayingSum>();
    this.byUrgency.set(urgency, accounts);
    const before = accounts.get(clientAccount);
    accounts.set(clientAccount, { work: work + (before ? this.decayed(before, now) : 0), at: now });
    if (accounts.size <= MAXIMUM_ACCOUNTS) return;
    for (const [account, sum] of accounts) {
      if (this.decayed(sum, now) < IDLE_WORK_MILLISECONDS) accounts.delete(account);
    }
  }

  /**
   * @param urgency - urgency of a request; 0 is the most urgent.
   * @param clientAccount - its account.
   * @param runners - number of runners of usual speed.
   * @param now - monotonic ms.
   * @returns Number of runners that requests take up which arrive later and are admitted before it.
   */
  overtaking(urgency: number, clientAccount: string, runners: number, now: number): number {
    let higher = 0;
    for (const [other, accounts] of this.byUrgency) {
      if (other < urgency) {
        for (const sum of accounts.values())
          higher += this.decayed(sum, now) / this.averagedMilliseconds;
      }
    }
    const accounts = this.byUrgency.get(urgency) ?? new Map<string, DecayingSum>();
    const share = Math.max(0, runners - higher) / Math.max(1, accounts.size);
    let others = 0;
    for (const [account, sum] of accounts) {
      const rate = this.decayed(sum, now) / this.averagedMilliseconds;
      if (account !== clientAccount) others += Math.min(rate, share);
    }
    return higher + others;
  }

  /**
   * @param urgency - urgency of requests.
   * @param now - monotonic ms.
   * @returns Rate of their work.
   */
  of(urgency: number, now: number): number {
    let sum = 0;
    for (const account of this.byUrgency.get(urgency)?.values() ?? [])
      sum += this.decayed(account, now);
    return sum / this.averagedMilliseconds;
  }

  /**
   * @param now - monotonic ms.
   * @returns Rate of all work.
   */
  total(now: number): number {
    return this.overtaking(Number.POSITIVE_INFINITY, '', 0, now);
  }

  private decayed({ work, at }: DecayingSum, now: number): number {
    return work * Math.exp((at - now) / this.averagedMilliseconds);
  }
}
