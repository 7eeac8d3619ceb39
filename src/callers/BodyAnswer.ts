/**
 * Writes an answer as an ordinary HTTP body: for a plain service, or for an engine without streaming.
 */
import { ByteBuffer } from '../http/ByteBuffer.js';
import type { ChunkEvent, StartedEvent } from './AnswerWriter.js';
import { AnswerWriter } from './AnswerWriter.js';
import { answerHeaders } from './answerHeaders.js';
import type { CallerError } from './CallerError.js';
import type { Exchange } from './Exchange.js';

/** Options of a {@link BodyAnswer}. */
export interface BodyAnswerOptions {
  exchange: Exchange;
  /** Status and headers of the runner's answer; they are forwarded to the caller. */
  started: StartedEvent;
  /**
   * Number of bytes that are buffered until the answer is complete, so that a failure can still be answered
   * with its own status and error. An answer longer than this is forwarded as it arrives.
   */
  holdBackBytes?: number;
}

/** Buffers the beginning of the answer, then forwards the rest part by part. */
export class BodyAnswer extends AnswerWriter {
  private readonly exchange: Exchange;

  private readonly started: StartedEvent;

  private readonly held: ByteBuffer;

  /**
   * @param options - the exchange, the status and headers of the runner, and how much to buffer.
   */
  constructor({ exchange, started, holdBackBytes = 0 }: BodyAnswerOptions) {
    super();
    this.exchange = exchange;
    this.started = started;
    this.held = new ByteBuffer({ maximumBytes: holdBackBytes });
  }

  override async writeChunk({ data }: ChunkEvent): Promise<void> {
    if (this.exchange.response.headersSent) {
      await this.exchange.writer.write(data);
      return;
    }
    if (this.held.append(data)) return;
    this.exchange.writeHead(this.started.status, answerHeaders(this.started));
    await this.exchange.writer.write(this.held.take());
    await this.exchange.writer.write(data);
  }

  override async complete(): Promise<void> {
    if (this.exchange.response.headersSent) {
      await this.exchange.writer.end();
      return;
    }
    const headers = Object.fromEntries(answerHeaders(this.started));
    await this.exchange.send(this.started.status, this.held.take(), headers);
  }

  /** Once the status is sent, only closing the connection shows the caller that the rest is missing. */
  override async fail(error: CallerError): Promise<void> {
    await this.exchange.sendError(error);
  }
}
