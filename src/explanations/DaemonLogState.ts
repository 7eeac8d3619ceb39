/**
 * Tracks the log of one daemon while it is read: above all the requests that have an attempt but no end yet.
 *
 * Requests are tracked per process of the daemon. A new process does not continue the requests of the one before, and it
 * assigns the same ids again to requests of callers that send no id.
 */
import { lossWithoutEndLine } from './classifyLoss.js';
import type { FailedAttempt, Loss } from './lossTypes.js';

/**
 * Time in ms after the last line of an open request after which it counts as lost, because its end line must have been
 * left out of the log. Without a bound such requests would accumulate over a long log. The bound is far above call
 * deadlines and stream lengths: a request that lasts longer would count twice, once here and once at its end.
 */
const MAXIMUM_OPEN_MILLISECONDS = 900_000;

interface OpenRequest {
  readonly lastTime: string;
  readonly failures: readonly FailedAttempt[];
}

/** State of one daemon's log: its open requests, and whether its process has stopped. */
export class DaemonLogState {
  /** Time of the first line, ISO 8601. */
  readonly firstTime: string;

  /** Time of the latest line, ISO 8601. */
  lastTime: string;

  private readonly open = new Map<string, OpenRequest>();

  /** Whether any line of the current process has been read. */
  private hasProcessLines = false;

  private stopped = false;

  /** Number of requests that a planned stop cut and that no line has identified yet. */
  private unidentifiedCutRequests = 0;

  /**
   * @param firstTime - time of the first line, ISO 8601.
   */
  constructor(firstTime: string) {
    this.firstTime = firstTime;
    this.lastTime = firstTime;
  }

  /** @returns Whether the current process has completed a planned stop. */
  get isStopped(): boolean {
    return this.stopped;
  }

  /** @returns Whether the current process has log lines but no completed planned stop. */
  get isEndUnplanned(): boolean {
    return this.hasProcessLines && !this.stopped;
  }

  /**
   * Advances the time of the log, and gives up requests that have had no line for too long to be still in progress.
   *
   * @param time - time of the line that has been read, ISO 8601.
   * @returns Losses of the requests given up.
   */
  advanceTo(time: string): Loss[] {
    this.lastTime = time;
    this.hasProcessLines = true;
    const limit = Date.parse(time) - MAXIMUM_OPEN_MILLISECONDS;
    const losses: Loss[] = [];
    for (const [request, { lastTime, failures }] of this.open) {
      if (Date.parse(lastTime) >= limit) break;
      this.open.delete(request);
      losses.push(lossWithoutEndLine({ cause: 'end not told', time: lastTime, request, failures }));
    }
    return losses;
  }

  /**
   * Records an attempt of a request, which is open until its end line.
   *
   * @param request - request id.
   * @param time - time of the line, ISO 8601.
   * @param failed - the attempt if it failed.
   */
  recordAttempt(request: string, time: string, failed?: FailedAttempt): void {
    const earlierFailures = this.open.get(request)?.failures ?? [];
    // Deleting first moves the request to the end of the map, so that the least recently logged one stays first.
    this.open.delete(request);
    this.open.set(request, {
      lastTime: time,
      failures: failed ? [...earlierFailures, failed] : earlierFailures,
    });
  }

  /**
   * Removes a request whose end line has been read.
   *
   * @param request - request id.
   * @returns The failed attempts of the request, ordered by time.
   */
  endRequest(request: string): readonly FailedAttempt[] {
    const failures = this.open.get(request)?.failures ?? [];
    this.open.delete(request);
    this.consumeCutRequest();
    return failures;
  }

  /**
   * Records the end of a planned stop.
   *
   * @param cut - number of requests that were still in progress and were cut.
   */
  recordStop(cut: number): void {
    this.stopped = true;
    this.unidentifiedCutRequests = cut;
  }

  /**
   * Ends the log of the current process, because the next one has started or there are no more lines.
   *
   * @returns Losses of the requests without an end. A planned stop logs only how many requests it cut, not which ones.
   */
  endProcess(): Loss[] {
    const time = this.lastTime;
    const losses = [...this.open].map(([request, { lastTime, failures }]) => {
      const cause = this.consumeCutRequest() ? 'cut by a stop' : 'end not told';
      return lossWithoutEndLine({ cause, time: lastTime, request, failures });
    });
    this.open.clear();
    while (this.consumeCutRequest())
      losses.push(lossWithoutEndLine({ cause: 'cut by a stop', time }));
    this.hasProcessLines = false;
    this.stopped = false;
    return losses;
  }

  private consumeCutRequest(): boolean {
    if (this.unidentifiedCutRequests === 0) return false;
    this.unidentifiedCutRequests -= 1;
    return true;
  }
}
