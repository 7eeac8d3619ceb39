/**
 * Limits the lines about one subject, of which a single fault may cause many at once.
 */
import type { Clock } from '../time/Clock.js';
import { Log } from './Log.js';
import type { LogFields } from './Log.js';
import type { LogEvent } from './logEvent.js';

/** Options of a {@link BurstLog}. */
export interface BurstLogOptions {
  log: Log;
  clock: Clock;
  /** Most lines in one interval. */
  lines?: number;
  /** Length of the interval, in ms. */
  milliseconds?: number;
}

/** Passes events to another log, up to a number of lines in each interval; a counter of the subject has to count all. */
export class BurstLog extends Log {
  private readonly options: Required<BurstLogOptions>;

  private written = 0;

  private writtenFrom = Number.NEGATIVE_INFINITY;

  /**
   * @param options - the log to write to, and the limit: 20 lines in 10 s by default.
   */
  constructor(options: BurstLogOptions) {
    super();
    this.options = { lines: 20, milliseconds: 10_000, ...options };
  }

  override write(event: LogEvent, fields?: LogFields): void {
    const { log, clock, lines, milliseconds } = this.options;
    const now = clock.monotonicMilliseconds();
    if (now - this.writtenFrom >= milliseconds) {
      this.writtenFrom = now;
      this.written = 0;
    }
    this.written += 1;
    if (this.written <= lines) log.write(event, fields);
  }
}
