/**
 * The answer of a bound request, which runs once but may be requested several times. It is kept
 * from its first event, so that a repeat gets the same answer, and its size is limited, so that a
 * large answer does not stay in memory.
 */
import { bytesOfEvent, isFinalEvent } from './CallerEventQueue.js';
import type { CallerEvent } from './requestTypes.js';

/** Limits the bytes that all kept answers of a daemon use together. */
export class AnswerMemoryBudget {
  private readonly maximumBytes: number;

  private usedBytes = 0;

  /**
   * @param maximumBytes - limit for all answers together.
   */
  constructor(maximumBytes: number) {
    this.maximumBytes = maximumBytes;
  }

  /**
   * Reserves memory if the limit allows it.
   *
   * @param bytes - number of bytes to reserve.
   * @returns Whether the bytes were reserved.
   */
  tryReserve(bytes: number): boolean {
    if (this.usedBytes + bytes > this.maximumBytes) return false;
    this.usedBytes += bytes;
    return true;
  }

  /**
   * Frees reserved memory.
   *
   * @param bytes - number of bytes to free.
   */
  free(bytes: number): void {
    this.usedBytes -= bytes;
  }
}

/** Options of a {@link BoundAnswer}. */
export interface BoundAnswerOptions {
  memory: AnswerMemoryBudget;
  /** Bytes of this answer that are kept for repeats. */
  maximumRememberedBytes: number;
  /** Bytes that may wait for the slowest reader once the answer is too large to be kept. */
  maximumBufferedBytes: number;
}

/** Event for a repeat when the start of the answer is no longer kept. */
const ANSWER_NOT_KEPT: CallerEvent = Object.freeze({
  kind: 'failed',
  code: 'cannot_resume',
  notRun: false,
  message: 'The request ran once; its answer is too large to be repeated.',
});

/** Position of one reader in the answer. */
interface Reader {
  nextIndex: number;
}

/**
 * Buffers the answer of one run for any number of readers, and keeps it for repeats while it fits
 * into the limits.
 */
export class BoundAnswer {
  private readonly memory: AnswerMemoryBudget;

  private readonly maximumRememberedBytes: number;

  private readonly maximumBufferedBytes: number;

  private events: CallerEvent[] = [];

  /** Index of the first event that is still kept. */
  private firstKept = 0;

  private keptBytes = 0;

  private reservedBytes = 0;

  private tooLarge = false;

  private isBackPressureRemoved = false;

  private lastEvent: CallerEvent | undefined;

  private readonly readers = new Set<Reader>();

  private waiters: (() => void)[] = [];

  /**
   * @param options - the shared memory budget and the limits of this answer.
   */
  constructor({ memory, maximumRememberedBytes, maximumBufferedBytes }: BoundAnswerOptions) {
    this.memory = memory;
    this.maximumRememberedBytes = maximumRememberedBytes;
    this.maximumBufferedBytes = maximumBufferedBytes;
  }

  /** @returns The last event of the answer, once it has arrived. */
  outcome(): CallerEvent | undefined {
    return this.lastEvent;
  }

  /**
   * Adds an event to the answer and wakes its readers.
   *
   * @param event - the next event of the run.
   */
  append(event: CallerEvent): void {
    const bytes = bytesOfEvent(event);
    this.events.push(event);
    this.keptBytes += bytes;
    if (isFinalEvent(event)) this.lastEvent = event;
    if (!this.tooLarge && !this.reserveBytes(bytes)) this.tooLarge = true;
    this.dropConsumedEvents();
    this.wakeAll();
  }

  /**
   * Applies back-pressure: only an answer that is too large to be kept waits for its readers.
   *
   * @returns When the run may add the next event.
   */
  async waitForRoom(): Promise<void> {
    while (this.mustWait()) await this.nextChange();
  }

  /**
   * Removes the back-pressure because the run has ended and only buffered events are still to
   * come. Otherwise a reader that does not read would keep the last event from the other readers,
   * and the run from ending.
   */
  removeBackPressure(): void {
    this.isBackPressureRemoved = true;
    this.wakeAll();
  }

  /** @yields The answer from its first to its last event. */
  async *read(): AsyncGenerator<CallerEvent, void, undefined> {
    if (this.firstKept > 0) {
      yield this.lastEvent?.kind === 'failed' ? this.lastEvent : ANSWER_NOT_KEPT;
      return;
    }
    const reader: Reader = { nextIndex: 0 };
    this.readers.add(reader);
    try {
      for (;;) {
        const event = this.events[reader.nextIndex - this.firstKept];
        if (event) {
          reader.nextIndex += 1;
          this.dropConsumedEvents();
          this.wakeAll();
          yield event;
          if (isFinalEvent(event)) return;
        } else {
          await this.nextChange();
        }
      }
    } finally {
      this.readers.delete(reader);
      this.dropConsumedEvents();
      this.wakeAll();
    }
  }

  /**
   * Frees the reserved memory once the binding has expired. Readers that are still reading can
   * finish.
   */
  releaseMemory(): void {
    this.memory.free(this.reservedBytes);
    this.reservedBytes = 0;
    this.tooLarge = true;
    this.dropConsumedEvents();
    this.wakeAll();
  }

  private mustWait(): boolean {
    if (!this.tooLarge || this.isBackPressureRemoved || this.readers.size === 0) return false;
    return this.keptBytes >= this.maximumBufferedBytes;
  }

  private reserveBytes(bytes: number): boolean {
    if (
      this.reservedBytes + bytes > this.maximumRememberedBytes ||
      !this.memory.tryReserve(bytes)
    ) {
      this.memory.free(this.reservedBytes);
      this.reservedBytes = 0;
      return false;
    }
    this.reservedBytes += bytes;
    return true;
  }

  /** Drops the events that all readers have read. While the answer is kept, nothing is dropped. */
  private dropConsumedEvents(): void {
    if (!this.tooLarge) return;
    const end = this.firstKept + this.events.length;
    const slowest = Math.min(end, ...[...this.readers].map(({ nextIndex }) => nextIndex));
    const dropped = this.events.splice(0, slowest - this.firstKept);
    this.firstKept = slowest;
    for (const event of dropped) this.keptBytes -= bytesOfEvent(event);
  }

  private nextChange(): Promise<void> {
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  private wakeAll(): void {
    const woken = this.waiters;
    this.waiters = [];
    for (const wake of woken) wake();
  }
}
