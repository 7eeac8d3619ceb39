/**
 * Limits the bytes that a runner sends besides the body of its answer: heads, interim answers, chunk sizes, chunk
 * extensions and trailers.
 *
 * The HTTP library limits a single head, chunk extension or trailer, but neither their number nor the digits of a chunk
 * size. A runner that sends these without end kept the process busy reading, so its timers fired late and callers were
 * answered after their deadline.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Bytes besides the body that any answer may have. The library accepts heads of 16 KiB, so there is room for some
 * interim answers, the head and the trailers.
 */
const MAXIMUM_OVERHEAD_BYTES = 65_536;

/**
 * Further bytes besides the body, for each byte of the body. A chunk of one byte has 5 bytes of framing, and up to some
 * 100 bytes if an extension signs it.
 */
const OVERHEAD_PER_BODY_BYTE = 128;

/** Options of an {@link AnswerByteLimit}. */
export interface AnswerByteLimitOptions {
  /** Called at each read while the limit is exceeded. */
  onExceeded: () => void;
}

/** Counts the bytes of one answer on its connection. */
export class AnswerByteLimit {
  private readonly onExceeded: () => void;

  private receivedBytes = 0;

  private bodyBytes = 0;

  private answer: IncomingMessage | undefined;

  /**
   * @param options - the listener.
   */
  constructor({ onExceeded }: AnswerByteLimitOptions) {
    this.onExceeded = onExceeded;
  }

  /**
   * Counts all bytes that arrive from now on.
   *
   * @param socket - connection of a request whose HTTP parser listens already, since the body has to be counted first.
   * @returns Stops counting.
   */
  watch(socket: Socket): () => void {
    const onData = (chunk: Buffer) => this.receive(chunk.length);
    socket.on('data', onData);
    return () => {
      socket.off('data', onData);
    };
  }

  /**
   * Takes bytes of the body into account; those of an answer that is discarded are overhead.
   *
   * @param answer - answer whose body has not been read yet.
   */
  readBody(answer: IncomingMessage): void {
    this.answer = answer;
    answer.on('data', (chunk: Buffer) => {
      this.bodyBytes += chunk.length;
    });
  }

  private receive(bytes: number): void {
    this.receivedBytes += bytes;
    const bodyBytes = this.bodyBytes + (this.answer?.readableLength ?? 0);
    const limit = MAXIMUM_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * bodyBytes;
    if (this.receivedBytes - bodyBytes > limit) this.onExceeded();
  }
}
