/**
 * Calendar time that never goes back within one incarnation of the process: the wall clock at the
 * start plus monotonic time.
 *
 * The expiry of a binding travels through other processes and comes back. If it were wall time, a
 * clock that is set back could make a binding valid again after its outcome was dropped, and its
 * request would run twice. Only the process that issued a binding reads its expiry, so a calendar
 * of that process is sufficient.
 */
import type { Clock } from '../time/Clock.js';

/** Calendar of one process, in milliseconds since 1970. */
export class MonotonicCalendar {
  private readonly clock: Clock;

  private readonly offset: number;

  /**
   * @param clock - the process's clock.
   */
  constructor(clock: Clock) {
    this.clock = clock;
    this.offset = Math.floor(clock.wallMilliseconds() - clock.monotonicMilliseconds());
  }

  /** @returns Milliseconds since 1970, by this calendar. */
  now(): number {
    return this.offset + this.clock.monotonicMilliseconds();
  }

  /**
   * Returns whether a time has passed by either clock: the monotonic clock may stand still while
   * an instance is suspended, and the wall clock may be set back. Use it to refuse to start a
   * run, never to drop an entry.
   *
   * @param time - milliseconds since 1970 on this calendar.
   * @returns Whether the time may have passed.
   */
  mayHavePassed(time: number): boolean {
    return this.now() >= time || this.clock.wallMilliseconds() >= time;
  }
}
