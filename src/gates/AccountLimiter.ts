/**
 * Tracks what each client account uses at one gate, and checks it against the account's share of its limits.
 */
import { accountShare } from './accountShare.js';
import type { GateRequest } from './gateTypes.js';

interface Usage {
  /** Requests of the account that run or wait at this gate. */
  requests: number;
  /** Tokens left in the bucket; below zero after a request that was larger than what was left. */
  tokens: number;
  /** When the bucket was last refilled, in monotonic milliseconds. */
  refilledAt: number;
}

/** Refusal of a request because its account has used up its share at this gate. */
export interface AccountRefusal {
  /** Milliseconds after which a retry is expected to be within the share. */
  readonly retryAfterMilliseconds: number;
}

const MILLISECONDS_PER_MINUTE = 60_000;

/** Size of an account's token bucket, as a share of its tokens for one minute. */
const BURST_SHARE = 1 / 6;

/** Accounts without requests whose buckets are kept; the one that has been idle longest is dropped first. */
const MAXIMUM_IDLE_ACCOUNTS = 256;

/**
 * Limits the client accounts at one gate: requests are counted exactly, tokens a minute by a token bucket for
 * each account.
 */
export class AccountLimiter {
  private readonly usageByAccount = new Map<string, Usage>();

  private idleAccounts = 0;

  /**
   * Checks a request against its account's share, without charging it.
   *
   * @param now - monotonic milliseconds.
   * @param request - the request.
   * @param poolRunners - number of runners in the pool.
   * @param serviceMilliseconds - average time between two completed requests, from which the retry time follows.
   * @returns `undefined` when the request is within the share.
   */
  check(
    now: number,
    request: GateRequest,
    poolRunners: number,
    serviceMilliseconds: number,
  ): AccountRefusal | undefined {
    const share = AccountLimiter.shareOf(request, poolRunners);
    const use = this.usageByAccount.get(request.clientAccount);
    if (!use) return undefined;
    if (use.requests >= share.concurrent)
      return { retryAfterMilliseconds: serviceMilliseconds / use.requests };
    const rate = share.tokensPerMinute / MILLISECONDS_PER_MINUTE;
    if (rate === Infinity) return undefined;
    const tokens = AccountLimiter.tokensAfterRefill(use, now, share.tokensPerMinute);
    return tokens > 0 ? undefined : { retryAfterMilliseconds: (1 - tokens) / rate };
  }

  /**
   * Charges an admitted request to its account.
   *
   * @param now - monotonic milliseconds.
   * @param request - the request.
   * @param poolRunners - number of runners in the pool.
   */
  charge(now: number, request: GateRequest, poolRunners: number): void {
    const { tokensPerMinute } = AccountLimiter.shareOf(request, poolRunners);
    const limited = tokensPerMinute !== Infinity;
    const known = this.usageByAccount.get(request.clientAccount);
    const use = known ?? {
      requests: 0,
      tokens: limited ? tokensPerMinute * BURST_SHARE : 0,
      refilledAt: now,
    };
    if (known && known.requests === 0) this.idleAccounts -= 1;
    if (limited) {
      const charge = request.promptTokens + request.maximumTokens;
      use.tokens = AccountLimiter.tokensAfterRefill(use, now, tokensPerMinute) - charge;
      use.refilledAt = now;
    }
    use.requests += 1;
    this.usageByAccount.set(request.clientAccount, use);
  }

  /**
   * Releases a request that has ended.
   *
   * @param clientAccount - the account of the request.
   * @param unusedTokens - tokens that were charged but not used; they are returned to the bucket.
   */
  release(clientAccount: string, unusedTokens: number): void {
    const use = this.usageByAccount.get(clientAccount);
    if (!use) return;
    use.requests -= 1;
    use.tokens += unusedTokens;
    if (use.requests > 0) return;
    this.usageByAccount.delete(clientAccount);
    this.usageByAccount.set(clientAccount, use);
    this.idleAccounts += 1;
    if (this.idleAccounts > MAXIMUM_IDLE_ACCOUNTS) this.dropOldestIdle();
  }

  /**
   * Releases a request that did not run, and returns all of its tokens to the bucket.
   *
   * @param request - the request.
   */
  refund({ clientAccount, promptTokens, maximumTokens }: GateRequest): void {
    this.release(clientAccount, promptTokens + maximumTokens);
  }

  /** @returns Number of accounts in memory; bounded by the requests at the gate and the idle accounts kept. */
  get size(): number {
    return this.usageByAccount.size;
  }

  private dropOldestIdle(): void {
    for (const [name, use] of this.usageByAccount) {
      if (use.requests > 0) continue;
      this.usageByAccount.delete(name);
      this.idleAccounts -= 1;
      return;
    }
  }

  private static shareOf(
    request: GateRequest,
    poolRunners: number,
  ): ReturnType<typeof accountShare> {
    return accountShare(
      {
        maximumConcurrent: request.accountMaximumConcurrent,
        maximumTokensPerMinute: request.accountMaximumTokensPerMinute,
      },
      poolRunners,
    );
  }

  private static tokensAfterRefill(use: Usage, now: number, tokensPerMinute: number): number {
    const gained = ((now - use.refilledAt) * tokensPerMinute) / MILLISECONDS_PER_MINUTE;
    return Math.min(tokensPerMinute * BURST_SHARE, use.tokens + gained);
  }
}
