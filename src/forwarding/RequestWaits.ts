/**
 * Tracks how long one request has been waiting for its runners, and decides what to do about it.
 */
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';
import type { QuarantineSession } from './QuarantineSession.js';
import type { RunnerAttempt } from './RunnerAttempt.js';
import type { StreamedAnswer } from './StreamedAnswer.js';
import type { TriedRunners } from './TriedRunners.js';
import { nextCheck, shouldHedge, stalledAttempt } from './waitLimits.js';
import type { RequestProgress, StalledAttempt } from './waitLimits.js';

/** Options of {@link RequestWaits}. */
export interface RequestWaitsOptions {
  request: AdmittedRequest;
  context: Pick<ForwardingContext, 'clock' | 'budget' | 'link'>;
  stream: Pick<StreamedAnswer, 'hasEvents' | 'isPaused'>;
  /** Attempts in progress. */
  active: ReadonlySet<RunnerAttempt>;
  tried: TriedRunners;
  quarantine: QuarantineSession;
  /** Whether the request may be sent to a second runner while the first is still working on it. */
  mayHedge: boolean;
}

/** Waits of one request. */
export class RequestWaits {
  private readonly options: RequestWaitsOptions;

  /** When the answer of this request last made progress, or an attempt was sent; monotonic ms. */
  private lastProgressAt = 0;

  /**
   * @param options - the request and its attempts.
   */
  constructor(options: RequestWaitsOptions) {
    this.options = options;
  }

  /** @returns When to check the request again, monotonic ms. */
  get nextCheckAt(): number {
    return nextCheck(this.progress);
  }

  /** @returns The attempt of a stalled stream, whose runner has to be probed. */
  get stalled(): StalledAttempt | undefined {
    return stalledAttempt(this.progress);
  }

  /** Records that an attempt was sent. */
  recordSent(): void {
    this.lastProgressAt = this.now;
    this.options.context.link.sent();
  }

  /**
   * Records that data has arrived.
   *
   * @param isProgress - whether the answer has made progress: by its head, by bytes of a plain body, or by a complete
   *   event with an id or data. Comments and parts of events are none.
   */
  recordHeard(isProgress = true): void {
    if (isProgress) this.lastProgressAt = this.now;
    this.options.context.link.heard();
  }

  /** @returns Whether the request is hedged now; if so, the retry budget has paid for it. */
  takeHedge(): boolean {
    return this.options.mayHedge && shouldHedge(this.progress) && this.takeBudget();
  }

  /** @returns Whether the request has waited so long that it should run at another daemon if its runners cannot answer. */
  get isStuck(): boolean {
    const { progress } = this;
    if (stalledAttempt(progress)) return true;
    return shouldHedge({ ...progress, isLinkSuspect: false });
  }

  /** @returns Whether a request that is stuck runs again elsewhere now; if so, the budget has paid for it. */
  takeMove(): boolean {
    return this.isStuck && this.takeBudget();
  }

  private takeBudget(): boolean {
    const { quarantine, context, request } = this.options;
    return quarantine.mayHedge && context.budget.take(request.service, this.now);
  }

  private get progress(): RequestProgress {
    const { request, context, active, tried, stream } = this.options;
    const { now } = this;
    return {
      request,
      now,
      attempts: active,
      mayHaveRun: tried.mayHaveRun,
      lastProgressAt: stream.isPaused ? now : this.lastProgressAt,
      hasEvents: stream.hasEvents,
      hasBudget: () => context.budget.hasRoom(request.service, this.now),
      isLinkSuspect: context.link.isSuspect,
    };
  }

  private get now(): number {
    return this.options.context.clock.monotonicMilliseconds();
  }
}
