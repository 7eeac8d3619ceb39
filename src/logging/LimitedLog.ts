/**
 * Keeps the volume of a log bounded under load: what is over the limit is left out and counted.
 *
 * What goes wrong without it: a pool fails, each request writes several lines, and the daemon spends the time
 * on its log that its callers need. Errors are never left out.
 */
import type { Clock } from '../time/Clock.js';
import { Log } from './Log.js';
import type { LogFields } from './Log.js';
import type { LogEvent } from './logEvent.js';

/** Options of a {@link LimitedLog}. */
export interface LimitedLogOptions {
  log: Log;
  clock: Clock;
  /** Lines in a second. */
  linesPerSecond: number;
  /** Written with the number of lines that were left out. */
  leftOutEvent: LogEvent;
}

const WINDOW_MILLISECONDS = 1_000;

/** Counts lines by the second. */
export class LimitedLog extends Log {
  private readonly options: LimitedLogOptions;

  private windowStart = 0;

  private lines = 0;

  private leftOut = 0;

  /**
   * @param options - where lines go, and how many.
   */
  constructor(options: LimitedLogOptions) {
    super();
    this.options = options;
  }

  override write(event: LogEvent, fields?: LogFields): void {
    const { log, clock, linesPerSecond, leftOutEvent } = this.options;
    const now = clock.monotonicMilliseconds();
    if (now - this.windowStart >= WINDOW_MILLISECONDS) {
      this.windowStart = now;
      this.lines = 0;
      if (this.leftOut > 0) log.write(leftOutEvent, { lines: this.leftOut });
      this.leftOut = 0;
    }
    this.lines += 1;
    if (this.lines <= linesPerSecond || event.level === 'error') log.write(event, fields);
    else this.leftOut += 1;
  }
}
