/**
 * Decides whether one request may be retried at another runner.
 */
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';
import type { QuarantineSession } from './QuarantineSession.js';
import { decideRetry, decideRetryAfterError } from './retryDecision.js';
import type { RetryDecision } from './retryDecision.js';
import type { RequestReport } from './RequestReport.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';
import type { TriedRunners } from './TriedRunners.js';

/** Options of {@link RequestRetries}. */
export interface RequestRetriesOptions {
  request: AdmittedRequest;
  context: Pick<ForwardingContext, 'clock' | 'budget'>;
  tried: TriedRunners;
  quarantine: QuarantineSession;
  report: Pick<RequestReport, 'runnersError'>;
  /** Number of runners that may run the request before its end; by default that of its route. */
  maximumAttempts?: number;
}

/** Retry decisions of one request, based on its attempts, its deadline and the retry budget. */
export class RequestRetries {
  private readonly options: RequestRetriesOptions;

  /**
   * @param options - the request, its attempts and the retry budget.
   */
  constructor(options: RequestRetriesOptions) {
    this.options = options;
  }

  /**
   * @param failure - failure of the last attempt in progress.
   * @param hasFallback - whether a runner's server error can be sent to the caller instead.
   * @returns Whether to retry, and if not, why.
   */
  afterFailure(failure: AttemptFailure, hasFallback: boolean): RetryDecision {
    const { request, tried, quarantine } = this.options;
    const { route, deadlineAt } = request;
    const { maximumAttempts = route.maximumAttempts } = this.options;
    return decideRetry({
      kind: route.kind,
      resumable: route.resumable,
      failure,
      mayHaveRun: tried.mayHaveRun,
      notRun: tried.notRun,
      notConnected: tried.notConnected,
      maximumAttempts,
      hasFallback,
      isSuspect: !quarantine.mayRunAgain,
      remainingMilliseconds: deadlineAt - this.now,
      takeBudget: () => this.takeBudget(),
    });
  }

  /**
   * @param attempt - attempt that its runner answered with a server error.
   * @param status - status code of that answer.
   * @returns Whether the request is retried at another runner.
   */
  afterError(attempt: RunnerAttempt, status: number): boolean {
    const { request, tried, report } = this.options;
    const { route, deadlineAt } = request;
    const { maximumAttempts = route.maximumAttempts } = this.options;
    const decided = decideRetryAfterError({
      kind: route.kind,
      resumable: route.resumable,
      mayHaveRun: tried.mayHaveRun,
      maximumAttempts,
      remainingMilliseconds: deadlineAt - this.now,
      takeBudget: () => this.takeBudget(),
    });
    report.runnersError(attempt, status, decided);
    return decided.verdict === 'retry';
  }

  private get now(): number {
    return this.options.context.clock.monotonicMilliseconds();
  }

  private takeBudget(): boolean {
    const { request, context } = this.options;
    return context.budget.take(request.service, this.now);
  }
}
