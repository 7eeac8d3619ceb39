/**
 * Timeouts for attempts that lost their reader. Such an attempt continues for a while, so that its caller can
 * come back through another daemon, and is then cancelled.
 */

/** Options of {@link GateTaskOrphans}. */
export interface GateTaskOrphansOptions {
  /** Time that an attempt continues without a reader. */
  keepMilliseconds: number;
  /** Called when an attempt got no new reader in that time. */
  onTimeout: (attemptId: string) => void;
}

/** Keeps one timer for each attempt without a reader. */
export class GateTaskOrphans {
  private readonly options: GateTaskOrphansOptions;

  private readonly timers = new Map<string, NodeJS.Timeout>();

  /**
   * @param options - the time to wait, and the callback for the end of that time.
   */
  constructor(options: GateTaskOrphansOptions) {
    this.options = options;
  }

  /**
   * Starts the timeout of an attempt that has lost its reader.
   *
   * @param attemptId - the attempt.
   */
  add(attemptId: string): void {
    this.remove(attemptId);
    const timer = setTimeout(() => {
      this.timers.delete(attemptId);
      this.options.onTimeout(attemptId);
    }, this.options.keepMilliseconds);
    this.timers.set(attemptId, timer);
  }

  /**
   * Stops the timeout of an attempt that has a reader again, or that has ended.
   *
   * @param attemptId - the attempt.
   */
  remove(attemptId: string): void {
    clearTimeout(this.timers.get(attemptId));
    this.timers.delete(attemptId);
  }

  /** Stops all timeouts; no attempt is cancelled. */
  clear(): void {
    for (const timer of this.timers.values()) clearTimeout(timer);
    this.timers.clear();
  }
}
