/**
 * Formats log events as readable lines, for a terminal.
 */
import { EventReporter } from './EventReporter.js';
import { formatFields } from './formatFields.js';
import type { LogFields } from './Log.js';
import type { LogEvent, LogLevel } from './logEvent.js';

/** Names of the levels, padded to equal width so that columns align. */
const LEVEL_LABELS: Readonly<Record<LogLevel, string>> = {
  error: 'ERROR',
  warn: 'WARN ',
  info: 'INFO ',
  debug: 'DEBUG',
};

/** Position of the time of day, down to milliseconds, in an ISO 8601 time. */
const TIME_OF_DAY_START = 11;
const TIME_OF_DAY_END = 23;

/** Formats an event as its time of day, level, number, name, text and fields, the latter as `key=value` pairs. */
export class PrettyReporter extends EventReporter {
  protected override format(time: string, event: LogEvent, fields: LogFields): string {
    const clock = time.slice(TIME_OF_DAY_START, TIME_OF_DAY_END);
    const head = `${clock} ${LEVEL_LABELS[event.level]} ${event.number} ${event.name}: ${event.text}`;
    return `${head} ${formatFields(fields)}`.trimEnd();
  }
}
