/**
 * The parts of one forwarded request, each of which keeps a side of its state, and how the request ends.
 */
import type { HandOverEnd } from '../handover/HandedOverRequest.js';
import { HandOverSession } from '../handover/HandOverSession.js';
import { requestSubjects } from '../quarantine/requestSubjects.js';
import type { Choice, ChoiceQuestion } from '../runners/RunnerChoice.js';
import { StreamVersionSession } from '../streamVersions/StreamVersionSession.js';
import { ActiveAttempts } from './ActiveAttempts.js';
import type { AnswerRelay, DaemonAnswer } from './AnswerRelay.js';
import { BufferedAnswers } from './BufferedAnswers.js';
import { createAttempt } from './createAttempt.js';
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';
import { QuarantineSession } from './QuarantineSession.js';
import { RequestReport } from './RequestReport.js';
import type { EndEvent } from './RequestReport.js';
import { RequestRetries } from './RequestRetries.js';
import { RequestTimer } from './RequestTimer.js';
import { RequestWaits } from './RequestWaits.js';
import { AttemptObserver } from './RunnerAttempt.js';
import type { RunnerAttempt } from './RunnerAttempt.js';
import { requestWorkload } from './requestWorkload.js';
import { RunnerOutcomes } from './RunnerOutcomes.js';
import { StreamedAnswer } from './StreamedAnswer.js';
import { TriedRunners } from './TriedRunners.js';

/** Options of a forwarded request. */
export interface ForwardedRequestOptions {
  request: AdmittedRequest;
  body: Buffer | undefined;
  relay: AnswerRelay;
  context: ForwardingContext;
  /**
   * What the daemon that handed the request over did for it; missing for a request of a caller. That daemon decides
   * whether the request runs again, so it runs here once.
   */
  before?: {
    readonly isCounted: boolean;
    /** Runners that it went to from there. */
    readonly tried: TriedRunners;
    /** Version at which a stream goes on; any if it is missing. */
    readonly softwareVersion?: string | undefined;
  };
}

/** Creates and holds the parts. */
export abstract class RequestParts extends AttemptObserver {
  protected readonly request: AdmittedRequest;

  protected readonly body: Buffer | undefined;

  /** Whether another daemon has counted the request in its retry budget. */
  protected readonly isCounted: boolean;

  /** Whether another daemon has handed the request over; it decides how the request goes on. */
  protected readonly isTakenOver: boolean;

  protected readonly relay: AnswerRelay;

  protected readonly context: ForwardingContext;

  protected readonly active = new ActiveAttempts();

  protected readonly tried: TriedRunners;

  protected readonly bufferedAnswers: BufferedAnswers;

  protected readonly stream: StreamedAnswer;

  protected readonly versions: StreamVersionSession;

  protected readonly quarantine: QuarantineSession;

  protected readonly retries: RequestRetries;

  protected readonly report: RequestReport;

  protected readonly outcomes: RunnerOutcomes;

  protected readonly waits: RequestWaits;

  protected readonly timer: RequestTimer;

  protected readonly handOver: HandOverSession;

  /** When the caller got the beginning of its answer, monotonic ms. */
  protected firstAnswerAt: number | undefined;

  /** Continues the request, which waits for the version of its stream. */
  protected afterVersion: (() => void) | undefined;

  /**
   * @param options - the request and the relay that writes its answer.
   */
  constructor({ request, body, relay, context, before }: ForwardedRequestOptions) {
    super();
    this.request = request;
    this.body = body;
    this.isCounted = before?.isCounted ?? false;
    this.isTakenOver = before !== undefined;
    this.relay = relay;
    this.context = context;
    this.tried = before?.tried ?? new TriedRunners();
    this.bufferedAnswers = new BufferedAnswers(relay);
    this.stream = new StreamedAnswer(relay);
    if (before?.softwareVersion !== undefined) this.stream.bindTo(before.softwareVersion);
    this.versions = new StreamVersionSession({
      ...{ request, stream: this.stream },
      task: context.streamVersions,
    });
    const subjects = requestSubjects({ ...request, body });
    const { digest } = subjects.whole;
    this.report = new RequestReport({ request, context, digest });
    this.quarantine = new QuarantineSession({
      quarantine: context.quarantine,
      ...{ subjects, service: request.service, active: this.active },
      onQuarantined: () => this.onQuarantined(),
    });
    const { tried, quarantine, report, active, stream } = this;
    this.waits = new RequestWaits({
      ...{ request, context, stream, active, tried, quarantine },
      mayHedge: !this.isTakenOver,
    });
    this.retries = new RequestRetries({
      ...{ request, context, tried, quarantine, report },
      ...(before && { maximumAttempts: tried.mayHaveRun + 1 }),
    });
    this.outcomes = new RunnerOutcomes({ context, report });
    this.timer = new RequestTimer({
      clock: context.clock,
      onTime: () => this.endAfterThrow(() => this.check()),
    });
    const { bufferedAnswers } = this;
    this.handOver = new HandOverSession({
      ...{ request, body, context, relay, bufferedAnswers, stream, tried },
      onEnd: (handOverEnd) => this.handleHandOverEnd(handOverEnd),
    });
  }

