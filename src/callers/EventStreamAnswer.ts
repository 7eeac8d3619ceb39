/**
 * Writes an engine's answer as server-sent events. The answer is complete only if it ends with `data: [DONE]`.
 */
import type { ChunkEvent, StartedEvent } from './AnswerWriter.js';
import { AnswerWriter } from './AnswerWriter.js';
import { answerHeaders } from './answerHeaders.js';
import type { CallerError } from './CallerError.js';
import type { Exchange } from './Exchange.js';

const LINE_END = /\r\n|\r|\n/u;
const FORBIDDEN_IN_ID = /[\r\n\0]/u;
const DONE_EVENT = 'data: [DONE]\n\n';

/**
 * Formats one event. A line break in the data would end the `data` field, and the text after it would be lost
 * or parsed as another field; therefore each line gets its own `data` field.
 */
function formatEvent(data: string, fields: string): string {
  if (!LINE_END.test(data)) return `${fields}data: ${data}\n\n`;
  const lines = data.split(LINE_END).map((line) => `data: ${line}\n`);
  return `${fields}${lines.join('')}\n`;
}

/** Writes each chunk as one server-sent event with its event id. */
export class EventStreamAnswer extends AnswerWriter {
  private readonly exchange: Exchange;

  /**
   * @param exchange - the exchange to answer.
   * @param started - status and headers of the runner's answer; the headers are forwarded.
   */
  constructor(exchange: Exchange, started: StartedEvent) {
    super();
    this.exchange = exchange;
    const head = answerHeaders(started);
    head.set('content-type', ['text/event-stream; charset=utf-8']);
    head.set('cache-control', ['no-store']);
    exchange.writeHead(200, head);
    exchange.response.flushHeaders();
  }

  override async writeChunk({ data, eventId }: ChunkEvent): Promise<void> {
    const id = FORBIDDEN_IN_ID.test(eventId) ? '' : `id: ${eventId}\n`;
    const bytes = Buffer.from(data.buffer, data.byteOffset, data.byteLength);
    await this.exchange.writer.write(formatEvent(bytes.toString('utf8'), id));
  }

  override async complete(): Promise<void> {
    await this.exchange.writer.write(DONE_EVENT);
    await this.exchange.writer.end();
  }

  override async fail(error: CallerError): Promise<void> {
    this.exchange.note({ code: error.options.code });
    const document = JSON.stringify(this.exchange.document(error));
    await this.exchange.writer.write(formatEvent(document, 'event: error\n'));
    await this.exchange.writer.end();
  }
}
