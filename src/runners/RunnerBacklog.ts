/**
 * Limits the requests of this daemon at a runner that has become too slow to answer them in time.
 *
 * What fails without it: a runner that loses most of its speed is filled as if it had all of it. Each request there waits
 * until its deadline behind others that wait as long, so that nothing is answered in time, and a runner that is fast
 * again first runs what nobody waits for any more.
 *
 * The limit is halved when a request was given up unanswered, and grows by one each time that as many requests were
 * answered as it allows. A daemon of a large fleet has about one request at a runner, so below one request the pauses
 * between two of them grow instead.
 */

/** Options of a {@link RunnerBacklog}. */
export interface RunnerBacklogOptions {
  /** Returns random numbers from 0 up to 1. */
  random?: () => number;
}

/** Bounds of the pause after a request was given up while the limit is one request, in ms. */
const SHORTEST_PAUSE_MILLISECONDS = 250;
const LONGEST_PAUSE_MILLISECONDS = 8_000;

/** Smallest share of a pause that is kept; the rest is random, so that daemons do not come back at the same moment. */
const FIXED_SHARE = 0.5;

/** Time without such an event after which the limit is lifted, in ms. */
const FORGET_MILLISECONDS = 20_000;

/** Counts what one runner has answered and left unanswered. */
export class RunnerBacklog {
  private readonly random: () => number;

  /** Maximum number of requests of this daemon at the runner. */
  private limit = Number.POSITIVE_INFINITY;

  private pauseMilliseconds = 0;

  private pausedUntil = Number.NEGATIVE_INFINITY;

  private reducedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param options - the random numbers.
   */
  constructor({ random = Math.random }: RunnerBacklogOptions = {}) {
    this.random = random;
  }

  /**
   * @param inFlight - requests of this daemon at the runner.
   * @param now - monotonic ms.
   * @returns Whether the runner may get another request.
   */
  admits(inFlight: number, now: number): boolean {
    if (!this.isLimited(now)) return true;
    return now >= this.pausedUntil && inFlight < Math.floor(this.limit);
  }

  /**
   * @param now - monotonic ms.
   * @returns Time until the runner may get a request again, in ms; 0 if only its answers have to be awaited.
   */
  remainingPause(now: number): number {
    return this.isLimited(now) ? Math.max(0, this.pausedUntil - now) : 0;
  }

  /**
   * Records that a request was given up before the runner had sent anything for it, although it had waited for long.
   *
   * @param startedAt - when the request was sent, monotonic ms.
   * @param inFlight - requests of this daemon at the runner, including this one.
   * @param now - monotonic ms.
   */
  recordUnanswered(startedAt: number, inFlight: number, now: number): void {
    // What was sent before the limit was reduced says nothing of the reduced limit.
    if (startedAt < this.reducedAt) return;
    const before = this.isLimited(now) ? Math.min(this.limit, inFlight) : inFlight;
    this.reducedAt = now;
    this.limit = Math.max(1, before / 2);
    if (before > 1) return;
    const longer = Math.max(SHORTEST_PAUSE_MILLISECONDS, this.pauseMilliseconds * 2);
    this.pauseMilliseconds = Math.min(LONGEST_PAUSE_MILLISECONDS, longer);
    const share = FIXED_SHARE + (1 - FIXED_SHARE) * this.random();
    this.pausedUntil = now + this.pauseMilliseconds * share;
  }

  /** Records that the runner has begun to answer a request. */
  recordAnswered(): void {
    this.pauseMilliseconds = 0;
    this.limit += 1 / this.limit;
  }

  private isLimited(now: number): boolean {
    return now - this.reducedAt < FORGET_MILLISECONDS;
  }
}
