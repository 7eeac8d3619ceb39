/**
 * Implements the log of a process with the library consola.
 */
import type { ConsolaInstance } from 'consola/core';
import { createConsola } from 'consola/core';

import type { Clock } from '../time/Clock.js';
import { SystemClock } from '../time/SystemClock.js';
import { JsonReporter } from './JsonReporter.js';
import type { LineSink } from './LineSink.js';
import { Log } from './Log.js';
import type { LogFields } from './Log.js';
import type { LogEvent, LogLevel } from './logEvent.js';
import { PrettyReporter } from './PrettyReporter.js';

/** Format of log lines: JSON for machines, or readable lines for a terminal. */
export type LogFormat = 'json' | 'pretty';

/** Consola's numbers of the levels; a higher number is less important. */
const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/** Options of a {@link ConsolaLog}. */
export interface ConsolaLogOptions {
  sink: LineSink;
  format?: LogFormat;
  /** The least important level that is written. */
  level?: LogLevel;
  /** Clock for the time of each line. */
  clock?: Clock;
  /** Fields added to every line, for example the daemon's name. */
  context?: LogFields;
  /** Event that reports the number of lines that the sink had to drop. */
  droppedEvent?: LogEvent;
}

/** Writes numbered events as lines to a sink, filtered by level. */
export class ConsolaLog extends Log {
  private readonly consola: ConsolaInstance;

  private readonly highestLevel: number;

  private readonly sink: LineSink;

  private readonly droppedEvent: LogEvent | undefined;

  /**
   * @param options - the sink, and the format and content of lines.
   */
  constructor({
    sink,
    format = 'json',
    level = 'info',
    clock = new SystemClock(),
    context = {},
    droppedEvent,
  }: ConsolaLogOptions) {
    super();
    this.sink = sink;
    this.droppedEvent = droppedEvent;
    this.highestLevel = CONSOLA_LEVELS[level];
    const Reporter = format === 'json' ? JsonReporter : PrettyReporter;
    this.consola = createConsola({
      level: this.highestLevel,
      reporters: [new Reporter({ sink, clock, context })],
      // By default consola drops repeated lines, but two equal decisions have to appear as two lines.
      throttle: 0,
    });
  }

  override write(event: LogEvent, fields?: LogFields): void {
    if (CONSOLA_LEVELS[event.level] > this.highestLevel) return;
    this.reportDropped();
    this.consola[event.level]({ message: event.text, event, fields });
  }

  /**
   * Tells whether lines of a level are written, so that callers can avoid computing costly fields.
   *
   * @param level - the level of an event.
   * @returns Whether its lines are written.
   */
  writes(level: LogLevel): boolean {
    return CONSOLA_LEVELS[level] <= this.highestLevel;
  }

  /** Waits until all lines are written or given up; called before the process ends. */
  async flush(): Promise<void> {
    this.reportDropped();
    await this.sink.flush();
  }

  private reportDropped(): void {
    const lines = this.sink.takeDroppedCount();
    if (lines === 0 || !this.droppedEvent) return;
    const event = this.droppedEvent;
    this.consola[event.level]({ message: event.text, event, fields: { lines } });
  }
}
