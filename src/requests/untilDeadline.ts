/**
 * Ends a caller's reading of a bound run at the caller's own deadline; the run may continue for
 * other readers.
 */
import { outcomeUnknown } from './boundFailures.js';
import type { CallerEvent } from './requestTypes.js';

const EXPIRED = Symbol('late');

/**
 * Signals the deadline by a new promise for each step. A single promise would collect one
 * reaction for each event of the stream.
 */
class DeadlineSignal {
  private isExpired = false;

  private wake = (): void => {};

  /** Marks the deadline as passed. */
  expire(): void {
    this.isExpired = true;
    this.wake();
  }

  /** @returns When the deadline passes; only the most recent of these promises ever resolves. */
  expiry(): Promise<typeof EXPIRED> {
    if (this.isExpired) return Promise.resolve(EXPIRED);
    return new Promise((resolve) => {
      this.wake = () => resolve(EXPIRED);
    });
  }
}

/**
 * Relays the events of a run until the caller's deadline.
 *
 * @param events - the answer of the run.
 * @param deadlineMilliseconds - how long the caller still waits, in milliseconds.
 * @param signal - aborted when the caller has disconnected.
 * @yields The events up to their last one, or up to the deadline, which ends them with an unknown
 *   outcome.
 */
export async function* untilDeadline(
  events: AsyncIterable<CallerEvent>,
  deadlineMilliseconds: number,
  signal: AbortSignal,
): AsyncGenerator<CallerEvent, void> {
  const iterator = events[Symbol.asyncIterator]();
  const deadlineSignal = new DeadlineSignal();
  const onDeadline = (): void => deadlineSignal.expire();
  if (signal.aborted) onDeadline();
  const timer = setTimeout(onDeadline, Math.max(0, deadlineMilliseconds));
  signal.addEventListener('abort', onDeadline);
  try {
    for (;;) {
      const step = await Promise.race([deadlineSignal.expiry(), iterator.next()]);
      if (step === EXPIRED) {
        yield outcomeUnknown('The deadline passed before the outcome was known.');
        return;
      }
      if (step.done) return;
      yield step.value;
    }
  } finally {
    clearTimeout(timer);
    signal.removeEventListener('abort', onDeadline);
    // The next event may never come, so nothing waits for this.
    void iterator.return?.().catch(() => {});
  }
}
