/**
 * Reports the decisions about one request and its result to the log and the metrics. Each log line has the request's id
 * and the values on which the decision was based.
 */
import type { LogEvent } from '../logging/logEvent.js';
import { wholeKey } from '../prompts/prefixKeys.js';
import type { Runner } from '../runners/Runner.js';
import type { Choice } from '../runners/RunnerChoice.js';
import type { RunnerOutcome } from '../runners/RunnerHealth.js';
import type { AnswerFraming } from './answerFraming.js';
import type { AnswerRelay } from './AnswerRelay.js';
import { forwardingLogEvents } from './forwardingFeature.js';
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';
import type { RetryDecision } from './retryDecision.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Rounds the mean load to two decimals, which is as much as a reader needs. */
const LOAD_ROUNDING = 100;

/** Rounds the room in the retry budget to one decimal, which is as much as a reader needs. */
const BUDGET_ROUNDING = 10;

/** Log events that end a request. */
export type EndEvent = 'answered' | 'notServed' | 'callerLeft';

/** How a request ended. */
export interface RequestEnd {
  readonly event: EndEvent;
  readonly outcome: string;
  /** What the caller got, and from which runners or daemons. */
  readonly relay: Pick<AnswerRelay, 'status' | 'ownerNames' | 'droppedBytes'>;
  /** When the first event or the complete answer arrived, monotonic ms. */
  readonly firstAnswerAt: number | undefined;
  /** Number of attempts. */
  readonly tried: number;
  /** Parts of its prompt for which it was refused or broken off. */
  readonly quarantinedParts?: string | undefined;
}

/** What is logged of a failed attempt besides its runner and the failure. */
export interface AttemptEnd {
  readonly verdict: string;
  /** Why the request is not retried. */
  readonly reason: string | undefined;
  /** Last event of the stream that the caller received. */
  readonly lastEventId: string | undefined;
  /** Bytes of the next event, which has not arrived whole; 0 if there are none. */
  readonly partialBytes: number;
}

/** Options of a {@link RequestReport}. */
export interface RequestReportOptions {
  request: AdmittedRequest;
  context: ForwardingContext;
  /** Digest of the request; the same each time the caller sends it. */
  digest: string;
}

/** Reporter of one request. */
export class RequestReport {
  private readonly request: AdmittedRequest;

  private readonly context: ForwardingContext;

  private readonly digest: string;

  private choice: Choice | undefined;

  private framing: AnswerFraming | undefined;

  /**
   * @param options - the request, its digest, and the log and metrics.
   */
  constructor({ request, context, digest }: RequestReportOptions) {
    this.request = request;
    this.context = context;
    this.digest = digest;
  }

  /**
   * Remembers the choice; it is logged when the request ends.
   *
   * @param choice - runner of the next attempt, with the reason for it.
   */
  chosen(choice: Choice): void {
    this.choice = choice;
    this.framing = undefined;
  }

  /**
   * Remembers how the answer of the attempt in progress is framed; it is logged when the attempt or the request ends.
   *
   * @param framing - how the end of the answer is recognized.
   */
  answerBegun(framing: AnswerFraming): void {
    this.framing = framing;
  }

  /** Logs that the request is hedged: sent to a second runner while the first is still working on it. */
  hedged(): void {
    const { choice } = this;
    this.write(forwardingLogEvents.hedged, {
      runner: choice?.runner.entry.id,
      ...this.budgetFields(),
    });
  }

  /**
   * Logs that a runner answered with a server error.
   *
   * @param attempt - attempt that got the error.
   * @param status - status code of the answer.
   * @param decided - whether the request is retried, and if not, why.
   */
  runnersError(attempt: RunnerAttempt, status: number, decided: RetryDecision): void {
    this.write(forwardingLogEvents.runnersError, {
      runner: attempt.runner.entry.id,
      status,
      ...decided,
      ...this.budgetFields(),
    });
  }

  /**
   * Logs that the answer of an attempt is dropped, since the caller has the beginning of a stream.
   *
   * @param attempt - attempt whose answer is no stream.
   * @param status - status code of its answer.
   * @param relay - tells whose bytes the caller has.
   */
  answerRejected(
    { runner }: RunnerAttempt,
    status: number,
    { ownerNames }: Pick<AnswerRelay, 'ownerNames'>,
  ): void {
    const { framing } = this;
    this.write(forwardingLogEvents.answerRejected, {
      ...{ runner: runner.entry.id, status, framing, answeredBy: ownerNames },
    });
  }

