/**
 * Base class of the two consola reporters, which turn consola's log objects back into numbered events.
 */
import type { ConsolaReporter, LogObject } from 'consola/core';

import type { Clock } from '../time/Clock.js';
import type { LineSink } from './LineSink.js';
import type { LogFields } from './Log.js';
import type { LogEvent } from './logEvent.js';

/** Options of an {@link EventReporter}. */
export interface EventReporterOptions {
  sink: LineSink;
  clock: Clock;
  /** Fields added to every line. */
  context: LogFields;
}

/** Formats each event as one line and writes it to the sink. */
export abstract class EventReporter implements ConsolaReporter {
  private readonly sink: LineSink;

  private readonly clock: Clock;

  /**
   * @param options - the sink and the clock.
   */
  constructor({ sink, clock }: EventReporterOptions) {
    this.sink = sink;
    this.clock = clock;
  }

  /**
   * @param logObject - consola's log object, with the `event` and `fields` that `ConsolaLog` has passed to consola.
   */
  log(logObject: LogObject): void {
    const { event, fields } = logObject as { event?: LogEvent; fields?: LogFields };
    if (!event) return;
    const time = new Date(this.clock.wallMilliseconds()).toISOString();
    this.sink.write(this.formatSafely(time, event, fields ?? {}));
  }

  /**
   * @param time - time of the event, in ISO 8601 and UTC.
   * @param event - the event's definition.
   * @param fields - the event's details.
   * @returns The line without a newline.
   */
  protected abstract format(time: string, event: LogEvent, fields: LogFields): string;

  /** Formats a line without throwing: a field that JSON cannot represent (a bigint, a cycle) must not fail a request. */
  private formatSafely(time: string, event: LogEvent, fields: LogFields): string {
    try {
      return this.format(time, event, fields);
    } catch (error) {
      return this.format(time, event, { unprintable: String(error) });
    }
  }
}