  /** Version at which alone the request may run; any if `undefined`. */
  protected get softwareVersion(): string | undefined {
    return this.stream.softwareVersion ?? this.quarantine.softwareVersion;
  }

  /** @returns The question for the runner of the next attempt. */
  protected choiceQuestion(): ChoiceQuestion {
    const { service, homeRegions, connectionLimit } = this.request;
    // A crash also breaks the other requests of the runner. So a suspect request is sent to the least loaded runner,
    // whether or not it has cached the prompt.
    const sharedParts = this.quarantine.isRepeatedSuspect ? [] : this.request.sharedParts;
    const { softwareVersion } = this;
    const { needsVersion } = this.versions;
    return {
      ...{ service, sharedParts, homeRegions, softwareVersion, needsVersion, connectionLimit },
      ...requestWorkload(this.request, this.body),
      tried: this.tried.excluded,
      now: this.now(),
    };
  }

  /** Creates the attempt at a runner, and records it. */
  protected createAttempt(chosen: Choice): RunnerAttempt {
    const { request, body, context, tried } = this;
    if (tried.count > 0) context.metrics.retries.increment();
    tried.recordAttempt(chosen.runner.entry.life);
    this.report.chosen(chosen);
    this.versions.record(chosen.runner);
    const resumesAfter = this.stream.lastEventId;
    const options = { chosen, request, body, context, tried, observer: this, resumesAfter };
    const attempt = createAttempt(options);
    this.active.add(attempt);
    return attempt;
  }

  /** @returns Monotonic ms. */
  protected now(): number {
    return this.context.clock.monotonicMilliseconds();
  }

  /** Whether the caller has the beginning of an answer that cannot be resumed. */
  protected get isBegun(): boolean {
    return this.relay.hasHead && this.stream.lastEventId === undefined;
  }

  /** @returns Whether the request has waited for the version of its stream; it looks again whether that is known. */
  protected continueWithVersion(): boolean {
    const { afterVersion } = this;
    this.afterVersion = undefined;
    afterVersion?.();
    return afterVersion !== undefined;
  }

  /** Leaves the attempts, whose runners cannot answer, as another daemon takes the request. */
  protected leaveAttempts(): boolean {
    if (this.isBegun || !this.versions.settle() || !this.waits.takeMove()) return false;
    this.tried.mayHaveRun += this.active.size;
    this.stream.breakOff();
    this.active.cancelAll(this.quarantine);
    return true;
  }

  /** Records a complete answer, or one that is dropped. */
  protected recordAnswer(attempt: RunnerAttempt, status: number): void {
    this.quarantine.answered(attempt, status);
    this.outcomes.answered(attempt.runner, status);
  }

  /** Ends an attempt whose answer is of no use. */
  protected dropAnswer(attempt: RunnerAttempt, status: number): void {
    attempt.dismiss();
    this.active.delete(attempt);
    this.recordAnswer(attempt, status);
    this.report.answerRejected(attempt, status, this.relay);
  }

  /** Ends the request with an error of this daemon. */
  protected endWith(own: DaemonAnswer): void {
    // The answer goes first, so that a throw cannot keep it from the caller.
    this.relay.sendDaemonAnswer(own);
    this.stopAttempts();
    this.end('notServed', own.reason);
  }

  /** Answers the caller if a step throws, since nothing else may do so afterwards. */
  protected endAfterThrow(step: () => void): void {
    try {
      step();
    } catch (error) {
      // A step that throws behind the end of the request has nothing to answer or to report any more.
      if (this.relay.isDone) this.stopAttempts();
      else this.endWith({ status: 502, reason: 'internal' });
      throw error;
    }
  }

  /** Cancels everything that is in progress for the request. */
  protected stopAttempts(): void {
    this.timer.clear();
    this.handOver.cancel();
    this.active.cancelAll(this.quarantine);
  }

  /** A request that may have run, at the daemon that handed it over perhaps, cannot be refused any more. */
  protected endWithRefusal(refusal: DaemonAnswer): void {
    const isElsewhere = this.handOver.isInProgress;
    const mayHaveRun = isElsewhere || this.active.size > 0 || this.tried.mayHaveRun > 0;
    this.endWith(mayHaveRun ? { status: 502, reason: refusal.reason } : refusal);
  }

  /** Records the end of the request. */
  protected end(event: EndEvent, outcome: string): void {
    this.quarantine.end();
    this.versions.end();
    const { firstAnswerAt, tried, relay } = this;
    this.report.ended({
      ...{ event, outcome, relay, firstAnswerAt, tried: tried.count },
      quarantinedParts: outcome === 'quarantined' ? this.quarantine.quarantinedParts : undefined,
    });
  }

  /** Records that the attempts in progress are about to be given up. */
  protected recordGivenUp(): void {
    const { targetLatencyMilliseconds } = this.request.route;
    for (const attempt of this.active) this.outcomes.givenUp(attempt, targetLatencyMilliseconds);
  }

  /** Looks at the state of the request, at a time that was set before. */
  protected abstract check(): void;

  /** Called when a hand-over to another daemon has ended. */
  protected abstract handleHandOverEnd(end: HandOverEnd): void;

  /** Called when the request has been put into quarantine. */
  protected abstract onQuarantined(): void;
}
