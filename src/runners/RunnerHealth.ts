/**
 * Outlier ejection for one runner, based on real traffic alone: health checks take slots of the runner, and a runner
 * may pass them while it fails requests.
 *
 * What goes wrong without it: a runner that is unresponsive or fails every second request keeps getting its share of
 * requests until the platform's list drops it, up to four seconds later; the failures all occur at that one runner. A
 * runner that cannot be reached is ejected at once, and one that fails often is ejected after a few failures, each
 * time for longer. When the ejection ends, a single request probes whether the runner has recovered.
 *
 * A runner that fails as often as the others of its service is no outlier: the service itself fails, and ejecting its
 * runners in turn would only send prompts to runners that have to read them again.
 */
import { FailureShare } from './FailureShare.js';

/**
 * How a request ended, as far as it tells something about its runner. `not_connected`: its host refused the connection;
 * `unreachable`: it was unresponsive.
 */
export type RunnerOutcome = 'answered' | 'failed' | 'not_connected' | 'unreachable';

/** Outcomes of a runner that cannot serve copies of cached prompts either. */
const UNREACHABLE_OUTCOMES: ReadonlySet<RunnerOutcome> = new Set(['not_connected', 'unreachable']);

/** First ejection time, in ms: two thirds of a runner's heartbeat interval. */
const FIRST_EJECTION_MILLISECONDS = 800;

/** Longest ejection time, in ms: the platform's list drops a dead runner within about this time. */
const LONGEST_EJECTION_MILLISECONDS = 4_000;

/**
 * Share of failures above which a runner is ejected; services answer a share of up to 0.14 with an error of their own.
 */
const MAXIMUM_FAILURE_SHARE = 0.3;

/** Decayed number of failures that an ejection takes; one or two may be chance. */
const MINIMUM_FAILURES = 2.5;

/**
 * An outlier fails this many times as often as the other runners of its service. This tells a healthy service with one
 * bad runner in three apart from a failing one, in which half of the runners fail every second request.
 */
const OUTLIER_FACTOR = 2;

/** Decayed number of outcomes of the other runners below which the comparison with them is skipped. */
const MINIMUM_OUTCOMES_OF_OTHERS = 6;

/** Counts the outcomes of one runner and ejects it while it fails. */
export class RunnerHealth {
  private readonly own = new FailureShare();

  /** Failure share over all runners of the service, including this one. */
  private readonly service: FailureShare;

  private ejectedUntil = 0;

  /** Outcome that caused the last ejection. */
  private ejectedFor: RunnerOutcome = 'answered';

  /** When the host last refused a connection, monotonic ms; `undefined` if the last outcome was another one. */
  private notConnectedAt: number | undefined;

  /** Consecutive ejections; each doubles the ejection time. */
  private pauses = 0;

  /** Whether the probe after an ejection is in flight. */
  private isProbing = false;

  /**
   * @param service - failure share over all runners of the service.
   */
  constructor(service: FailureShare = new FailureShare()) {
    this.service = service;
  }

  /** @returns When the host last refused a connection, monotonic ms; `undefined` if the last outcome was another one. */
  get lastNotConnectedAt(): number | undefined {
    return this.notConnectedAt;
  }

  /**
   * Tells whether cached prompts can be copied from the runner; a runner that fails requests still serves copies.
   *
   * @param now - current time, monotonic ms.
   * @returns Whether it is reachable.
   */
  isReachable(now: number): boolean {
    return !UNREACHABLE_OUTCOMES.has(this.ejectedFor) || this.isUsable(now);
  }

  /**
   * Tells whether the runner may get a request that could go to another runner.
   *
   * @param now - current time, monotonic ms.
   * @returns Whether it is not ejected and no probe is in flight.
   */
  isUsable(now: number): boolean {
    if (this.pauses === 0) return true;
    return now >= this.ejectedUntil && !this.isProbing;
  }

  /** Records that a request is sent to the runner; the first one after an ejection is the probe. */
  recordSent(): void {
    if (this.pauses > 0) this.isProbing = true;
  }

  /** Records that a request ended without an outcome, for example because its caller disconnected. */
  recordAbandoned(): void {
    this.isProbing = false;
  }

  /**
   * Records the outcome of a request.
   *
   * @param now - current time, monotonic ms.
   * @param outcome - how the request ended.
   * @returns Whether this outcome ejects the runner.
   */
  record(now: number, outcome: RunnerOutcome): boolean {
    this.own.record(now, outcome !== 'answered');
    this.service.record(now, outcome !== 'answered');
    const wasProbe = this.isProbing;
    this.isProbing = false;
    this.notConnectedAt = outcome === 'not_connected' ? now : undefined;
    if (outcome === 'answered') {
      if (wasProbe || now >= this.ejectedUntil) this.pauses = 0;
      return false;
    }
    if (outcome === 'failed' && !this.isOutlier() && !wasProbe) return false;
    return this.eject(now, outcome);
  }

  private isOutlier(): boolean {
    const { failures, total } = this.own;
    const share = failures / total;
    if (failures < MINIMUM_FAILURES || share <= MAXIMUM_FAILURE_SHARE) return false;
    const others = this.service.total - total;
    if (others < MINIMUM_OUTCOMES_OF_OTHERS) return true;
    return share > (OUTLIER_FACTOR * (this.service.failures - failures)) / others;
  }

  private eject(now: number, outcome: RunnerOutcome): boolean {
    if (now < this.ejectedUntil) return false;
    const duration = FIRST_EJECTION_MILLISECONDS * 2 ** this.pauses;
    this.ejectedUntil = now + Math.min(LONGEST_EJECTION_MILLISECONDS, duration);
    this.pauses += 1;
    this.ejectedFor = outcome;
    return true;
  }
}
