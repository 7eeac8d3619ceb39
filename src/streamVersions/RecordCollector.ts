/**
 * Collects records of streams for a moment, so that one message carries many of them.
 */
import type { CallScheduler } from '../news/MessageRepeater.js';
import type { BegunStream } from './RecordSender.js';

/** Options of a {@link RecordCollector}. */
export interface RecordCollectorOptions {
  /** Delay of the first message after a pause, in ms. */
  firstMilliseconds: number;
  /** Shortest time between two messages, in ms. */
  pauseMilliseconds: number;
  /** Sends the records. */
  send: (begun: readonly BegunStream[]) => void;
  /** Schedules a call. */
  later: CallScheduler;
}

/** Owns the records that have not been sent yet. */
export class RecordCollector {
  private readonly options: RecordCollectorOptions;

  private readonly waiting = new Map<bigint, BegunStream>();

  private isScheduled = false;

  /**
   * @param options - the delays, and what sends.
   */
  constructor(options: RecordCollectorOptions) {
    this.options = options;
  }

  /**
   * @param begun - a stream whose record is to be sent.
   */
  add(begun: BegunStream): void {
    this.waiting.set(begun.stream, begun);
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.schedule(this.options.firstMilliseconds);
  }

  /**
   * @param stream - key of a stream whose record does not have to be sent any more.
   */
  drop(stream: bigint): void {
    this.waiting.delete(stream);
  }

  /** @returns The records, which are not sent from here any more. */
  takeAll(): BegunStream[] {
    const begun = [...this.waiting.values()];
    this.waiting.clear();
    return begun;
  }

  private schedule(milliseconds: number): void {
    const { later, send, pauseMilliseconds } = this.options;
    later(() => {
      this.isScheduled = this.waiting.size > 0;
      if (!this.isScheduled) return;
      send(this.takeAll());
      this.schedule(pauseMilliseconds);
    }, milliseconds);
  }
}
