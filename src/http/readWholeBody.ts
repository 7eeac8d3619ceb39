/**
 * Reads the body of a message whole, into one buffer of limited size.
 */
import type { IncomingMessage } from 'node:http';

import { ByteBuffer } from './ByteBuffer.js';

/** Options of {@link readWholeBody}. */
export interface ReadWholeBodyOptions {
  /** Largest body, in bytes. */
  maximumBytes: number;
  /** Called for each part of the body that arrives. */
  onPart?: () => void;
}

/**
 * Reads a body that has not been read yet. A body that is too large closes the connection, since its end may never come.
 *
 * @param message - a request or an answer.
 * @param options - the limit, and the listener.
 * @returns All bytes of the body.
 * @throws If the body is too large, or broken off.
 */
export function readWholeBody(
  message: IncomingMessage,
  { maximumBytes, onPart = () => undefined }: ReadWholeBodyOptions,
): Promise<Buffer> {
  const body = new ByteBuffer({ maximumBytes });
  return new Promise((done, fail) => {
    message.on('data', (part: Buffer) => {
      onPart();
      if (body.append(part)) return;
      message.destroy(new Error(`the body is larger than ${maximumBytes} bytes`));
    });
    message.once('error', fail);
    message.once('close', () => fail(new Error('the body was broken off')));
    message.once('end', () => {
      if (message.complete) done(body.take());
    });
  });
}
