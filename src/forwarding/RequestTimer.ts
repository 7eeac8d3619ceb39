/**
 * The single timer of a request, which determines when its state is checked next.
 */
import type { Clock } from '../time/Clock.js';

/** Options of a {@link RequestTimer}. */
export interface RequestTimerOptions {
  clock: Clock;
  /** Called at the time that was set last, after pending data has been read. */
  onTime: () => void;
}

/** One-shot timer that reads pending data before it fires. */
export class RequestTimer {
  private readonly options: RequestTimerOptions;

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options - clock and callback.
   */
  constructor(options: RequestTimerOptions) {
    this.options = options;
  }

  /**
   * Sets the timer. The callback runs only after the data that waits in the sockets has been read: after a pause of the
   * whole process, timers fire first, and a complete answer that arrived in time would be discarded for its deadline.
   *
   * @param time - monotonic ms; replaces the time that was set before.
   */
  set(time: number): void {
    const { clock, onTime } = this.options;
    this.clear();
    const wait = Math.max(1, Math.ceil(time - clock.monotonicMilliseconds()));
    this.timer = setTimeout(() => setImmediate(onTime), wait);
  }

  /** Cancels the timer; a callback whose time has already come may still run. */
  clear(): void {
    clearTimeout(this.timer);
  }
}
