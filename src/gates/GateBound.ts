/**
 * The load bound of a runner, as in consistent hashing with bounded loads: bound × mean load of the pool, with
 * extra rules for small pools, low load and large requests.
 */

import { PoolMeanEstimate } from './PoolMeanEstimate.js';

/** Options of a {@link GateBound}. */
export interface GateBoundOptions {
  /** Requests that a runner may have at once even if its load is then above the bound. */
  floorRequests?: number;
}

/** A request and the load of its runner, to be compared with the bound. */
export interface BoundInput {
  /** Tokens of work of the request. */
  readonly work: number;
  /** Highest load of a runner as a multiple of the pool's mean, 1 or more. */
  readonly bound: number;
  /** Tokens of work on the runner that this gate sent. */
  readonly ownWork: number;
  /** Tokens of work on the runner that other daemons sent. */
  readonly foreignWork: number;
  /** Tokens of work that wait at this gate. */
  readonly queuedWork: number;
}

/** Input for the wait of a request. */
export interface WaitInput extends BoundInput {
  /** Tokens of waiting work that leave the queue before the request. */
  readonly aheadWork: number;
}

/** Input for whether a request may start now. */
export interface StartInput extends BoundInput {
  /** Number of requests on the runner that this gate sent. */
  readonly ownRequests: number;
  /** Share of the capacity that the gate may use while it opens, 0 to 1. */
  readonly opened: number;
  /** Whether `foreignWork` is known from a report or a handover. */
  readonly isForeignWorkKnown: boolean;
}

/**
 * An engine runs this many requests in one continuous batch without queueing, so a runner with no more than
 * these is not overloaded. Without this floor, an idle pool, whose mean is 0, could accept no request. In
 * exchange, while bound × mean is less than this many average requests, the busiest runner may have this many.
 */
const DEFAULT_FLOOR_REQUESTS = 4;

/** Time constant of the average work of a request, in requests. */
const AVERAGE_WINDOW_REQUESTS = 32;

/**
 * Share of the capacity that a request counts at most when it is checked. A larger request would otherwise never
 * fit on any runner. In exchange, such a request may raise its runner's load above the bound by the uncounted part.
 */
const MAXIMUM_COUNTED_SHARE = 0.5;

/**
 * Share of the room between the mean and the bound that is kept free. The received mean is more than a second
 * old, fluctuates as requests come and go, and falls when a surge ends, while admitted work can't be withdrawn.
 * Without this headroom the load would stay below the bound for the received mean, but not for the current one.
 */
const HEADROOM_SHARE = 0.25;

/** Tracks the mean load of the pool and checks whether a request fits below the bound. */
export class GateBound {
  private readonly floorRequests: number;

  private readonly trend = new PoolMeanEstimate();

  private runners: number | undefined;

  private averageWork = 0;

  /**
   * @param options - the floor of requests.
   */
  constructor({ floorRequests = DEFAULT_FLOOR_REQUESTS }: GateBoundOptions = {}) {
    this.floorRequests = floorRequests;
  }

  /** @returns Estimate of the pool's current mean load, in tokens of work. */
  get mean(): number {
    return this.trend.estimate();
  }

  /** @returns Number of runners in the pool; 1 until it is known. */
  get poolRunners(): number {
    return this.runners ?? 1;
  }

  /**
   * Updates the mean load and size of the pool.
   *
   * @param now - monotonic milliseconds.
   * @param mean - mean load of the pool's runners, in tokens of work.
   * @param runners - number of runners in the pool; 0 if no load has been received yet.
   */
  updatePool(now: number, mean: number, runners: number): void {
    this.trend.observe(now, Math.max(0, mean));
    // With 0 runners no load has been received yet. Treated as a pool of one, the bound would accept everything.
    this.runners = runners > 0 ? runners : undefined;
  }

  /**
   * Updates the average work of a request.
   *
   * @param work - tokens of work of a new request.
   */
  observeRequest(work: number): void {
    if (this.averageWork === 0) this.averageWork = work;
    else this.averageWork += (work - this.averageWork) / AVERAGE_WINDOW_REQUESTS;
  }

  /**
   * @param question - the request and the load of the runner.
   * @returns Whether the request may start now.
   */
  fits(question: StartInput): boolean {
    const { ownRequests, foreignWork, isForeignWorkKnown, ownWork, opened } = question;
    const hasNoForeignWork = foreignWork === 0 || !isForeignWorkKnown;
    const capacity = this.capacity(question);
    const isBelowFloor = capacity < this.floorRequests * this.averageWork;
    if (hasNoForeignWork && ownRequests < (isBelowFloor ? this.floorRequests : 1)) return true;
    const counted = Math.min(question.work, capacity * MAXIMUM_COUNTED_SHARE);
    if (ownWork + counted > capacity * opened) return false;
    return ownWork + foreignWork + counted <= capacity;
  }

  /**
   * @param question - the request, the work that leaves before it, and the load of the runner.
   * @returns Tokens of work that must leave before the request can start; 0 or less if it can start now.
   */
  excessWork(question: WaitInput): number {
    const { work, ownWork, foreignWork, aheadWork } = question;
    const capacity = this.capacity(question);
    const counted = Math.min(work, capacity * MAXIMUM_COUNTED_SHARE);
    return ownWork + foreignWork + aheadWork + counted - capacity;
  }

  /** Highest load in tokens. The mean includes the request itself, or a pool of one could never accept one. */
  private capacity({ bound, work, ownWork, queuedWork }: BoundInput): number {
    if (this.runners === undefined) return 0;
    const targetBound = 1 + Math.max(0, bound - 1) * (1 - HEADROOM_SHARE);
    const local = (ownWork + queuedWork) / this.runners;
    return targetBound * (Math.max(this.mean, local) + work / this.runners);
  }
}
