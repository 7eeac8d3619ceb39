/**
 * The one timer of a request: when to look at it again.
 */
import type { Clock } from '../time/Clock.js';

/** Options of a {@link RequestTimer}. */
export interface RequestTimerOptions {
  clock: Clock;
  /** Called at the time that was set last. */
  onTime: () => void;
}

/** Owns the timer. */
export class RequestTimer {
  private readonly options: RequestTimerOptions;

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options - clock, and who is called.
   */
  constructor(options: RequestTimerOptions) {
    this.options = options;
  }

  /**
   * After a pause of the whole process timers come before the bytes that wait in its sockets: a whole answer would be
   * thrown away for a deadline that it met. So the bytes are read first.
   *
   * @param time - monotonic ms; the time that was set before is dropped.
   */
  set(time: number): void {
    const { clock, onTime } = this.options;
    this.clear();
    const wait = Math.max(1, Math.ceil(time - clock.monotonicMilliseconds()));
    this.timer = setTimeout(() => setImmediate(onTime), wait);
  }

  /** Nobody is called any more, but for a time that has come. */
  clear(): void {
    clearTimeout(this.timer);
  }
}
