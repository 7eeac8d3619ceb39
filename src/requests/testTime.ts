/**
 * Virtual time for the specs of requests: it advances only when a test asks for it.
 */
import type { mock } from 'node:test';

import { ManualClock } from '../time/ManualClock.js';

/** Step of virtual time, in milliseconds. */
const STEP_MILLISECONDS = 5;

/** An arbitrary start of the wall clock that differs from the start of the monotonic clock. */
const START_WALL_MILLISECONDS = 1_790_000_000_000;

/** Advances the clock and the mocked timers together. */
export class VirtualTime {
  readonly clock = new ManualClock({ wallMilliseconds: START_WALL_MILLISECONDS });

  private readonly timers: typeof mock.timers;

  /**
   * @param timers - `mock.timers` of `node:test`.
   */
  constructor(timers: typeof mock.timers) {
    this.timers = timers;
    timers.enable({ apis: ['setTimeout', 'setInterval'] });
  }

  /**
   * @param milliseconds - how far to advance.
   * @param step - size of a step, in milliseconds.
   */
  async advance(milliseconds: number, step = STEP_MILLISECONDS): Promise<void> {
    for (let moved = 0; moved < milliseconds; moved += step) {
      await this.settle();
      this.clock.advance(step);
      this.timers.tick(step);
    }
    await this.settle();
  }

  /** Lets all pending promise callbacks run. */
  async settle(): Promise<void> {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  /**
   * Advances time until a promise is settled.
   *
   * @param promise - the promise.
   * @param limitMilliseconds - maximum virtual time to advance.
   * @returns The value of the promise.
   */
  async until<Value>(promise: Promise<Value>, limitMilliseconds = 120_000): Promise<Value> {
    let done = false;
    const mark = (): void => {
      done = true;
    };
    promise.then(mark, mark);
    for (let moved = 0; moved < limitMilliseconds; moved += STEP_MILLISECONDS) {
      await this.settle();
      if (done) return promise;
      this.clock.advance(STEP_MILLISECONDS);
      this.timers.tick(STEP_MILLISECONDS);
    }
    throw new Error(`promise not settled within ${limitMilliseconds} ms of virtual time`);
  }
}