  /**
   * Logs and counts a failed attempt.
   *
   * @param attempt - attempt that failed.
   * @param failure - kind of failure.
   * @param end - the verdict, its reason, and where a stream ended.
   */
  attemptFailed(attempt: RunnerAttempt, failure: AttemptFailure, end: AttemptEnd): void {
    const now = this.context.clock.monotonicMilliseconds();
    const { lastHeardAt: heardAt } = attempt.runner;
    this.context.metrics.failures.increment({ kind: failure });
    this.write(forwardingLogEvents.attemptFailed, {
      runner: attempt.runner.entry.id,
      life: attempt.runner.entry.life,
      digest: this.digest,
      parts: this.parts,
      failure,
      attemptMilliseconds: Math.round(now - attempt.startedAt),
      // Time since the runner sent data for any request; a runner that still serves others is not unresponsive.
      heardMilliseconds: Number.isFinite(heardAt) ? Math.round(now - heardAt) : undefined,
      ...end,
      partialBytes: end.partialBytes || undefined,
      framing: this.framing,
      softwareVersion: this.versionOf(attempt.runner),
      ...this.budgetFields(),
    });
  }

  /**
   * Logs that a runner is ejected for a while because of its failures.
   *
   * @param runner - runner that gets no requests for now.
   * @param outcome - the outcome that led to the ejection.
   */
  runnerPaused({ entry }: Runner, outcome: RunnerOutcome): void {
    const { id, service } = entry;
    this.context.log.write(forwardingLogEvents.runnerPaused, { runner: id, service, outcome });
  }

  /**
   * Logs the end of the request, and records its outcome and latency.
   *
   * @param end - how the request ended.
   */
  ended({ event, outcome, relay, firstAnswerAt, tried, quarantinedParts }: RequestEnd): void {
    const { route, arrivedAt, clientAccount, configurationVersion } = this.request;
    const { clock, metrics } = this.context;
    metrics.requests.increment({ route: route.name, outcome });
    if (firstAnswerAt !== undefined) {
      const seconds = (firstAnswerAt - arrivedAt) / MILLISECONDS_PER_SECOND;
      metrics.latency.record(seconds, { route: route.name });
    }
    this.write(forwardingLogEvents[event], {
      outcome,
      status: relay.status,
      route: route.name,
      clientAccount,
      configurationVersion,
      digest: event === 'answered' ? undefined : this.digest,
      runner: this.choice?.runner.entry.id,
      answeredBy: relay.ownerNames,
      droppedBytes: relay.droppedBytes || undefined,
      softwareVersion: this.versionOf(this.choice?.runner),
      choice: this.choice?.reason,
      parts: this.parts,
      quarantinedParts,
      cacheSource: this.choice?.cacheSource?.entry.id,
      load: this.choice?.load,
      // Only the framing that does not prove the end of an answer is worth its bytes in a line of each request.
      framing: this.framing === 'until_close' ? this.framing : undefined,
      meanLoad: this.choice && Math.round(this.choice.meanLoad * LOAD_ROUNDING) / LOAD_ROUNDING,
      tried,
      firstMilliseconds: firstAnswerAt && Math.round(firstAnswerAt - arrivedAt),
      milliseconds: Math.round(clock.monotonicMilliseconds() - arrivedAt),
    });
  }

  /** Ids of the parts of the prompt that other requests share; a digest stands for those at the beginning of a long one. */
  private get parts(): string | undefined {
    return wholeKey(this.request.sharedParts) || undefined;
  }

  /** Software version of a stream's runner, at which the stream has to go on. */
  private versionOf(runner: Runner | undefined): string | undefined {
    return this.request.route.kind === 'stream' ? runner?.entry.softwareVersion : undefined;
  }

  /** State of the retry budget, which determines whether the request may be retried. */
  private budgetFields(): Record<string, number> {
    const { budget, clock } = this.context;
    const view = budget.viewOf(this.request.service, clock.monotonicMilliseconds());
    return {
      budgetRoom: Math.round(view.room * BUDGET_ROUNDING) / BUDGET_ROUNDING,
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
