/**
 * Limits the number of log lines per second; lines over the limit are left out and counted.
 *
 * Without a limit, when a pool fails and each request writes several lines, the daemon spends time on its log that it needs
 * for its callers. Errors are never left out.
 */
import type { Clock } from '../time/Clock.js';
import { Log } from './Log.js';
import type { LogFields } from './Log.js';
import type { LogEvent } from './logEvent.js';

/** Options of a {@link RateLimitedLog}. */
export interface RateLimitedLogOptions {
  log: Log;
  clock: Clock;
  /** Largest number of lines per second, apart from errors. */
  linesPerSecond: number;
  /** Event that reports the number of lines left out in the previous second. */
  leftOutEvent: LogEvent;
}

const WINDOW_MILLISECONDS = 1_000;

/** Passes events to another log, up to a number of lines per second. */
export class RateLimitedLog extends Log {
  private readonly options: RateLimitedLogOptions;

  private windowStart = 0;

  private lines = 0;

  private linesLeftOut = 0;

  /**
   * @param options - the log to write to, and the limit.
   */
  constructor(options: RateLimitedLogOptions) {
    super();
    this.options = options;
  }

  override write(event: LogEvent, fields?: LogFields): void {
    const { log, clock, linesPerSecond, leftOutEvent } = this.options;
    const now = clock.monotonicMilliseconds();
    if (now - this.windowStart >= WINDOW_MILLISECONDS) {
      this.windowStart = now;
      this.lines = 0;
      if (this.linesLeftOut > 0) log.write(leftOutEvent, { lines: this.linesLeftOut });
      this.linesLeftOut = 0;
    }
    this.lines += 1;
    if (this.lines <= linesPerSecond || event.level === 'error') log.write(event, fields);
    else this.linesLeftOut += 1;
  }
}
