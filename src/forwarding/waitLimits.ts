/**
 * Limits of how long a request waits for its runner: when an idempotent call is hedged, and when a resumable stream is
 * stalled, so that its runner is probed or given up. All other requests wait for their runner until their deadline.
 */
import type { AdmittedRequest } from './forwardingTypes.js';
import type { RunnerAttempt } from './RunnerAttempt.js';

/** Pause before another attempt at runners that have all refused the connection, in ms. */
const READMISSION_MILLISECONDS = 250;

/**
 * @param now - monotonic ms.
 * @param deadlineAt - deadline of the request, monotonic ms.
 * @returns When to try runners again that have all refused the connection, monotonic ms.
 */
export function readmissionAt(now: number, deadlineAt: number): number {
  return Math.min(now + READMISSION_MILLISECONDS, deadlineAt);
}

/** Progress of a request and its attempts. */
export interface RequestProgress {
  readonly request: AdmittedRequest;
  /** Current time, monotonic ms. */
  readonly now: number;
  /** Attempts in progress. */
  readonly attempts: ReadonlySet<RunnerAttempt>;
  /** Number of failed attempts that may have run. */
  readonly mayHaveRun: number;
  /** When the answer last made progress (a complete event of a stream), or an attempt was sent; monotonic ms. */
  readonly lastProgressAt: number;
  /** Whether complete events of the stream have arrived, other than comments. */
  readonly hasEvents: boolean;
  /** Whether the retry budget has room for one more attempt. */
  readonly hasBudget: () => boolean;
  /** Whether the daemon's own network link is suspected to be saturated or down; a second runner is behind it, too. */
  readonly isLinkSuspect: boolean;
}

/** A request is hedged after this share of its target latency, which leaves the second runner as much time. */
const HEDGE_SHARE = 0.5;

/**
 * Stall limit before the first event of a stream, as a share of the target latency. The event may have to wait for other
 * prompts; about a third of the target leaves time for another runner.
 */
const FIRST_EVENT_SHARE = 0.35;

/** Minimum stall limit before the first event, in ms; a batch step of an engine with a long prompt takes up to about 250 ms. */
const MINIMUM_FIRST_EVENT_MILLISECONDS = 250;

/**
 * Stall limit between two events of a stream, in ms. Events normally follow each other within about 50 ms; the limit is
 * below the longest pause that callers accept.
 */
const MAXIMUM_EVENT_GAP_MILLISECONDS = 300;

/**
 * A runner that accepts connections but sends nothing for this request is given up after this multiple of the stall
 * limit. The answer is late by then, but the caller is still waiting.
 */
const GIVE_UP_FACTOR = 4;

/**
 * Interval at which a request is checked again if nothing could be done when its limit was reached, in ms. It checks
 * whether the runner of a stalled stream is responsive, or whether the budget has room for a hedged request. Checks at
 * every turn of the event loop would use up the processor of a daemon whose budget is spent, just when its runners fail.
 */
const RECHECK_MILLISECONDS = 150;

function isHedgeable({ request, attempts, mayHaveRun }: RequestProgress): boolean {
  const { kind, maximumAttempts } = request.route;
  return kind === 'idempotent' && attempts.size === 1 && mayHaveRun + 1 < maximumAttempts;
}

function hedgeAt({ request, lastProgressAt }: RequestProgress): number {
  return lastProgressAt + request.route.targetLatencyMilliseconds * HEDGE_SHARE;
}

function isResumableStream({ request }: RequestProgress): boolean {
  return request.route.kind === 'stream' && request.route.resumable;
}

function mayRetryElsewhere({ request, mayHaveRun, hasBudget }: RequestProgress): boolean {
  return mayHaveRun + 1 < request.route.maximumAttempts && hasBudget();
}

function stallLimit({ request, hasEvents }: RequestProgress): number {
  if (hasEvents) return MAXIMUM_EVENT_GAP_MILLISECONDS;
  const share = request.route.targetLatencyMilliseconds * FIRST_EVENT_SHARE;
  return Math.max(MINIMUM_FIRST_EVENT_MILLISECONDS, share);
}

function notBeforeRecheck(time: number, { now }: RequestProgress): number {
  return time > now ? time : now + RECHECK_MILLISECONDS;
}

/**
 * @param view - progress of the request.
 * @returns When to check the request again, monotonic ms.
 */
export function nextCheck(view: RequestProgress): number {
  const { deadlineAt } = view.request;
  if (isHedgeable(view)) return Math.min(deadlineAt, notBeforeRecheck(hedgeAt(view), view));
  if (!isResumableStream(view)) return deadlineAt;
  const limitAt = view.lastProgressAt + stallLimit(view);
  return Math.min(deadlineAt, Math.max(limitAt, view.now + RECHECK_MILLISECONDS));
}

/**
 * @param view - progress of the request.
 * @returns Whether the request should be hedged: sent to a second runner while the first is still working on it.
 */
export function shouldHedge(view: RequestProgress): boolean {
  return isHedgeable(view) && !view.isLinkSuspect && view.now >= hedgeAt(view);
}

/** The attempt of a stalled stream, and what to do about it. */
export interface StalledAttempt {
  readonly attempt: RunnerAttempt;
  /**
   * What to do if the runner still accepts connections: `wait` for it, or `give_up` because it has kept the request too
   * long. A runner that accepts none while others do is given up in either case.
   */
  readonly ifAccepted: 'wait' | 'give_up';
}

/**
 * Finds out whether a stream is stalled, so that its runner has to be probed.
 *
 * A runner that sends nothing for any request may be unresponsive. One that only keeps this request waiting is busy, and
 * is probed only after a multiple of the limit, because another runner would have to read the prompt again.
 *
 * If no other runner may take over, a stalled attempt is never ended: the caller would get a broken answer instead of a
 * late one. The symptom was streams that were cut around bursts, after their attempts had been used up.
 *
 * @param view - progress of the request.
 * @returns The stalled attempt, or `undefined` if there is nothing to do.
 */
export function stalledAttempt(view: RequestProgress): StalledAttempt | undefined {
  const [attempt] = view.attempts;
  if (!attempt || !isResumableStream(view)) return undefined;
  const quietMilliseconds = view.now - view.lastProgressAt;
  const limit = stallLimit(view);
  if (quietMilliseconds < limit || !mayRetryElsewhere(view)) return undefined;
  if (quietMilliseconds >= limit * GIVE_UP_FACTOR) return { attempt, ifAccepted: 'give_up' };
  const isResponsive = view.now - attempt.runner.lastHeardAt < limit;
  return isResponsive ? undefined : { attempt, ifAccepted: 'wait' };
}
