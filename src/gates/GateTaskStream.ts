/**
 * A bounded queue between an attempt and its reader. A reader that leaves ends it at once.
 */
import type { ExecuteEvent } from '../generated/baobabdock/v1/peers_pb.js';

/** Options of a {@link GateTaskStream}. */
export interface GateTaskStreamOptions {
  /** Bytes of buffered chunks above which the writer waits for the reader. */
  maximumBufferedBytes: number;
  /** Called when the reader stops before the end. */
  onReaderLeft: () => void;
}

function bytesOf({ event }: ExecuteEvent): number {
  return event.case === 'chunk' ? event.value.data.byteLength : 0;
}

/**
 * Buffers the events of one attempt for one reader. It is not an async generator, because returning from a
 * generator that waits for an unresponsive runner would take effect only with the runner's next event.
 */
export class GateTaskStream implements AsyncIterableIterator<ExecuteEvent> {
  private readonly options: GateTaskStreamOptions;

  private readonly events: ExecuteEvent[] = [];

  private bufferedBytes = 0;

  private ended = false;

  private waitingReader: ((result: IteratorResult<ExecuteEvent>) => void) | undefined;

  private waitingWriter: (() => void) | undefined;

  private unlimited = false;

  /**
   * @param options - the limit, and the callback for a reader that leaves.
   */
  constructor(options: GateTaskStreamOptions) {
    this.options = options;
  }

  /**
   * Adds an event; it is dropped when the stream has ended.
   *
   * @param event - the next event.
   */
  push(event: ExecuteEvent): void {
    if (this.ended) return;
    if (this.waitingReader) {
      const deliver = this.waitingReader;
      this.waitingReader = undefined;
      deliver({ value: event, done: false });
      return;
    }
    this.events.push(event);
    this.bufferedBytes += bytesOf(event);
  }

  /** Ends the stream after the events that were pushed. */
  end(): void {
    this.ended = true;
    this.waitingReader?.({ value: undefined, done: true });
    this.waitingReader = undefined;
    this.releaseWriter();
  }

  /** Removes the limit: the attempt is ending, and only its last events follow. */
  removeLimit(): void {
    this.unlimited = true;
    this.releaseWriter();
  }

  /** @returns Resolves when the buffer is within its limit, the limit is removed, or the stream has ended. */
  waitForRoom(): Promise<void> {
    const full = this.bufferedBytes > this.options.maximumBufferedBytes;
    if (!full || this.ended || this.unlimited) return Promise.resolve();
    return new Promise((resolve) => {
      this.waitingWriter = resolve;
    });
  }

  next(): Promise<IteratorResult<ExecuteEvent>> {
    const event = this.events.shift();
    if (event) {
      this.bufferedBytes -= bytesOf(event);
      if (this.bufferedBytes <= this.options.maximumBufferedBytes) this.releaseWriter();
      return Promise.resolve({ value: event, done: false });
    }
    if (this.ended) return Promise.resolve({ value: undefined, done: true });
    return new Promise((resolve) => {
      this.waitingReader = resolve;
    });
  }

  return(): Promise<IteratorResult<ExecuteEvent>> {
    const early = !this.ended;
    this.events.length = 0;
    this.bufferedBytes = 0;
    this.end();
    if (early) this.options.onReaderLeft();
    return Promise.resolve({ value: undefined, done: true });
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  private releaseWriter(): void {
    this.waitingWriter?.();
    this.waitingWriter = undefined;
  }
}
