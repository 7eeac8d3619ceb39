/**
 * What the log of one daemon has told so far, above all of requests that have not ended. A process of the daemon
 * knows nothing of the requests of the one before, and gives callers that send no id the same ids anew.
 */
import { untoldLoss } from './lossDecisions.js';
import type { FailedAttempt, Loss } from './lossTypes.js';

/**
 * A request that had an attempt and then no line for this long, in ms, counts as ended unseen: its last line was left out.
 * Without a bound these would pile up over a long log. Far above the deadlines of calls and the length of streams; one that
 * goes on beyond it would count twice, now and at its end.
 */
const MAXIMUM_OPEN_MILLISECONDS = 900_000;

interface OpenRequest {
  readonly lastTime: string;
  readonly failures: readonly FailedAttempt[];
}

/** See the module's comment. */
export class DaemonLog {
  /** Of its first line, ISO 8601. */
  readonly firstTime: string;

  /** Of its latest line, ISO 8601. */
  lastTime: string;

  private readonly open = new Map<string, OpenRequest>();

  /** Whether a line of the process at hand has been read. */
  private isRunning = false;

  private stopped = false;

  /** Requests that a planned stop has cut and that no line has named yet. */
  private unnamedCut = 0;

  /**
   * @param firstTime - of its first line, ISO 8601.
   */
  constructor(firstTime: string) {
    this.firstTime = firstTime;
    this.lastTime = firstTime;
  }

  /** @returns Whether a planned stop of the process is complete. */
  get isStopped(): boolean {
    return this.stopped;
  }

  /** @returns Whether the log tells of a process that has not ended by a planned stop. */
  get endsUnplanned(): boolean {
    return this.isRunning && !this.stopped;
  }

  /**
   * @param time - of a line that has been read, ISO 8601.
   * @returns Losses of requests that have been without a line for too long to be in progress.
   */
  read(time: string): Loss[] {
    this.lastTime = time;
    this.isRunning = true;
    const limit = Date.parse(time) - MAXIMUM_OPEN_MILLISECONDS;
    const losses: Loss[] = [];
    for (const [request, { lastTime, failures }] of this.open) {
      if (Date.parse(lastTime) >= limit) break;
      this.open.delete(request);
      losses.push(untoldLoss({ cause: 'end not told', time: lastTime, request, failures }));
    }
    return losses;
  }

  /**
   * @param request - that had one more attempt.
   * @param time - of its line, ISO 8601.
   * @param failed - the attempt, if it failed.
   */
  attempted(request: string, time: string, failed?: FailedAttempt): void {
    const before = this.open.get(request)?.failures ?? [];
    // The longest unheard of stays first.
    this.open.delete(request);
    this.open.set(request, { lastTime: time, failures: failed ? [...before, failed] : before });
  }

  /**
   * @param request - that ended.
   * @returns Its failed attempts, by time.
   */
  ended(request: string): readonly FailedAttempt[] {
    const failures = this.open.get(request)?.failures ?? [];
    this.open.delete(request);
    this.takeCut();
    return failures;
  }

  /**
   * @param cut - requests that were in progress at the end of a planned stop.
   */
  stoppedWith(cut: number): void {
    this.stopped = true;
    this.unnamedCut = cut;
  }

  /**
   * The log of the process is over, because the next one has started or there are no more lines.
   *
   * @returns Losses of what had not ended; a planned stop tells how many it cut, not which.
   */
  endProcess(): Loss[] {
    const time = this.lastTime;
    const losses = [...this.open].map(([request, { lastTime, failures }]) => {
      const cause = this.takeCut() ? 'cut by a stop' : 'end not told';
      return untoldLoss({ cause, time: lastTime, request, failures });
    });
    this.open.clear();
    while (this.takeCut()) losses.push(untoldLoss({ cause: 'cut by a stop', time }));
    this.isRunning = false;
    this.stopped = false;
    return losses;
  }

  private takeCut(): boolean {
    if (this.unnamedCut === 0) return false;
    this.unnamedCut -= 1;
    return true;
  }
}
