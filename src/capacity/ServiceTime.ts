/**
 * Estimates how long a runner of usual speed takes for a plain request of its service.
 *
 * The estimate is the median of recent times, without the time in the runner's queue.
 */

import { RecentQuantile } from './RecentQuantile.js';

/** Options of a {@link ServiceTime}. */
export interface ServiceTimeOptions {
  /** Time until there are enough samples, in ms. */
  defaultMilliseconds?: number;
}

const DEFAULT_MILLISECONDS = 50;

const LEAST_SAMPLES = 8;

/** The median; a lower quantile gave 80 ms for requests of 100 ms, and so more requests than runners could answer in time. */
const QUANTILE = 0.5;

/** Time of one service. */
export class ServiceTime {
  private readonly times: RecentQuantile;

  /**
   * @param options - the time to begin with.
   */
  constructor({ defaultMilliseconds = DEFAULT_MILLISECONDS }: ServiceTimeOptions = {}) {
    this.times = new RecentQuantile({
      quantile: QUANTILE,
      initial: defaultMilliseconds,
      leastSamples: LEAST_SAMPLES,
    });
  }

  /** @returns Time for one request, in ms. */
  get milliseconds(): number {
    return this.times.value;
  }

  /**
   * Records an answer.
   *
   * @param milliseconds - time since the request was sent.
   * @param slowdown - factor by which work took longer than usual at the runner.
   */
  record(milliseconds: number, slowdown: number): void {
    this.times.record(milliseconds / slowdown);
  }
}
