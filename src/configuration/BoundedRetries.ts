/**
 * Limits the retries of one operation: number of attempts, backoff between them, and total time.
 */
import type { Clock } from '../time/Clock.js';

/** Options of a {@link BoundedRetries}. */
export interface BoundedRetriesOptions {
  clock: Clock;
  /** Sleeps for a time; tests return at once. */
  wait: (milliseconds: number) => Promise<void>;
  /** Random source: at least 0, below 1. */
  random: () => number;
  maximumAttempts?: number;
  firstWaitMilliseconds?: number;
  maximumMilliseconds?: number;
}

/** Retry limits and exponential backoff of one operation. */
export class BoundedRetries {
  private readonly wait: (milliseconds: number) => Promise<void>;

  private readonly random: () => number;

  private readonly clock: Clock;

  private readonly maximumAttempts: number;

  private readonly deadline: number;

  private nextWait: number;

  private attempts = 1;

  /**
   * @param options - the limits; the first attempt is already counted.
   */
  constructor({
    clock,
    wait,
    random,
    maximumAttempts = 8,
    firstWaitMilliseconds = 50,
    maximumMilliseconds = 10_000,
  }: BoundedRetriesOptions) {
    this.clock = clock;
    this.wait = wait;
    this.random = random;
    this.maximumAttempts = maximumAttempts;
    this.nextWait = firstWaitMilliseconds;
    this.deadline = clock.monotonicMilliseconds() + maximumMilliseconds;
  }

  /**
   * Waits before the next attempt. The wait has jitter, so that two operators with conflicting changes do not
   * retry at the same moment again.
   *
   * @returns Whether another attempt is allowed; `false` without a wait if a limit is reached.
   */
  async waitForNextAttempt(): Promise<boolean> {
    if (this.attempts >= this.maximumAttempts) return false;
    const milliseconds = this.nextWait * (0.5 + this.random());
    if (this.clock.monotonicMilliseconds() + milliseconds > this.deadline) return false;
    this.attempts += 1;
    this.nextWait *= 2;
    await this.wait(milliseconds);
    return true;
  }
}
