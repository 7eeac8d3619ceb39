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
   * @param runner - that had a request.
   * @param outcome - how that ended.
   */
  record(runner: Runner, outcome: RunnerOutcome): void {
    const { context, report } = this.options;
    const now = context.clock.monotonicMilliseconds();
    if (runner.health.record(now, outcome)) report.runnerPaused(runner, outcome);
  }
}
