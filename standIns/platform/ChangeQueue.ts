/**
 * Hands the changes that a watcher's listener receives to one asynchronous reader.
 */
import type { KeyChange } from './KeyValueState.js';

/** An asynchronous iterable that is pushed to; it is read by one reader. */
export class ChangeQueue implements AsyncIterable<readonly KeyChange[]> {
  private readonly waiting: (readonly KeyChange[])[] = [];

  private ended = false;

  private failure: Error | undefined;

  private wake: () => void = () => {};

  /**
   * @param changes - the changes of one revision.
   */
  push(changes: readonly KeyChange[]): void {
    this.waiting.push(changes);
    this.wake();
  }

  /** Ends the reader after what is waiting. */
  end(): void {
    this.ended = true;
    this.wake();
  }

  /**
   * Makes the reader throw after what is waiting.
   *
   * @param error - what it throws.
   */
  fail(error: Error): void {
    this.failure = error;
    this.end();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<readonly KeyChange[]> {
    for (;;) {
      const next = this.waiting.shift();
      if (next) {
        yield next;
        continue;
      }
      if (this.failure) throw this.failure;
      if (this.ended) return;
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
  }
}
