/**
 * Limits the requests to cold runners. A runner that has just started, or has become cold again, sustains only a few
 * requests per second from the whole fleet, and crashes well above that rate.
 *
 * A few daemons, the runner's owners, decide about each cold runner, each with a share of the rate. All other daemons
 * avoid the runner, except for a small share of the rate that they may use when no other runner is left, since they
 * may not be able to reach any owner.
 */
import type { Runner } from './Runner.js';

/** Whether and since when this daemon decides about a runner. */
export interface ColdOwnership {
  /** This daemon's share of the rate, up to 1; 0 if it is not an owner. */
  readonly share: number;
  /** How long the set of owners has been unchanged, in ms. */
  readonly stableMilliseconds: number;
}

/** Options of a {@link ColdStarts}. */
export interface ColdStartsOptions {
  /**
   * Requests per second that a cold runner of a service sustains; `undefined` if the service's runners need no limit.
   */
  rateOf: (service: string) => number | undefined;
  /** This daemon's ownership of a runner, by the runner's incarnation. */
  ownershipOf: (life: string) => ColdOwnership;
  /** Number of daemons that may send requests, including this one. */
  daemons: () => number;
  /** Returns random numbers from 0 up to 1. */
  random?: () => number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** How long a new owner waits before it sends, in ms: the previous owners may have used up the rate of that time. */
const HANDOVER_MILLISECONDS = 1_000;

/** Share of the rate that all daemons which are not owners may use together. */
const NON_OWNERS_SHARE = 0.5;

/** When this daemon may send to a runner again during one cold period of the runner; all times in monotonic ms. */
interface ColdPeriod {
  /** Expected end of the cold period. */
  until: number;
  /** Next request as an owner. */
  nextAsOwnerAt: number;
  /** Next request as a daemon that is not an owner. */
  nextAsNonOwnerAt: number;
}

/** Spaces out the requests that this daemon, and the daemons that it chooses for, send to cold runners. */
export class ColdStarts {
  private readonly options: Required<ColdStartsOptions>;

  private readonly periods = new WeakMap<Runner, ColdPeriod>();

  /**
   * @param options - rates and ownership of cold runners.
   */
  constructor(options: ColdStartsOptions) {
    this.options = { random: Math.random, ...options };
  }

  /**
   * Tells whether a runner is cold and its service limits requests to cold runners.
   *
   * @param runner - the runner to check.
   * @param now - current time, monotonic ms.
   * @returns Whether requests to it are limited.
   */
  isCold({ coldUntil, entry }: Runner, now: number): boolean {
    return coldUntil > now && this.options.rateOf(entry.service) !== undefined;
  }

  /**
   * Tells whether a request may go to a runner under this daemon's ownership.
   *
   * @param runner - the runner to check.
   * @param now - current time, monotonic ms.
   * @returns Whether the runner is warm, or this daemon is an owner with unused rate.
   */
  mayOwnerSend(runner: Runner, now: number): boolean {
    if (!this.isCold(runner, now)) return true;
    const { share, stableMilliseconds } = this.options.ownershipOf(runner.entry.life);
    if (share === 0 || stableMilliseconds < HANDOVER_MILLISECONDS) return false;
    return now >= this.periodOf(runner, now).nextAsOwnerAt;
  }

  /**
   * Tells whether a request may go to a runner within the part of the rate that daemons which are not owners share. It
   * is used when no other runner is left.
   *
   * @param runner - the runner to check.
   * @param now - current time, monotonic ms.
   * @returns Whether the runner is warm, or this daemon's part of the non-owners' rate is unused.
   */
  mayNonOwnerSend(runner: Runner, now: number): boolean {
    if (!this.isCold(runner, now)) return true;
    // A daemon that has just started lists too few other daemons to compute its part.
    const { stableMilliseconds } = this.options.ownershipOf(runner.entry.life);
    if (stableMilliseconds < HANDOVER_MILLISECONDS) return false;
    return now >= this.periodOf(runner, now).nextAsNonOwnerAt;
  }

  /**
   * Counts a request against the rate of its runner.
   *
   * @param runner - the runner that the request goes to.
   * @param now - current time, monotonic ms.
   */
  countRequest(runner: Runner, now: number): void {
    if (!this.isCold(runner, now)) return;
    const period = this.periodOf(runner, now);
    const { share } = this.options.ownershipOf(runner.entry.life);
    if (share > 0)
      period.nextAsOwnerAt =
        Math.max(period.nextAsOwnerAt, now) + this.requestInterval(runner, share);
    period.nextAsNonOwnerAt =
      Math.max(period.nextAsNonOwnerAt, now) + this.nonOwnerInterval(runner);
  }

  private nonOwnerInterval(runner: Runner): number {
    return this.requestInterval(runner, NON_OWNERS_SHARE / this.options.daemons());
  }

  /** @returns Interval between two requests, in ms. */
  private requestInterval({ entry }: Runner, share: number): number {
    const rate = this.options.rateOf(entry.service) ?? Number.POSITIVE_INFINITY;
    return MILLISECONDS_PER_SECOND / (rate * share);
  }

  /**
   * Returns the current cold period of a runner. Daemons that are not owners start at random moments, since all of
   * them may learn of a cold runner at once.
   */
  private periodOf(runner: Runner, now: number): ColdPeriod {
    const until = runner.coldUntil;
    const known = this.periods.get(runner);
    if (known && now < known.until) {
      known.until = until;
      return known;
    }
    const nextAsNonOwnerAt = now + this.options.random() * this.nonOwnerInterval(runner);
    const made = { until, nextAsOwnerAt: now, nextAsNonOwnerAt };
    this.periods.set(runner, made);
    return made;
  }
}
