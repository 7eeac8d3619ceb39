/**
 * Polls at a bounded rate with jitter; the next poll is scheduled only after the last one has ended.
 */
import { seededRandom } from '../random/seededRandom.js';

/** Options of a {@link GateTaskPoller}. */
export interface GateTaskPollerOptions {
  intervalMilliseconds: number;
  /** Seed of the jitter; different seeds spread the pollers of a daemon over the interval. */
  seed: number;
  /** Polls once. It has to handle its own failures: a rejected promise is not handled here. */
  poll: () => Promise<void>;
}

/** Largest share of the interval by which a wait is longer or shorter. */
const JITTER = 0.2;

/** Runs one poll after another until it is stopped. */
export class GateTaskPoller {
  private readonly options: GateTaskPollerOptions;

  /** Returns a number from 0 up to, but not including, 1. */
  private readonly random: () => number;

  private timer: NodeJS.Timeout | undefined;

  private stopped = false;

  /**
   * @param options - the poll function, its interval and the seed of the jitter.
   */
  constructor(options: GateTaskPollerOptions) {
    this.options = options;
    this.random = seededRandom(options.seed);
  }

  /** Starts after a random part of the interval, so that a restarted daemon does not poll all runners at once. */
  start(): void {
    this.schedule(this.options.intervalMilliseconds * this.random());
  }

  /** Stops polling. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private schedule(wait: number): void {
    if (this.stopped) return;
    this.timer = setTimeout(() => {
      void this.pollOnce();
    }, wait);
    this.timer.unref();
  }

  private async pollOnce(): Promise<void> {
    try {
      await this.options.poll();
    } finally {
      const spread = 1 + JITTER * (2 * this.random() - 1);
      this.schedule(this.options.intervalMilliseconds * spread);
    }
  }
}
