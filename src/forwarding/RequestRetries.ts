/**
 * Whether one request may be sent to another runner.
 */
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';
import type { QuarantineGuard } from './QuarantineGuard.js';
import { decideRetry, isRepeatable } from './retryDecision.js';
import type { RetryDecision } from './retryDecision.js';
import type { AttemptFailure } from './RunnerAttempt.js';
import type { TriedRunners } from './TriedRunners.js';

/** Options of {@link RequestRetries}. */
export interface RequestRetriesOptions {
  request: AdmittedRequest;
  context: Pick<ForwardingContext, 'clock' | 'budget'>;
  tried: TriedRunners;
  guard: QuarantineGuard;
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

  /** @returns Whether a runner's own error gets a second opinion. */
  afterError(): boolean {
    const { request, tried } = this.options;
    const { route, deadlineAt } = request;
    return (
      isRepeatable(route.kind, route.resumable) &&
      tried.mayHaveRun < route.maximumAttempts &&
      deadlineAt > this.now &&
      this.takeBudget()
    );
  }

  private get now(): number {
    return this.options.context.clock.monotonicMilliseconds();
  }

  private takeBudget(): boolean {
    const { request, context } = this.options;
    return context.budget.take(request.service, this.now);
  }
}
