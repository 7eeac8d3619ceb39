/**
 * Sends each item several times, because datagrams get lost.
 */

/** Schedules a call after a delay in ms. */
export type CallScheduler = (call: () => void, milliseconds: number) => unknown;

/** An item to be sent. */
export interface RepeatedItem {
  /** Identifies the item's subject; a later item with the same key replaces an earlier one. */
  readonly key: string;
  /** Whether this daemon has observed it itself; otherwise another daemon reported it. */
  readonly isSeen: boolean;
}

/** Options of a {@link MessageRepeater}. */
export interface MessageRepeaterOptions {
  send: (news: readonly RepeatedItem[]) => void;
  later?: CallScheduler | undefined;
}

/** Number of times that each item is sent. */
const SENDS = 3;

/** Delay between these, in ms. */
const RESEND_MILLISECONDS = 150;

/** Delay in which items are collected into one message, in ms. */
const COLLECT_MILLISECONDS = 5;

/** Owns the timer. */
export class MessageRepeater {
  private readonly send: MessageRepeaterOptions['send'];

  private readonly later: CallScheduler;

  private readonly waiting = new Map<string, { left: number; isSeen: boolean }>();

  private isScheduled = false;

  private isStopped = false;

  /**
   * @param options - how items are sent and calls are scheduled.
   */
  constructor({ send, later = setTimeout }: MessageRepeaterOptions) {
    this.send = send;
    this.later = later;
  }

  /**
   * Adds an item, or restarts the sending of one with the same key.
   *
   * @param news - the item.
   */
  add({ key, isSeen }: RepeatedItem): void {
    const wasSeen = this.waiting.get(key)?.isSeen ?? false;
    this.waiting.set(key, { left: SENDS, isSeen: isSeen || wasSeen });
    this.schedule(COLLECT_MILLISECONDS);
  }

  /** Stops sending. */
  stop(): void {
    this.isStopped = true;
    this.waiting.clear();
  }

  private schedule(milliseconds: number): void {
    if (this.isScheduled || this.isStopped) return;
    this.isScheduled = true;
    this.later(() => {
      this.isScheduled = false;
      if (!this.isStopped) this.sendWaiting();
    }, milliseconds);
  }

  private sendWaiting(): void {
    this.send([...this.waiting].map(([key, { isSeen }]) => ({ key, isSeen })));
    for (const [key, entry] of this.waiting) {
      entry.left -= 1;
      if (entry.left <= 0) this.waiting.delete(key);
    }
    if (this.waiting.size > 0) this.schedule(RESEND_MILLISECONDS);
  }
}
