/**
 * Signal that stops all steps of one exchange with a runner when the attempt's owner aborts it or its deadline passes.
 */

/** Why an exchange stops: its owner aborted it, or its deadline passed. */
export type StopReason = 'aborted' | 'timeout';

/** Options of {@link StopSignal}. */
export interface StopSignalOptions {
  /** Signal that the attempt's owner aborts. */
  signal?: AbortSignal;
  /** Milliseconds from the creation until the deadline. */
  deadlineMilliseconds: number;
}

/** Maximum delay of a Node.js timer, in milliseconds; a timer with a longer delay would fire at once. */
export const MAXIMUM_TIMER_MILLISECONDS = 2 ** 31 - 1;

/** Combines the deadline and the abort signal of an exchange into one signal for all of its steps. */
export class StopSignal {
  private readonly listeners = new Set<(reason: StopReason) => void>();

  private readonly timer: NodeJS.Timeout;

  private readonly signal: AbortSignal | undefined;

  private stopReason: StopReason | undefined;

  private readonly abort = (): void => this.stop('aborted');

  /**
   * @param options - the owner's abort signal and the deadline.
   */
  constructor({ signal, deadlineMilliseconds }: StopSignalOptions) {
    this.signal = signal;
    const delay = Math.min(Math.max(0, deadlineMilliseconds), MAXIMUM_TIMER_MILLISECONDS);
    this.timer = setTimeout(() => this.stop('timeout'), delay);
    if (signal?.aborted) this.stop('aborted');
    else signal?.addEventListener('abort', this.abort, { once: true });
  }

  /** @returns Why the exchange stops, or `undefined` as long as it may continue. */
  reason(): StopReason | undefined {
    return this.stopReason;
  }

  /**
   * Registers a listener.
   *
   * @param listener - called once when the exchange stops, but not if it has stopped already.
   * @returns A function that removes the listener.
   */
  onStop(listener: (reason: StopReason) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Stops the timer and removes all listeners. */
  dispose(): void {
    clearTimeout(this.timer);
    this.signal?.removeEventListener('abort', this.abort);
    this.listeners.clear();
  }

  private stop(reason: StopReason): void {
    if (this.stopReason) return;
    this.stopReason = reason;
    const listeners = [...this.listeners];
    this.listeners.clear();
    for (const listener of listeners) listener(reason);
  }
}
