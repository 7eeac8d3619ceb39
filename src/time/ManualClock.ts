/**
 * A clock that is set by its user, for tests, measurements and replays.
 */
import { Clock } from './Clock.js';

/** Options of a {@link ManualClock}. */
export interface ManualClockOptions {
  /** Initial monotonic time, in milliseconds. */
  monotonicMilliseconds?: number;
  /** Initial wall-clock time, in milliseconds since 1970. */
  wallMilliseconds?: number;
}

/** A clock that changes only by {@link ManualClock.advance}. */
export class ManualClock extends Clock {
  private monotonic: number;

  private wall: number;

  /**
   * @param options - the initial times.
   */
  constructor({ monotonicMilliseconds = 0, wallMilliseconds = 0 }: ManualClockOptions = {}) {
    super();
    this.monotonic = monotonicMilliseconds;
    this.wall = wallMilliseconds;
  }

  /**
   * Advances the monotonic and the wall-clock time.
   *
   * @param milliseconds - time to advance by, 0 or more.
   */
  advance(milliseconds: number): void {
    this.monotonic += milliseconds;
    this.wall += milliseconds;
  }

  override monotonicMilliseconds(): number {
    return this.monotonic;
  }

  override wallMilliseconds(): number {
    return this.wall;
  }
}
