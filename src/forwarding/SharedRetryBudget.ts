/**
 * This daemon's part of a retry budget that all daemons draw on, kept without asking anybody.
 *
 * What goes wrong without it: when a service fails, every daemon sends each request several times just when the service
 * can serve none, and the operators' limit for the whole fleet is passed although each daemon keeps it by itself.
 *
 * One token bucket for each service. It starts empty, each request earns a part of a token, and it holds no more than
 * this daemon's part of the allowance and a share of what the latest requests may have. Whatever the fleet sends once
 * more in a window was earned within that window, or lay in buckets at its start: a process that starts again brings
 * nothing along, so that the sum stays below the limit over any number of starts.
 */
import { dropBefore } from '../time/dropBefore.js';

/** Options of a {@link SharedRetryBudget}. */
export interface SharedRetryBudgetOptions {
  /** Retries for each request, from 0. */
  ratio: number;
  /** Retries in a window that all daemons together have besides. */
  allowance: number;
  /** Length of the sliding window, in ms. */
  windowMilliseconds: number;
  /** How many daemons share the allowance: the most of the latest window. */
  daemons: () => number;
  /** Part of the ratio that requests earn as they come; decides how much of a long failure is retried. */
  earnedShare?: number;
  /**
   * Part of the ratio that a bucket may hold for the requests of the latest window; decides how many requests that fail
   * at one moment are retried. Both together stay below 1: what was sent before a window may arrive in it.
   */
  heldShare?: number;
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

interface Bucket {
  tokens: number;
  /** When the latest requests came, monotonic ms. */
  readonly requests: number[];
  /** When the latest retries were sent, monotonic ms. */
  readonly retries: number[];
}

/** Buckets by service. */
export class SharedRetryBudget {
  private readonly options: Required<SharedRetryBudgetOptions>;

  private readonly services = new Map<string, Bucket>();

  /**
   * @param options - the operators' limits.
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
   * @param service - where a request goes.
   * @param now - monotonic milliseconds.
   */
  recordRequest(service: string, now: number): void {
    const bucket = this.bucketOf(service, now);
    bucket.requests.push(now);
    bucket.tokens += this.options.earnedShare * this.options.ratio;
  }

  /**
   * @param service - where a request would be sent once more.
   * @param now - monotonic milliseconds.
   * @returns Whether it may; if so it is counted.
   */
  take(service: string, now: number): boolean {
    if (!this.hasRoom(service, now)) return false;
    const bucket = this.bucketOf(service, now);
    bucket.tokens -= 1;
    bucket.retries.push(now);
    return true;
  }

  /**
   * @param service - where a request may have to be sent once more.
   * @param now - monotonic milliseconds.
   * @returns Whether it could; nothing is counted.
   */
  hasRoom(service: string, now: number): boolean {
    return this.bucketOf(service, now).tokens >= 1;
  }

  /**
   * @param service - that requests go to.
   * @param now - monotonic milliseconds.
   * @returns What its budget holds.
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
    const bucket = this.services.get(service) ?? this.begin(service);
    const start = now - this.options.windowMilliseconds;
    dropBefore(bucket.requests, start);
    dropBefore(bucket.retries, start);
    bucket.tokens = Math.min(bucket.tokens, this.capacityOf(bucket));
    return bucket;
  }

  private capacityOf({ requests }: Bucket): number {
    const { ratio, allowance, heldShare, daemons } = this.options;
    return allowance / daemons() + heldShare * ratio * requests.length;
  }

  private begin(service: string): Bucket {
    const bucket: Bucket = { tokens: 0, requests: [], retries: [] };
    this.services.set(service, bucket);
    this.options.onService(service, (now) => this.viewOf(service, now).room);
    return bucket;
  }
}
