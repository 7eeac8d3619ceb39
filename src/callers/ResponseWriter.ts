/**
 * Writes an answer with backpressure.
 *
 * Without backpressure, the unread answer of a caller that reads more slowly than the runner writes would
 * accumulate in this daemon's memory, and the process would grow with each slow caller until it is killed. A
 * write therefore waits until the connection has accepted the bytes before it, and the connection of a caller
 * that reads nothing for too long is closed.
 */
import type { ServerResponse } from 'node:http';

import { CallerDisconnected } from './CallerDisconnected.js';

/** Options of a {@link ResponseWriter}. */
export interface ResponseWriterOptions {
  response: ServerResponse;
  /** How long a caller may read nothing before its connection is closed, in milliseconds. */
  stallTimeoutMilliseconds: number;
  /** Called when the connection is closed because the caller reads nothing. */
  onStall?: () => void;
}

/** Writes the body of one answer. */
export class ResponseWriter {
  private readonly response: ServerResponse;

  private readonly stallTimeoutMilliseconds: number;

  private readonly onStall: () => void;

  /**
   * @param options - the response, and the time after which a caller counts as stalled.
   */
  constructor({ response, stallTimeoutMilliseconds, onStall = () => {} }: ResponseWriterOptions) {
    this.response = response;
    this.stallTimeoutMilliseconds = stallTimeoutMilliseconds;
    this.onStall = onStall;
  }

  /**
   * Writes bytes and waits until the connection accepts more.
   *
   * @param bytes - a part of the body.
   * @throws {@link CallerDisconnected} when the connection is closed.
   */
  async write(bytes: Uint8Array | string): Promise<void> {
    this.checkOpen();
    if (bytes.length === 0) return;
    if (this.response.write(bytes)) return;
    await this.waitFor('drain');
  }

  /**
   * Ends the answer and waits until the connection has accepted all of it.
   *
   * @throws {@link CallerDisconnected} when the connection is closed before that.
   */
  async end(): Promise<void> {
    this.checkOpen();
    const finished = this.waitFor('finish');
    this.response.end();
    await finished;
  }

  /** Closes the connection, so that the caller cannot mistake a partial answer for a complete one. */
  closeConnection(): void {
    this.response.destroy();
  }

  private checkOpen(): void {
    if (this.response.destroyed || this.response.writableEnded) throw new CallerDisconnected();
  }

  private waitFor(event: 'drain' | 'finish'): Promise<void> {
    const { response } = this;
    return new Promise((resolve, reject) => {
      let cleanUp = (): void => {};
      const onEvent = (): void => {
        cleanUp();
        resolve();
      };
      const onClose = (): void => {
        cleanUp();
        if (response.writableFinished) resolve();
        else reject(new CallerDisconnected());
      };
      const timer = setTimeout(() => {
        this.onStall();
        response.destroy();
      }, this.stallTimeoutMilliseconds);
      cleanUp = () => {
        clearTimeout(timer);
        response.off(event, onEvent);
        response.off('close', onClose);
      };
      response.once(event, onEvent);
      response.once('close', onClose);
    });
  }
}
