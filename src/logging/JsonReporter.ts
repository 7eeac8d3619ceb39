/**
 * Formats log events as JSON, one object per line, for machines.
 */
import { EventReporter } from './EventReporter.js';
import type { EventReporterOptions } from './EventReporter.js';
import type { LogFields } from './Log.js';
import type { LogEvent } from './logEvent.js';

/**
 * Writes the fixed keys first, so that lines can also be read by eye, and the details under the key `fields`, so that they
 * cannot replace a fixed key.
 */
export class JsonReporter extends EventReporter {
  /** The context as JSON text within a line; formatted once, since it never changes. */
  private readonly contextText: string;

  /** The constant part of an event's lines as JSON text, by event number. */
  private readonly eventTexts = new Map<number, string>();

  /**
   * @param options - the sink, the clock and the context.
   */
  constructor(options: EventReporterOptions) {
    super(options);
    const context = JSON.stringify(options.context);
    this.contextText = context === '{}' ? '' : `,${context.slice(1, -1)}`;
  }

  protected override format(time: string, event: LogEvent, fields: LogFields): string {
    const details = JSON.stringify(fields);
    const rest = details === '{}' ? '' : `,"fields":${details}`;
    return `{"time":"${time}",${this.eventText(event)}${this.contextText}${rest}}`;
  }

  private eventText(event: LogEvent): string {
    const known = this.eventTexts.get(event.number);
    if (known !== undefined) return known;
    const { level, number, name, text } = event;
    const head = JSON.stringify({ level, number, event: name, text }).slice(1, -1);
    this.eventTexts.set(number, head);
    return head;
  }
}
