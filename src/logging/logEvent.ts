/**
 * Definitions of numbered log events. Each feature defines its own; docs/LOG_EVENTS.md lists them all.
 */

/** Importance of an event; `error` and `warn` are worth an alert. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Definition of a numbered log event. Numbers are never reused for another meaning. */
export interface LogEvent {
  readonly number: number;
  /** Name of the feature and of the event, for example `gates.refused`. */
  readonly name: string;
  readonly level: LogLevel;
  /** States what happened, in one sentence. */
  readonly text: string;
  /** States what an operator has to do about it; shown in the catalogue. */
  readonly operatorAction: string;
}

/**
 * Defines a log event.
 *
 * @param definition - the number, name, level, text and operator action.
 * @returns The frozen definition.
 */
export function defineLogEvent(definition: LogEvent): LogEvent {
  return Object.freeze({ ...definition });
}
