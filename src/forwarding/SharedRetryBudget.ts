/**
 * Retry budget of the fleet, of which each daemon enforces its own share without communication.
 *
 * Without it, when a service fails, every daemon would send each request several times just when the service can serve
 * none. And if each daemon enforced the operators' limit for the whole fleet by itself, their sum would exceed it.
 *
 * There is one token bucket for each service. It starts empty, and each request adds a fraction of a token. Its capacity
 * is this daemon's share of the allowance plus a share of the retries that the requests of the latest window allow. So
 * every retry of the fleet in a window was earned within that window, or was in a bucket at its start. A restarted
 * process begins with an empty bucket, so the sum stays below the limit over any number of restarts.
 */
import { dropTimesBefore } from '../time/dropTimesBefore.js';

/** Options of a {@link SharedRetryBudget}. */
export interface SharedRetryBudgetOptions {
  /** Retries allowed per request, at least 0. */
  ratio: number;
  /** Additional retries per window, shared by all daemons. */
  allowance: number;
  /** Length of the sliding window, in ms. */
  windowMilliseconds: number;
  /** Number of daemons that share the allowance: the maximum within the latest window. */
  daemons: () => number;
  /** Share of the ratio that each request adds to the bucket; determines how many retries a long failure gets. */
  earnedShare?: number;
  /**
   * Share of the ratio that a bucket may hold for the requests of the latest window; determines how many requests that
   * fail at the same moment are retried. The sum of both shares has to stay below 1, because retries that were sent
   * before a window may arrive in it.
   */
  heldShare?: number;
  /** When the daemon begins to count, monotonic ms. */
  startedAt?: number;
  /** Called for each service before its first request is counted, with a function that returns the room in its budget. */
  onService?: (service: string, roomAt: (now: number) => number) => void;
}

/** State of the budget of one service. */
export interface RetryBudgetView {
  /** Number of retries within the window. */
  readonly spent: number;
  /** Number of requests within the window. */
  readonly requests: number;
  /** Tokens in the bucket: the number of retries that are possible now. */
  readonly room: number;
  /** Time since the daemon began to count, in ms. */
  readonly ageMilliseconds: number;
  /** Number of daemons that share the allowance. */
  readonly daemons: number;
}

interface Bucket {
  tokens: number;
  /** When the requests of the latest window arrived, monotonic ms. */
  readonly requests: number[];
  /** When the retries of the latest window were sent, monotonic ms. */
  readonly retries: number[];
}

/** Token buckets of one daemon, by service. */
export class SharedRetryBudget {
  private readonly options: Required<SharedRetryBudgetOptions>;

  private readonly services = new Map<string, Bucket>();

  /**
   * @param options - the operators' limits and the size of the fleet.
   */
  constructor({
    earnedShare = 0.75,
    heldShare = 0.2,
    startedAt = 0,
    onService = () => undefined,
    ...options
  }: SharedRetryBudgetOptions) {
    this.options = { ...options, earnedShare, heldShare, startedAt, onService };
  }

  /**
   * Counts a request, which adds a fraction of a token to the bucket.
   *
   * @param service - service of the request.
   * @param now - monotonic ms.
   */
  recordRequest(service: string, now: number): void {
    const bucket = this.bucketOf(service, now);
    bucket.requests.push(now);
    bucket.tokens += this.options.earnedShare * this.options.ratio;
  }

  /**
   * Takes a token for a retry, if there is one.
   *
   * @param service - service of the request to retry.
   * @param now - monotonic ms.
   * @returns Whether the retry is allowed; if so, it has been counted.
   */
  take(service: string, now: number): boolean {
    if (!this.hasRoom(service, now)) return false;
    const bucket = this.bucketOf(service, now);
    bucket.tokens -= 1;
    bucket.retries.push(now);
    return true;
  }

  /**
   * @param service - service of a request that may need a retry.
   * @param now - monotonic ms.
   * @returns Whether a retry would be allowed; nothing is counted.
   */
  hasRoom(service: string, now: number): boolean {
    return this.bucketOf(service, now).tokens >= 1;
  }

  /**
   * @param service - name of the service.
   * @param now - monotonic ms.
   * @returns State of its budget.
   */
  viewOf(service: string, now: number): RetryBudgetView {
    const { tokens, requests, retries } = this.bucketOf(service, now);
    return {
      spent: retries.length,
      requests: requests.length,
      room: tokens,
      ageMilliseconds: now - this.options.startedAt,
      daemons: this.options.daemons(),
    };
  }

  private bucketOf(service: string, now: number): Bucket {
    const bucket = this.services.get(service) ?? this.createBucket(service);
    const start = now - this.options.windowMilliseconds;
    dropTimesBefore(bucket.requests, start);
    dropTimesBefore(bucket.retries, start);
    bucket.tokens = Math.min(bucket.tokens, this.capacityOf(bucket));
    return bucket;
  }

  private capacityOf({ requests }: Bucket): number {
    const { ratio, allowance, heldShare, daemons } = this.options;
    return allowance / daemons() + heldShare * ratio * requests.length;
  }

  private createBucket(service: string): Bucket {
    const bucket: Bucket = { tokens: 0, requests: [], retries: [] };
    this.services.set(service, bucket);
    this.options.onService(service, (now) => this.viewOf(service, now).room);
    return bucket;
  }
}
