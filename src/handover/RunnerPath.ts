/**
 * Whether this daemon reaches the runners at all, judged by the connections that it opens and the answers that it gets.
 *
 * A runner that has crashed or is unresponsive is one of many, and others answer in between. If several runners in a row
 * accept no connection and none is heard from meanwhile, the path from this daemon may be lost, and another daemon may
 * still have one. So may a part of the runners be down: others are asked before the path counts as lost.
 */

/** Number of different runners that have to fail in a row; in a smaller site, all of them. */
const FAILED_RUNNERS = 4;

/** With a single runner, its failure cannot be told from a lost path. */
const MINIMUM_FAILED_RUNNERS = 2;

/** How long a path that is back counts as new, in ms: until then others may not know of it, and it may be lost again. */
const SETTLED_MILLISECONDS = 3_000;

/** Options of a {@link RunnerPath}. */
export interface RunnerPathOptions {
  /** Returns the number of listed runners. */
  runnerCount: () => number;
  /** Called when the path is lost or back. */
  onChange?: (isLost: boolean, now: number) => void;
  /**
   * Finds out whether any other runner accepts a connection; without it, the failures in a row decide.
   *
   * @param done - called once with the result, after the failures that it comes from have been recorded.
   */
  confirm?: (done: (isReached: boolean) => void) => void;
}

/** Counts failures and successes of connections to runners. */
export class RunnerPath {
  private readonly options: Required<RunnerPathOptions>;

  /** Incarnations of the runners that have failed since one was last heard from. */
  private readonly failed = new Set<string>();

  /** When a runner last failed, monotonic ms. */
  private failedAt = 0;

  /** Whether other runners are being asked. */
  private isConfirming = false;

  private lostAt: number | undefined;

  /** When the path was last found again, monotonic ms. */
  private backAt = Number.NEGATIVE_INFINITY;

  /** When the first request was sent since a runner was last heard from; monotonic ms. */
  private waitingSince: number | undefined;

  /**
   * @param options - the number of runners, and the listener.
   */
  constructor(options: RunnerPathOptions) {
    this.options = { onChange: () => undefined, confirm: (done) => done(false), ...options };
  }

  /** @returns Whether this daemon reaches no runner. */
  get isLost(): boolean {
    return this.lostAt !== undefined;
  }

  /**
   * @param now - monotonic ms.
   * @returns Whether this daemon has reached runners for a while.
   */
  isSettled(now: number): boolean {
    return !this.isLost && now - this.backAt >= SETTLED_MILLISECONDS;
  }

  /**
   * Records that a runner did not accept a connection, or refused it.
   *
   * @param life - incarnation of the runner.
   * @param now - monotonic ms.
   */
  recordFailure(life: string, now: number): void {
    this.failed.add(life);
    this.failedAt = now;
    if (this.isLost || this.isConfirming || !this.isInDoubt) return;
    this.isConfirming = true;
    this.options.confirm((isReached) => {
      this.isConfirming = false;
      if (isReached || this.isLost || !this.isInDoubt) return;
      this.lostAt = this.failedAt;
      this.options.onChange(true, this.failedAt);
    });
  }

  /**
   * Records that a runner accepted a new connection, which ends a loss of the path.
   *
   * @param now - monotonic ms.
   */
  recordAccepted(now: number): void {
    this.recordHeard();
    if (!this.isLost) return;
    this.lostAt = undefined;
    this.backAt = now;
    this.options.onChange(false, now);
  }

  /**
   * Records data from a runner. It does not end a loss of the path: connections that were open before may go on while no
   * new one is accepted.
   */
  recordHeard(): void {
    this.waitingSince = undefined;
    if (this.failed.size > 0) this.failed.clear();
  }

  /**
   * Records a request that was sent to a runner.
   *
   * @param now - monotonic ms.
   */
  recordSent(now: number): void {
    this.waitingSince ??= now;
  }

  /** Whether so many runners have failed in a row that the path may be lost. */
  private get isInDoubt(): boolean {
    const listed = Math.max(MINIMUM_FAILED_RUNNERS, this.options.runnerCount());
    return this.failed.size >= Math.min(FAILED_RUNNERS, listed);
  }

  /**
   * @param now - monotonic ms.
   * @returns How long requests have been waiting while no runner was heard from, in ms; 0 if none is waiting.
   */
  silentMilliseconds(now: number): number {
    return this.waitingSince === undefined ? 0 : now - this.waitingSince;
  }
}
