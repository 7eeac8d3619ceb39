/**
 * Sends each piece of news several times: datagrams get lost.
 */

/** Calls later. */
export type Later = (call: () => void, milliseconds: number) => unknown;

/** News to be sent. */
export interface WaitingNews {
  /** Names what it is about; a later one replaces it. */
  readonly key: string;
  /** Whether this daemon has seen it itself; others have told it of the rest. */
  readonly isSeen: boolean;
}

/** Options of a {@link RepeatedNews}. */
export interface RepeatedNewsOptions {
  send: (news: readonly WaitingNews[]) => void;
  later?: Later | undefined;
}

/** Each piece is sent so often. */
const SENDS = 3;

/** Between two of these, in ms. */
const RESEND_MILLISECONDS = 150;

/** What is seen in the same moment goes into one message; in ms. */
const GATHER_MILLISECONDS = 5;

/** Owns the timer. */
export class RepeatedNews {
  private readonly send: RepeatedNewsOptions['send'];

  private readonly later: Later;

  private readonly waiting = new Map<string, { left: number; isSeen: boolean }>();

  private isScheduled = false;

  private isStopped = false;

  /**
   * @param options - how it is sent.
   */
  constructor({ send, later = setTimeout }: RepeatedNewsOptions) {
    this.send = send;
    this.later = later;
  }

  /**
   * @param news - to be sent from now on.
   */
  add({ key, isSeen }: WaitingNews): void {
    const wasSeen = this.waiting.get(key)?.isSeen ?? false;
    this.waiting.set(key, { left: SENDS, isSeen: isSeen || wasSeen });
    this.schedule(GATHER_MILLISECONDS);
  }

  /** Sends no more. */
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
