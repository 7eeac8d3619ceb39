/**
 * The clock of a running daemon.
 */
import { performance } from 'node:perf_hooks';

import { Clock } from './Clock.js';

/** Reads the clocks of the process and the operating system. */
export class SystemClock extends Clock {
  override monotonicMilliseconds(): number {
    return performance.now();
  }

  override wallMilliseconds(): number {
    return Date.now();
  }
}
