/**
 * Estimates how many prompt tokens the runners of a service read in a millisecond, from the times until the first events
 * of answers.
 *
 * The tokens that the runner had to read before count as well; without them, the rate seems lower the more requests wait.
 * Prompts that arrive later are read in between, so single samples are still low, and a high quantile is taken.
 */

import { RecentQuantile } from './RecentQuantile.js';

/** Options of a {@link ReadingRate}. */
export interface ReadingRateOptions {
  /** Rate until there are enough samples, in tokens per ms. */
  defaultTokensPerMillisecond?: number;
}

/** Rate of a current engine with a model of 70 billion parameters, in tokens per ms. */
const DEFAULT_TOKENS_PER_MILLISECOND = 40;

/** Shorter prompts say little, as most of their time is the first step of the batch. */
const LEAST_TOKENS = 1_500;

/** Number of samples before which the default is used. */
const LEAST_SAMPLES = 12;

const QUANTILE = 0.7;

/** Time that passes before the first event even if nothing has to be read: network and one step of the batch; in ms. */
const FIXED_MILLISECONDS = 15;

/** Range of plausible rates, in tokens per ms; a prompt that was cached after all looks as if it had been read at once. */
const LOWEST_RATE = 5;
const HIGHEST_RATE = 120;

/** Rate of one service. */
export class ReadingRate {
  private readonly rates: RecentQuantile;

  /**
   * @param options - the rate to begin with.
   */
  constructor({
    defaultTokensPerMillisecond = DEFAULT_TOKENS_PER_MILLISECOND,
  }: ReadingRateOptions = {}) {
    this.rates = new RecentQuantile({
      quantile: QUANTILE,
      initial: defaultTokensPerMillisecond,
      leastSamples: LEAST_SAMPLES,
    });
  }

  /** @returns Tokens per ms of a runner of usual speed. */
  get tokensPerMillisecond(): number {
    return this.rates.value;
  }

  /**
   * Records an answer.
   *
   * @param unreadTokens - prompt tokens that the runner had to read, for this request and those before it.
   * @param milliseconds - time until the first event.
   * @param slowdown - factor by which work took longer than usual at the runner.
   */
  record(unreadTokens: number, milliseconds: number, slowdown: number): void {
    if (unreadTokens < LEAST_TOKENS) return;
    const reading = Math.max(1, milliseconds - FIXED_MILLISECONDS);
    const rate = (unreadTokens / reading) * slowdown;
    if (rate < LOWEST_RATE || rate > HIGHEST_RATE) return;
    this.rates.record(rate);
  }
}
