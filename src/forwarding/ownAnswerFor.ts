/**
 * The daemon's own answer to a request that no runner has answered.
 */
import type { OwnAnswer } from './AnswerRelay.js';

/** Runners free a place within about this time, in seconds. */
const REFUSED_RETRY_SECONDS = 0.25;

/** What the answer depends on. */
export interface OwnAnswerQuestion {
  /** `refuse`: no runner has run the request, and none will; `fail`: one may have. */
  readonly verdict: 'refuse' | 'fail';
  readonly reason: string;
  /** Whether the caller's deadline has passed. */
  readonly isLate: boolean;
}

/**
 * @param question - how the request stands.
 * @returns What the caller gets.
 */
export function ownAnswerFor({ verdict, reason, isLate }: OwnAnswerQuestion): OwnAnswer {
  if (verdict === 'refuse') {
    return { status: 503, reason, retryAfterSeconds: REFUSED_RETRY_SECONDS };
  }
  return { status: isLate ? 504 : 502, reason };
}
