/**
 * How long a request waits for a runner before it looks for another one. Only requests that may be repeated
 * do; all others wait for their runner until their deadline.
 */
import type { AdmittedRequest } from './forwardingTypes.js';
import type { RunnerAttempt } from './RunnerAttempt.js';

/** What a request knows of its attempts. */
export interface PatienceView {
  readonly request: AdmittedRequest;
  /** Monotonic ms. */
  readonly now: number;
  readonly attempts: ReadonlySet<RunnerAttempt>;
  /** Attempts that have failed and may have run. */
  readonly mayHaveRun: number;
  /** When anything last came or was sent, monotonic ms. */
  readonly lastProgressAt: number;
  /** Whether the caller has events of a stream already. */
  readonly hasEvents: boolean;
  /** Whether the retry budget has room for one more attempt. */
  readonly hasBudget: () => boolean;
  /** Whether the daemon's own link is taken for full or cut: a second runner lies behind it too. */
  readonly isLinkSuspect: boolean;
}

/** A second runner is asked at this share of the target latency, which leaves as much for its answer. */
const HEDGE_SHARE = 0.5;

/** A stream's first event may wait for other prompts; a third of its target leaves time for another runner. */
const FIRST_EVENT_SHARE = 0.35;

/** A batch step of an engine with a long prompt in it takes up to about 250 ms. */
const MINIMUM_FIRST_EVENT_MILLISECONDS = 250;

/** Events of one stream follow each other within about 50 ms; below the longest pause that callers accept. */
const PAUSE_MILLISECONDS = 300;

/**
 * A runner that accepts connections but says nothing for this request is given up after this multiple of the
 * limits above: the answer is late by then, but the caller still waits.
 */
const BUSY_FACTOR = 4;

/**
 * How often a request looks again where there was nothing to do at its time, in ms: whether a quiet stream's runner is
 * heard from, or whether the budget has room for a second runner. Looking at every turn of the event loop would use up
 * the processor of a daemon whose budget is spent, just when its runners fail.
 */
const RECHECK_MILLISECONDS = 150;

function hedges({ request, attempts, mayHaveRun }: PatienceView): boolean {
  const { kind, maximumAttempts } = request.route;
  return kind === 'idempotent' && attempts.size === 1 && mayHaveRun + 1 < maximumAttempts;
}

function hedgeAt({ request, lastProgressAt }: PatienceView): number {
  return lastProgressAt + request.route.targetLatencyMilliseconds * HEDGE_SHARE;
}

function watchesSilence({ request }: PatienceView): boolean {
  return request.route.kind === 'stream' && request.route.resumable;
}

function canGoOnElsewhere({ request, mayHaveRun, hasBudget }: PatienceView): boolean {
  return mayHaveRun + 1 < request.route.maximumAttempts && hasBudget();
}

function silenceLimit({ request, hasEvents }: PatienceView): number {
  if (hasEvents) return PAUSE_MILLISECONDS;
  const share = request.route.targetLatencyMilliseconds * FIRST_EVENT_SHARE;
  return Math.max(MINIMUM_FIRST_EVENT_MILLISECONDS, share);
}

function laterThanNow(time: number, { now }: PatienceView): number {
  return time > now ? time : now + RECHECK_MILLISECONDS;
}

/**
 * @param view - the request.
 * @returns When to look again, monotonic ms.
 */
export function nextCheck(view: PatienceView): number {
  const { deadlineAt } = view.request;
  if (hedges(view)) return Math.min(deadlineAt, laterThanNow(hedgeAt(view), view));
  if (!watchesSilence(view)) return deadlineAt;
  const limitAt = view.lastProgressAt + silenceLimit(view);
  return Math.min(deadlineAt, Math.max(limitAt, view.now + RECHECK_MILLISECONDS));
}

/**
 * @param view - the request.
 * @returns Whether a second runner should get the request beside the first.
 */
export function shouldHedge(view: PatienceView): boolean {
  return hedges(view) && !view.isLinkSuspect && view.now >= hedgeAt(view);
}

/** What to do about a stream that has become quiet. */
export interface Quiet {
  readonly attempt: RunnerAttempt;
  /**
   * What to do where the runner still accepts connections: `wait` for it, or `give_up` because it has kept the request
   * too long. One that accepts none while others do is given up either way.
   */
  readonly ifAccepted: 'wait' | 'give_up';
}

/**
 * A runner that says nothing to anybody may be dark; one that only keeps this request waiting is busy, and
 * another runner would have to read the prompt again.
 *
 * Where no other runner may go on, silence ends nothing: the caller would get a broken answer in place of a late
 * one. One would see streams cut around bursts that had used up their attempts.
 *
 * @param view - the request.
 * @returns The quiet attempt, or `undefined` while there is nothing to do.
 */
export function quietAttempt(view: PatienceView): Quiet | undefined {
  const [attempt] = view.attempts;
  if (!attempt || !watchesSilence(view)) return undefined;
  const quiet = view.now - view.lastProgressAt;
  const limit = silenceLimit(view);
  if (quiet < limit || !canGoOnElsewhere(view)) return undefined;
  if (quiet >= limit * BUSY_FACTOR) return { attempt, ifAccepted: 'give_up' };
  const heard = view.now - attempt.runner.lastHeardAt < limit;
  return heard ? undefined : { attempt, ifAccepted: 'wait' };
}
