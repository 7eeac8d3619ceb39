/**
 * Retry budget that keeps retries from amplifying a failure: each request adds a fraction of a
 * retry to the token buckets of its client account and of its pool; each retry or hedge takes a
 * whole retry from both.
 *
 * Without it a failing pool would get every request several times just when it can serve none;
 * the symptom is that attempts increase as requests fail. With it, attempts stay below (1 +
 * ratio) × requests + burst for each account and each pool. The budget does not depend on time,
 * so the limit holds for any period.
 */
import { setLatest } from '../collections/setLatest.js';

/** Options of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that one request adds to each of its buckets, 0 to 1. */
  ratio?: number;
  /** Maximum number of retries in a bucket, and the initial number. */
  burst?: number;
  /**
   * Maximum number of buckets; the least recently used one is dropped, and would start with the
   * burst again.
   */
  maximumBuckets?: number;
}

/**
 * Default of {@link RetryBudgetOptions.ratio}: one dead daemon of seven costs 14 % of the first
 * attempts, which this covers.
 */
export const DEFAULT_RETRY_RATIO = 0.2;

/** Default of {@link RetryBudgetOptions.burst}. */
export const DEFAULT_RETRY_BURST = 10;

/**
 * Default of {@link RetryBudgetOptions.maximumBuckets}: more than the number of accounts of the
 * largest site.
 */
export const DEFAULT_MAXIMUM_BUCKETS = 10_000;

/** Buckets count thousandths of a retry, so that additions and subtractions are exact. */
const UNITS_PER_RETRY = 1_000;

/** The client account and the service whose buckets a request uses. */
export interface RetryScope {
  readonly clientAccount: string;
  readonly service: string;
}

function bucketKeysOf({ clientAccount, service }: RetryScope): readonly string[] {
  return [`account:${clientAccount}`, `pool:${service}`];
}

/** Token buckets for retries, one for each account and each pool. */
export class RetryBudget {
  private readonly ratio: number;

  private readonly burst: number;

  private readonly maximumBuckets: number;

  /** Bucket levels by key, least recently used first, for eviction. */
  private readonly buckets = new Map<string, number>();

  /**
   * @param options - ratio, burst and number of buckets.
   */
  constructor({
    ratio = DEFAULT_RETRY_RATIO,
    burst = DEFAULT_RETRY_BURST,
    maximumBuckets = DEFAULT_MAXIMUM_BUCKETS,
  }: RetryBudgetOptions = {}) {
    this.ratio = Math.round(ratio * UNITS_PER_RETRY);
    this.burst = Math.round(burst * UNITS_PER_RETRY);
    this.maximumBuckets = maximumBuckets;
  }

  /**
   * Adds a request's fraction of a retry to its buckets. Called once for each request, regardless
   * of its attempts.
   *
   * @param scope - the request's account and service.
   */
  recordRequest(scope: RetryScope): void {
    for (const key of bucketKeysOf(scope)) {
      this.setLevel(key, Math.min(this.burst, this.levelOf(key) + this.ratio));
    }
  }

  /**
   * Takes one retry from both buckets, or nothing if either of them has less than one.
   *
   * @param scope - the request's account and service.
   * @returns Whether the retry may be sent.
   */
  takeRetry(scope: RetryScope): boolean {
    const keys = bucketKeysOf(scope);
    if (keys.some((key) => this.levelOf(key) < UNITS_PER_RETRY)) return false;
    for (const key of keys) this.setLevel(key, this.levelOf(key) - UNITS_PER_RETRY);
    return true;
  }

  private levelOf(key: string): number {
    return this.buckets.get(key) ?? this.burst;
  }

  private setLevel(key: string, level: number): void {
    setLatest(this.buckets, key, level, this.maximumBuckets);
  }
}
