/**
 * Whether one request may be sent to another runner.
 */
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';
import type { QuarantineGuard } from './QuarantineGuard.js';
import { decideRetry, decideSecondOpinion } from './retryDecision.js';
import type { RetryDecision } from './retryDecision.js';
import type { RequestReport } from './RequestReport.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';
import type { TriedRunners } from './TriedRunners.js';

/** Options of {@link RequestRetries}. */
export interface RequestRetriesOptions {
  request: AdmittedRequest;
  context: Pick<ForwardingContext, 'clock' | 'budget'>;
  tried: TriedRunners;
  guard: QuarantineGuard;
  report: Pick<RequestReport, 'runnersError'>;
}

/** Kept by one request. */
export class RequestRetries {
  private readonly options: RequestRetriesOptions;

  /**
   * @param options - the request.
   */
  constructor(options: RequestRetriesOptions) {
    this.options = options;
  }

  /**
   * @param failure - of the last attempt under way.
   * @param hasFallback - whether the caller can be given a runner's own error instead.
   * @returns What to do now.
   */
  afterFailure(failure: AttemptFailure, hasFallback: boolean): RetryDecision {
    const { request, tried, guard } = this.options;
    const { route, deadlineAt } = request;
    return decideRetry({
      kind: route.kind,
      resumable: route.resumable,
      failure,
      mayHaveRun: tried.mayHaveRun,
      notRun: tried.notRun,
      maximumAttempts: route.maximumAttempts,
      hasFallback,
      isSuspect: guard.isRepeatedSuspect,
      remainingMilliseconds: deadlineAt - this.now,
      takeBudget: () => this.takeBudget(),
    });
  }

  /**
   * @param attempt - that its runner has answered with an error of its own.
   * @param status - of that answer.
   * @returns Whether another runner is asked for a second opinion.
   */
  afterError(attempt: RunnerAttempt, status: number): boolean {
    const { request, tried, report } = this.options;
    const { route, deadlineAt } = request;
    const decided = decideSecondOpinion({
      kind: route.kind,
      resumable: route.resumable,
      mayHaveRun: tried.mayHaveRun,
      maximumAttempts: route.maximumAttempts,
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
