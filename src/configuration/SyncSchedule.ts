/**
 * Schedules the tasks of a document's synchronization: retries with back-off and jitter, pulls, checks.
 */

/** Timing of the synchronization, all in milliseconds. */
export interface SyncTiming {
  /** How long a daemon that knows no other daemon waits before it may become a watcher. */
  readonly startGraceMilliseconds: number;
  /** First back-off after a failure of the store. */
  readonly backOffBaseMilliseconds: number;
  /** Longest back-off after failures of the store. */
  readonly backOffMaximumMilliseconds: number;
  /** A watch that lasted this long resets the back-off. */
  readonly stableWatchMilliseconds: number;
  /** Interval between reads by which a watcher verifies that its watch has missed nothing. */
  readonly checkMilliseconds: number;
  /** The same interval for the list of runners; longer, because the list is read whole. */
  readonly runnersCheckMilliseconds: number;
  /** Pulls are spread over this time after a daemon has learned of a newer revision. */
  readonly pullSpreadMilliseconds: number;
  /** How long a watcher waits for its watch to report a newer revision before it pulls from a peer. */
  readonly watchPatienceMilliseconds: number;
  /** How long a peer is avoided after a pull from it failed or returned nothing new. */
  readonly peerAvoidMilliseconds: number;
  /** Reads of the store that compare content are spread over this time. */
  readonly compareSpreadMilliseconds: number;
}

/** Default timing; docs/design/configuration.md gives the reasons. */
export const DEFAULT_SYNC_TIMING: SyncTiming = {
  startGraceMilliseconds: 1000,
  backOffBaseMilliseconds: 500,
  backOffMaximumMilliseconds: 30_000,
  stableWatchMilliseconds: 10_000,
  checkMilliseconds: 60_000,
  runnersCheckMilliseconds: 300_000,
  pullSpreadMilliseconds: 150,
  watchPatienceMilliseconds: 1000,
  peerAvoidMilliseconds: 2000,
  compareSpreadMilliseconds: 60_000,
};

/** Tasks that can be scheduled; `grace` is the end of the start grace period. */
export type DueKind = 'grace' | 'retry' | 'check' | 'pull' | 'compare';

/** Options of {@link SyncSchedule}. */
export interface SyncScheduleOptions {
  timing: SyncTiming;
  /** Seeded random source: at least 0, below 1. */
  random: () => number;
}

/** Due times of one document's tasks, and the back-off after failures of the store. */
export class SyncSchedule {
  readonly timing: SyncTiming;

  private readonly random: () => number;

  private readonly due = new Map<DueKind, number>();

  private failures = 0;

  private watchingSince = 0;

  private startedAt: number | undefined;

  /**
   * @param options - timing and the random source.
   */
  constructor({ timing, random }: SyncScheduleOptions) {
    this.timing = timing;
    this.random = random;
  }

  /** @returns When the next task is due, in monotonic milliseconds; `undefined` if none is scheduled. */
  nextWake(): number | undefined {
    return this.due.size === 0 ? undefined : Math.min(...this.due.values());
  }

  /**
   * Removes a task from the schedule if it is due.
   *
   * @param kind - the task.
   * @param now - monotonic milliseconds.
   * @returns Whether the task was due.
   */
  takeDue(kind: DueKind, now: number): boolean {
    const at = this.due.get(kind);
    if (at === undefined || at > now) return false;
    this.due.delete(kind);
    return true;
  }

  /**
   * Removes a task from the schedule.
   *
   * @param kind - the task.
   */
  cancel(kind: DueKind): void {
    this.due.delete(kind);
  }

  /**
   * Checks the grace period, which begins with the first call: during it, a daemon that knows no other daemon
   * does not become a watcher.
   *
   * @param now - monotonic milliseconds.
   * @returns Whether the grace period is over.
   */
  isStartGraceOver(now: number): boolean {
    if (this.startedAt === undefined) {
      this.startedAt = now;
      this.due.set('grace', now + this.timing.startGraceMilliseconds * (1 + this.random()));
    }
    this.takeDue('grace', now);
    return !this.due.has('grace');
  }

  /**
   * Schedules the next attempt after a failure. Jitter spreads the watchers' retries after an outage over half
   * of the last back-off; without it, they would all retry at once and overload the store that has just
   * recovered.
   *
   * @param now - monotonic milliseconds.
   */
  backOff(now: number): void {
    const { backOffBaseMilliseconds: base, backOffMaximumMilliseconds: maximum } = this.timing;
    const longest = Math.min(maximum, base * 2 ** this.failures);
    this.failures += 1;
    this.due.set('retry', now + longest * (0.5 + 0.5 * this.random()));
  }

  /**
   * Schedules the first check of a new watch.
   *
   * @param now - monotonic milliseconds.
   */
  watchStarted(now: number): void {
    this.watchingSince = now;
    this.due.set('check', now + this.timing.checkMilliseconds * (0.5 + this.random()));
  }

  /**
   * Cancels the check, and resets the back-off if the watch lasted long enough.
   *
   * @param now - monotonic milliseconds.
   */
  watchEnded(now: number): void {
    this.due.delete('check');
    if (now - this.watchingSince >= this.timing.stableWatchMilliseconds) this.resetBackOff();
  }

  /** Resets the back-off after a success. */
  resetBackOff(): void {
    this.failures = 0;
  }

  /**
   * Schedules a pull, unless one is scheduled.
   *
   * @param now - monotonic milliseconds.
   * @param watching - whether this daemon's own watch is given time to report the revision first.
   */
  schedulePull(now: number, watching: boolean): void {
    if (this.due.has('pull')) return;
    const { watchPatienceMilliseconds, pullSpreadMilliseconds } = this.timing;
    const patience = watching ? watchPatienceMilliseconds : 0;
    this.due.set('pull', now + patience + pullSpreadMilliseconds * this.random());
  }

  /**
   * Schedules a read of the store that compares content, unless one is scheduled.
   *
   * @param now - monotonic milliseconds.
   * @returns Whether it was scheduled by this call.
   */
  scheduleCompare(now: number): boolean {
    if (this.due.has('compare')) return false;
    this.due.set('compare', now + this.timing.compareSpreadMilliseconds * this.random());
    return true;
  }
}
