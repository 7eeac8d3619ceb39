/**
 * Records the outcomes of attempts in the health of their runners.
 */
import type { Runner } from '../runners/Runner.js';
import type { RunnerOutcome } from '../runners/RunnerHealth.js';
import type { ForwardingContext } from './forwardingTypes.js';
import type { RequestReport } from './RequestReport.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';

/**
 * Outcome for the runner's health by kind of failure. `connect_timeout` is missing: by itself it does not show whether
 * the runner or the daemon's link is at fault, so {@link LinkCheck} determines that.
 */
const OUTCOME_BY_FAILURE: Readonly<
  Record<Exclude<AttemptFailure, 'connect_timeout'>, RunnerOutcome>
> = {
  not_connected: 'not_connected',
  silent: 'unreachable',
  broken: 'failed',
  stray_answer: 'failed',
  refused: 'failed',
};

const SERVER_ERROR = 500;

/** A runner that keeps a request for this multiple of its target latency is late; a caller that leaves earlier is not. */
const LATE_FACTOR = 2;

/** A runner's answer after the deadline has passed; it does not count as a failure of the runner. */
const GATEWAY_TIMEOUT = 504;

/** Options of a {@link RunnerOutcomes}. */
export interface RunnerOutcomesOptions {
  context: Pick<ForwardingContext, 'clock' | 'link' | 'onConnectionRefused' | 'onConnectionBroken'>;
  report: Pick<RequestReport, 'runnerPaused'>;
}

/** Records the outcomes of one request, and reports the runners that are ejected as a result. */
export class RunnerOutcomes {
  private readonly options: RunnerOutcomesOptions;

  /**
   * @param options - clock, the check of the daemon's network link, and the report of the request.
   */
  constructor(options: RunnerOutcomesOptions) {
    this.options = options;
  }

  /**
   * Records a failed attempt. After a connect timeout, the runner is blamed only if others accept connections, and no
   * runner is blamed while this daemon reaches none.
   *
   * @param attempt - attempt that failed.
   * @param failure - kind of failure.
   */
  failed({ runner, startedAt }: RunnerAttempt, failure: AttemptFailure): void {
    const { link, onConnectionRefused, onConnectionBroken } = this.options.context;
    if (failure === 'broken') onConnectionBroken?.(runner);
    if (failure === 'not_connected') {
      link.refused(runner);
      onConnectionRefused?.(runner);
    }
    if (failure === 'refused' || failure === 'stray_answer') link.heard();
    if (failure !== 'connect_timeout' && !link.isPathLost) {
      this.record(runner, OUTCOME_BY_FAILURE[failure]);
      return;
    }
    runner.health.recordAbandoned();
    if (failure !== 'connect_timeout') return;
    link.ask(runner, (isUnresponsive) => {
      if (isUnresponsive && runner.lastHeardAt < startedAt) this.record(runner, 'unreachable');
    });
  }

  /**
   * Records a complete answer; server errors count as failures.
   *
   * @param runner - runner that has answered.
   * @param status - status code of the answer.
   */
  answered(runner: Runner, status: number): void {
    const isRunnerFault = status >= SERVER_ERROR && status !== GATEWAY_TIMEOUT;
    this.record(runner, isRunnerFault ? 'failed' : 'answered');
  }

  /**
   * Records an attempt that is about to be given up, because its caller's deadline has passed or the caller has left.
   *
   * @param attempt - attempt in progress.
   * @param targetMilliseconds - target latency of its route, in ms.
   */
  givenUp({ runner, startedAt, isAnswered }: RunnerAttempt, targetMilliseconds: number): void {
    const { link, clock } = this.options.context;
    const now = clock.monotonicMilliseconds();
    const isLate = now - startedAt >= targetMilliseconds * LATE_FACTOR;
    if (isAnswered || !isLate || link.isPathLost) return;
    runner.backlog.recordUnanswered(startedAt, runner.inFlight, now);
  }

  private record(runner: Runner, outcome: RunnerOutcome): void {
    const { context, report } = this.options;
    const now = context.clock.monotonicMilliseconds();
    if (runner.health.record(now, outcome)) report.runnerPaused(runner, outcome);
  }
}
