/**
 * The interface through which all parts of a process write log events.
 */
import type { LogEvent } from './logEvent.js';

/** Values that a field of a log line can have. */
export type LogValue = string | number | boolean | undefined | readonly LogValue[] | LogFields;

/** Fields of a log line. Their names are whole words, not abbreviations. */
export interface LogFields {
  readonly [name: string]: LogValue;
}

/** Accepts numbered log events. */
export abstract class Log {
  /**
   * @param event - the definition of the event.
   * @param fields - details of the event; never an API key, an access token or the body of a request or answer.
   */
  abstract write(event: LogEvent, fields?: LogFields): void;
}

/** Discards all events, for measurements and for tests that do not check the log. */
export class SilentLog extends Log {
  override write(): void {}
}
