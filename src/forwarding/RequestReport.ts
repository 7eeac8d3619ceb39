/**
 * Tells the log and the metrics what became of one request: a line for each decision, with the request's id
 * and what decided it.
 */
import type { LogEvent } from '../logging/logEvent.js';
import type { Runner } from '../runners/Runner.js';
import type { Choice } from '../runners/RunnerChoice.js';
import type { RunnerOutcome } from '../runners/RunnerHealth.js';
import { forwardingLogEvents } from './forwardingFeature.js';
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';
import type { RetryDecision } from './retryDecision.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Decimals of the mean load that a reader needs. */
const LOAD_STEPS = 100;

/** Decimals of the room in the retry budget that a reader needs. */
const BUDGET_STEPS = 10;

/** The events that end a request. */
export type EndEvent = 'answered' | 'notServed' | 'callerLeft';

/** How a request ended. */
export interface RequestEnd {
  readonly event: EndEvent;
  readonly outcome: string;
  /** The status that the caller got, or 0. */
  readonly status: number;
  /** When its first event or its answer was there, monotonic ms. */
  readonly firstAnswerAt: number | undefined;
  /** Runners that were tried. */
  readonly tried: number;
}

/** Options of a {@link RequestReport}. */
export interface RequestReportOptions {
  request: AdmittedRequest;
  context: ForwardingContext;
  /** Of the request: the same for each of its arrivals. */
  digest: string;
}

/** One request's lines. */
export class RequestReport {
  private readonly request: AdmittedRequest;

  private readonly context: ForwardingContext;

  private readonly digest: string;

  private choice: Choice | undefined;

  /**
   * @param options - the request.
   */
  constructor({ request, context, digest }: RequestReportOptions) {
    this.request = request;
    this.context = context;
    this.digest = digest;
  }

  /**
   * @param choice - the runner that the next attempt goes to; told with the request's end.
   */
  chosen(choice: Choice): void {
    this.choice = choice;
  }

  /** A second runner is asked beside the first. */
  hedged(): void {
    const { choice } = this;
    this.write(forwardingLogEvents.hedged, { runner: choice?.runner.entry.id, ...this.budget() });
  }

  /**
   * A runner has answered with an error of its own.
   *
   * @param attempt - that has ended so.
   * @param status - of the answer.
   * @param decided - whether another runner is asked, and why not.
   */
  runnersError(attempt: RunnerAttempt, status: number, decided: RetryDecision): void {
    this.write(forwardingLogEvents.runnersError, {
      runner: attempt.runner.entry.id,
      status,
      ...decided,
      ...this.budget(),
    });
  }

  /**
   * @param attempt - that failed.
   * @param failure - how.
   * @param decided - what was decided, why no other runner is asked, and the stream's last event.
   */
  attemptFailed(
    attempt: RunnerAttempt,
    failure: AttemptFailure,
    decided: { verdict: string; reason: string | undefined; lastEventId: string | undefined },
  ): void {
    const now = this.context.clock.monotonicMilliseconds();
    const { lastHeardAt: heardAt } = attempt.runner;
    this.context.metrics.failures.increment({ kind: failure });
    this.write(forwardingLogEvents.attemptFailed, {
      runner: attempt.runner.entry.id,
      digest: this.digest,
      failure,
      attemptMilliseconds: Math.round(now - attempt.startedAt),
      // Since the runner said anything to anybody: a runner that others hear is not dark.
      heardMilliseconds: Number.isFinite(heardAt) ? Math.round(now - heardAt) : undefined,
      ...decided,
      ...this.budget(),
    });
  }

  /**
   * @param runner - that is left alone from now on.
   * @param outcome - what was the last straw.
   */
  runnerPaused({ entry }: Runner, outcome: RunnerOutcome): void {
    const { id, service } = entry;
    this.context.log.write(forwardingLogEvents.runnerPaused, { runner: id, service, outcome });
  }

  /**
   * @param end - how the request ended.
   */
  ended({ event, outcome, status, firstAnswerAt, tried }: RequestEnd): void {
    const { route, arrivedAt, clientAccount, configurationVersion } = this.request;
    const { clock, metrics } = this.context;
    metrics.requests.increment({ route: route.name, outcome });
    if (firstAnswerAt !== undefined) {
      const seconds = (firstAnswerAt - arrivedAt) / MILLISECONDS_PER_SECOND;
      metrics.latency.record(seconds, { route: route.name });
    }
    this.write(forwardingLogEvents[event], {
      outcome,
      status,
      route: route.name,
      clientAccount,
      configurationVersion,
      digest: event === 'answered' ? undefined : this.digest,
      runner: this.choice?.runner.entry.id,
      choice: this.choice?.reason,
      parts: this.request.sharedParts.join() || undefined,
      cacheSource: this.choice?.cacheSource?.entry.id,
      load: this.choice?.load,
      meanLoad: this.choice && Math.round(this.choice.meanLoad * LOAD_STEPS) / LOAD_STEPS,
      tried,
      firstMilliseconds: firstAnswerAt && Math.round(firstAnswerAt - arrivedAt),
      milliseconds: Math.round(clock.monotonicMilliseconds() - arrivedAt),
    });
  }

  /** What decides whether a request may be sent once more. */
  private budget(): Record<string, number> {
    const { budget, clock } = this.context;
    const view = budget.viewOf(this.request.service, clock.monotonicMilliseconds());
    return {
      budgetRoom: Math.round(view.room * BUDGET_STEPS) / BUDGET_STEPS,
      budgetSpent: view.spent,
      budgetRequests: view.requests,
      budgetAgeMilliseconds: Math.round(view.ageMilliseconds),
      budgetDaemons: view.daemons,
    };
  }

  private write(event: LogEvent, fields: Record<string, string | number | undefined>): void {
    this.context.log.write(event, { request: this.request.id, ...fields });
  }
}
