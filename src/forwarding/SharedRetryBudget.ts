/**
 * This daemon's share of a retry budget that all daemons draw on, kept without asking anybody.
 *
 * What goes wrong without it: when a service fails, every daemon sends each request several times just when
 * the service can serve none, and the operators' limit for the whole fleet is passed although each daemon
 * keeps it by itself. Each daemon may spend the operators' ratio of the requests that it took itself, and its
 * equal part of the fixed allowance; the sum then stays below the limit for any split of the traffic.
 */

/** Options of a {@link SharedRetryBudget}. */
export interface SharedRetryBudgetOptions {
  /** Retries for each request, 0 to 1. */
  ratio: number;
  /** Retries in a window that all daemons together have besides. */
  allowance: number;
  /** Length of the sliding window, in ms. */
  windowMilliseconds: number;
  /** How many daemons share the allowance, at this moment. */
  daemons: () => number;
  /** When counting begins, monotonic ms. */
  startedAt?: number;
  /** Hears of each service before its first request is counted, and what reads its room. */
  onService?: (service: string, roomAt: (now: number) => number) => void;
}

/** What the budget of one service holds, and what that is reckoned from. */
export interface RetryBudgetView {
  /** Retries within the window. */
  readonly spent: number;
  /** Requests within the window. */
  readonly requests: number;
  /** Retries that may follow now. */
  readonly room: number;
  /** How long retries have been counted, in ms. */
  readonly ageMilliseconds: number;
  /** Daemons that share the allowance. */
  readonly daemons: number;
}

/** Part of the budget that is spent; what is on the way when a window ends has to fit too. */
const SPENT_SHARE = 0.85;

interface Counted {
  readonly requests: number[];
  readonly retries: number[];
}

function dropBefore(times: number[], start: number): void {
  const keep = times.findIndex((time) => time >= start);
  times.splice(0, keep === -1 ? times.length : keep);
}

/** Counts by service. */
export class SharedRetryBudget {
  private readonly options: SharedRetryBudgetOptions;

  private readonly services = new Map<string, Counted>();

  /**
   * @param options - the operators' limits.
   */
  constructor(options: SharedRetryBudgetOptions) {
    this.options = options;
  }

  /**
   * @param service - where a request goes.
   * @param now - monotonic milliseconds.
   */
  recordRequest(service: string, now: number): void {
    this.countedOf(service, now).requests.push(now);
  }

  /**
   * @param service - where a request would be sent once more.
   * @param now - monotonic milliseconds.
   * @returns Whether it may; if so it is counted.
   */
  take(service: string, now: number): boolean {
    if (!this.hasRoom(service, now)) return false;
    this.countedOf(service, now).retries.push(now);
    return true;
  }

  /**
   * @param service - where a request may have to be sent once more.
   * @param now - monotonic milliseconds.
   * @returns Whether it could; nothing is counted.
   */
  hasRoom(service: string, now: number): boolean {
    return this.viewOf(service, now).room >= 1;
  }

  /**
   * @param service - that requests go to.
   * @param now - monotonic milliseconds.
   * @returns What its budget holds.
   */
  viewOf(service: string, now: number): RetryBudgetView {
    const { ratio, allowance, daemons, startedAt = 0 } = this.options;
    const { requests, retries } = this.countedOf(service, now);
    const sharers = Math.max(1, daemons());
    const limit = (ratio * requests.length + allowance / sharers) * SPENT_SHARE;
    return {
      spent: retries.length,
      requests: requests.length,
      room: limit - retries.length,
      ageMilliseconds: now - startedAt,
      daemons: sharers,
    };
  }

  private countedOf(service: string, now: number): Counted {
    const counted = this.services.get(service) ?? this.begin(service);
    const start = now - this.options.windowMilliseconds;
    dropBefore(counted.requests, start);
    dropBefore(counted.retries, start);
    return counted;
  }

  private begin(service: string): Counted {
    const counted: Counted = { requests: [], retries: [] };
    this.services.set(service, counted);
    this.options.onService?.(service, (now) => this.viewOf(service, now).room);
    return counted;
  }
}
