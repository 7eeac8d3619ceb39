/**
 * What one request's attempts say for or against their runners.
 */
import type { Runner } from '../runners/Runner.js';
import type { RunnerOutcome } from '../runners/RunnerHealth.js';
import type { ForwardingContext } from './forwardingTypes.js';
import type { RequestReport } from './RequestReport.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';

/** A connection that was not accepted in time says nothing by itself: `LinkCheck` finds out whose fault it is. */
const OUTCOMES: Readonly<Record<Exclude<AttemptFailure, 'connect_timeout'>, RunnerOutcome>> = {
  not_connected: 'unreachable',
  silent: 'unreachable',
  broken: 'failed',
  stray_answer: 'failed',
  refused: 'failed',
};

const SERVER_ERROR = 500;

/** A runner's answer to a deadline that has passed; it says nothing against the runner. */
const GATEWAY_TIMEOUT = 504;

/** Options of a {@link RunnerJudge}. */
export interface RunnerJudgeOptions {
  context: Pick<ForwardingContext, 'clock' | 'link'>;
  report: Pick<RequestReport, 'runnerPaused'>;
}

/** Records outcomes, and reports runners that are left alone from then on. */
export class RunnerJudge {
  private readonly options: RunnerJudgeOptions;

  /**
   * @param options - the daemon's link, and where reports go.
   */
  constructor(options: RunnerJudgeOptions) {
    this.options = options;
  }

  /**
   * @param attempt - that gave no answer.
   * @param failure - how.
   */
  failed({ runner, startedAt }: RunnerAttempt, failure: AttemptFailure): void {
    if (failure !== 'connect_timeout') {
      this.record(runner, OUTCOMES[failure]);
      return;
    }
    runner.health.abandoned();
    this.options.context.link.ask(runner, (isDark) => {
      if (isDark && runner.lastHeardAt < startedAt) this.record(runner, 'unreachable');
    });
  }

  /**
   * @param runner - that has answered.
   * @param status - of its whole answer.
   */
  answered(runner: Runner, status: number): void {
    const isItsFault = status >= SERVER_ERROR && status !== GATEWAY_TIMEOUT;
    this.record(runner, isItsFault ? 'failed' : 'answered');
  }

  private record(runner: Runner, outcome: RunnerOutcome): void {
    const { context, report } = this.options;
    const now = context.clock.monotonicMilliseconds();
    if (runner.health.record(now, outcome)) report.runnerPaused(runner, outcome);
  }
}
