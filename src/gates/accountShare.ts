/**
 * Splits the limits of a client account over the gates of a pool, without any messages between the gates.
 *
 * A limit of 20 over 1,500 gates is below one request a gate: rounding up would exceed it seventy-fold, and rounding
 * down would refuse everything. So an account with a small limit uses only a few runners of the pool, chosen by
 * rendezvous hashing over its name (shuffle sharding), and each of their gates enforces an equal share of some whole
 * requests. Gates and the daemons that place requests compute the same number of runners from the limit and the
 * size of the pool alone.
 */

/** Limits of a client account over a whole pool; 0 means no limit. */
export interface AccountLimits {
  readonly maximumConcurrent: number;
  readonly maximumTokensPerMinute: number;
}

/** Share of an account's limits that one gate enforces. */
export interface AccountShare {
  /** Requests in progress; `Infinity` without a limit. */
  readonly concurrent: number;
  /** Tokens a minute; `Infinity` without a limit. */
  readonly tokensPerMinute: number;
}

/** Requests in a gate's share; at 4, rounding up exceeds a limit that is shared by at most a quarter. */
const REQUESTS_PER_GATE = 4;

/** Tokens a minute in a gate's share; enough for some requests a minute, so that the pauses between them are short. */
const TOKENS_PER_MINUTE_PER_GATE = 30_000;

/** Fewest runners that an account uses; with only one, its failure would stop the account. */
const MINIMUM_RUNNERS = 2;

/**
 * Computes how many runners of a pool an account uses.
 *
 * @param limits - the account's limits.
 * @param poolRunners - number of runners in the pool.
 * @returns From 1 to `poolRunners`; all of them for an account without limits.
 */
export function accountRunnerCount(limits: AccountLimits, poolRunners: number): number {
  const byRequests = Math.ceil(limits.maximumConcurrent / REQUESTS_PER_GATE);
  const byTokens = Math.ceil(limits.maximumTokensPerMinute / TOKENS_PER_MINUTE_PER_GATE);
  const wanted = Math.max(byRequests, byTokens);
  if (wanted === 0) return Math.max(1, poolRunners);
  return Math.max(1, Math.min(poolRunners, Math.max(MINIMUM_RUNNERS, wanted)));
}

/**
 * Computes an account's share at one gate. All shares together exceed the limit of requests by less than one request
 * for each gate in use, and never exceed the limit of tokens.
 *
 * @param limits - the account's limits.
 * @param poolRunners - number of runners in the pool.
 * @returns The share.
 */
export function accountShare(limits: AccountLimits, poolRunners: number): AccountShare {
  const runners = accountRunnerCount(limits, poolRunners);
  const { maximumConcurrent, maximumTokensPerMinute } = limits;
  return {
    concurrent: maximumConcurrent === 0 ? Infinity : Math.ceil(maximumConcurrent / runners),
    tokensPerMinute: maximumTokensPerMinute === 0 ? Infinity : maximumTokensPerMinute / runners,
  };
}
