/**
 * Outlier detection for one runner, from real traffic alone: health checks cost slots, and a runner may pass
 * them while it fails requests.
 *
 * What goes wrong without it: a runner that is dark or fails every second request gets its share of requests
 * until the platform's list drops it, up to four seconds later; one would see failures in one runner's
 * requests only. A runner that cannot be reached is left alone at once, one that fails often after a few
 * failures, each time for longer. After that a single request finds out whether it is back.
 *
 * A runner that fails as often as the others of its service is no outlier: the service itself fails, and leaving its
 * runners alone in turn only sends prompts to runners that have to read them again.
 */
import { FailureShare } from './FailureShare.js';

/** How a request ended, as far as it speaks for or against its runner. */
export type RunnerOutcome = 'answered' | 'failed' | 'unreachable';

/** First time that a runner is left alone, in ms: two thirds of a runner's heartbeat interval. */
const FIRST_PAUSE_MILLISECONDS = 800;

/** Longest time, in ms: the platform's list drops a dead runner within about this time. */
const LONGEST_PAUSE_MILLISECONDS = 4_000;

/** Share of failures from which a runner is left alone; services answer up to 0.14 with an error of their own. */
const MAXIMUM_FAILURE_SHARE = 0.3;

/** Failures, after forgetting, that it takes: one or two are chance. */
const MINIMUM_FAILURES = 2.5;

/**
 * An outlier fails this many times as often as the other runners of its service; with half of them failing every
 * second request a sound service with one bad runner in three is still told apart.
 */
const OUTLIER_FACTOR = 2;

/** Outcomes of the others, after forgetting, below which they say nothing. */
const MINIMUM_OF_OTHERS = 6;

/** Counts the outcomes of one runner. */
export class RunnerHealth {
  private readonly own = new FailureShare();

  /** Of all runners of the service, this one too. */
  private readonly service: FailureShare;

  private pausedUntil = 0;

  private pausedFor: RunnerOutcome = 'answered';

  private pauses = 0;

  private probing = false;

  /**
   * @param service - outcomes of all runners of its service.
   */
  constructor(service: FailureShare = new FailureShare()) {
    this.service = service;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Whether it can be asked for cached prompts: one that fails requests still hands them out.
   */
  isReachable(now: number): boolean {
    return this.pausedFor !== 'unreachable' || this.isUsable(now);
  }

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
    this.own.record(now, outcome !== 'answered');
    this.service.record(now, outcome !== 'answered');
    const probed = this.probing;
    this.probing = false;
    if (outcome === 'answered') {
      if (probed || now >= this.pausedUntil) this.pauses = 0;
      return false;
    }
    if (outcome === 'failed' && !this.isOutlier() && !probed) return false;
    return this.pause(now, outcome);
  }

  private isOutlier(): boolean {
    const { failures, total } = this.own;
    const share = failures / total;
    if (failures < MINIMUM_FAILURES || share <= MAXIMUM_FAILURE_SHARE) return false;
    const others = this.service.total - total;
    if (others < MINIMUM_OF_OTHERS) return true;
    return share > (OUTLIER_FACTOR * (this.service.failures - failures)) / others;
  }

  private pause(now: number, outcome: RunnerOutcome): boolean {
    if (now < this.pausedUntil) return false;
    const pause = FIRST_PAUSE_MILLISECONDS * 2 ** this.pauses;
    this.pausedUntil = now + Math.min(LONGEST_PAUSE_MILLISECONDS, pause);
    this.pauses += 1;
    this.pausedFor = outcome;
    return true;
  }
}
