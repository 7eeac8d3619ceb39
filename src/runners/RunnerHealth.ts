/**
 * Outlier detection for one runner, from real traffic alone: health checks cost slots, and a runner may pass
 * them while it fails requests.
 *
 * What goes wrong without it: a runner that is dark or fails every second request gets its share of requests
 * until the platform's list drops it, up to four seconds later; one would see failures in one runner's
 * requests only. A runner that cannot be reached is left alone at once, one that fails often after a few
 * failures, each time for longer. After that a single request finds out whether it is back.
 */

/** How a request ended, as far as it speaks for or against its runner. */
export type RunnerOutcome = 'answered' | 'failed' | 'unreachable';

/** First time that a runner is left alone, in ms: two thirds of a runner's heartbeat interval. */
const FIRST_PAUSE_MILLISECONDS = 800;

/** Longest time, in ms: the platform's list drops a dead runner within about this time. */
const LONGEST_PAUSE_MILLISECONDS = 4_000;

/** Half of what is remembered of outcomes is forgotten in this time, in ms. */
const HALF_LIFE_MILLISECONDS = 2_000;

/** Share of failures from which a runner is left alone; services answer up to 0.14 with an error of their own. */
const MAXIMUM_FAILURE_SHARE = 0.3;

/** Failures, after forgetting, that it takes: one or two are chance. */
const MINIMUM_FAILURES = 2.5;

/** Counts the outcomes of one runner. */
export class RunnerHealth {
  private failures = 0;

  private total = 0;

  private countedAt = 0;

  private pausedUntil = 0;

  private pauses = 0;

  private probing = false;

  /**
   * @param now - monotonic milliseconds.
   * @returns Whether the runner may get a request that has another place to go.
   */
  isUsable(now: number): boolean {
    if (this.pauses === 0) return true;
    return now >= this.pausedUntil && !this.probing;
  }

  /** Notes that a request is sent; after a pause it is the one that finds out. */
  sent(): void {
    if (this.pauses > 0) this.probing = true;
  }

  /** Notes that a request ended without telling anything, for example because its caller left. */
  abandoned(): void {
    this.probing = false;
  }

  /**
   * @param now - monotonic milliseconds.
   * @param outcome - how a request ended.
   * @returns Whether the runner is left alone from now on, and was not before.
   */
  record(now: number, outcome: RunnerOutcome): boolean {
    this.forget(now);
    this.total += 1;
    const probed = this.probing;
    this.probing = false;
    if (outcome === 'answered') {
      if (probed || now >= this.pausedUntil) this.pauses = 0;
      return false;
    }
    this.failures += 1;
    const often =
      this.failures >= MINIMUM_FAILURES && this.failures > this.total * MAXIMUM_FAILURE_SHARE;
    if (outcome === 'failed' && !often && !probed) return false;
    return this.pause(now);
  }

  private pause(now: number): boolean {
    if (now < this.pausedUntil) return false;
    const pause = FIRST_PAUSE_MILLISECONDS * 2 ** this.pauses;
    this.pausedUntil = now + Math.min(LONGEST_PAUSE_MILLISECONDS, pause);
    this.pauses += 1;
    return true;
  }

  private forget(now: number): void {
    const kept = 0.5 ** ((now - this.countedAt) / HALF_LIFE_MILLISECONDS);
    this.failures *= kept;
    this.total *= kept;
    this.countedAt = now;
  }
}
