/**
 * Bounded queue of events for one caller, with back-pressure to the producer.
 *
 * Without the limit, the answer of a slow reader would accumulate in the daemon's memory, and
 * memory would grow with the number of slow callers. The producer therefore waits until the queue
 * is below its limit before it reads on.
 */
import type { CallerEvent } from './requestTypes.js';

/** Bytes that may wait for one caller before the stream of its runner is paused. */
export const DEFAULT_MAXIMUM_BUFFERED_BYTES = 65_536;

/** Memory used by an event besides its text and data, in bytes; an estimate. */
const EVENT_OVERHEAD_BYTES = 128;

/** Options of a {@link CallerEventQueue}. */
export interface CallerEventQueueOptions {
  maximumBufferedBytes?: number;
}

/**
 * @param event - an event.
 * @returns Whether it is the last event of an answer.
 */
export function isFinalEvent(event: CallerEvent): boolean {
  return event.kind === 'completed' || event.kind === 'failed';
}

/**
 * @param event - an event.
 * @returns Bytes of memory that it uses.
 */
export function bytesOfEvent(event: CallerEvent): number {
  if (event.kind !== 'chunk') return EVENT_OVERHEAD_BYTES;
  return EVENT_OVERHEAD_BYTES + event.eventId.length + event.data.byteLength;
}

/** Queue of events between one producer and one reader. */
export class CallerEventQueue {
  private readonly maximumBufferedBytes: number;

  private readonly events: CallerEvent[] = [];

  private bufferedBytes = 0;

  private closed = false;

  private wakeReader: (() => void) | undefined;

  private readonly wakeProducers: (() => void)[] = [];

  /**
   * @param options - the limit.
   */
  constructor({
    maximumBufferedBytes = DEFAULT_MAXIMUM_BUFFERED_BYTES,
  }: CallerEventQueueOptions = {}) {
    this.maximumBufferedBytes = maximumBufferedBytes;
  }

  /**
   * Appends an event; the last event of the answer closes the queue. After that, or after
   * {@link CallerEventQueue.discard}, events are dropped.
   *
   * @param event - the event.
   */
  push(event: CallerEvent): void {
    if (this.closed) return;
    this.events.push(event);
    this.bufferedBytes += bytesOfEvent(event);
    if (isFinalEvent(event)) this.close();
    this.wakeReader?.();
  }

  /**
   * Drops all events and closes the queue because the reader has disconnected; the producer is
   * not held up any more.
   */
  discard(): void {
    this.events.length = 0;
    this.bufferedBytes = 0;
    this.close();
    this.wakeReader?.();
  }

  /** @returns When the queue is below its limit or has been closed. */
  async waitForRoom(): Promise<void> {
    while (!this.closed && this.bufferedBytes >= this.maximumBufferedBytes) {
      await new Promise<void>((resolve) => {
        this.wakeProducers.push(resolve);
      });
    }
  }

  /** @yields The events in order, up to the last one. */
  async *read(): AsyncGenerator<CallerEvent, void, undefined> {
    for (;;) {
      const event = this.events.shift();
      if (event) {
        this.bufferedBytes -= bytesOfEvent(event);
        this.releaseProducers();
        yield event;
        if (isFinalEvent(event)) return;
      } else if (this.closed) {
        return;
      } else {
        await new Promise<void>((resolve) => {
          this.wakeReader = resolve;
        });
        this.wakeReader = undefined;
      }
    }
  }

  private close(): void {
    this.closed = true;
    this.releaseProducers();
  }

  private releaseProducers(): void {
    for (const wake of this.wakeProducers.splice(0)) wake();
  }
}
