/**
 * Forwards one caller's request, from its admission to the last byte of its answer: selects runners, sends attempts, and
 * retries, hedges or ends the request when attempts fail or stall.
 */
import type { IncomingMessage } from 'node:http';

import type { HandOverEnd } from '../handover/HandedOverRequest.js';
import { HandOverSession } from '../handover/HandOverSession.js';
import type { Choice } from '../runners/RunnerChoice.js';
import type { AnswerRelay, BufferedAnswer, DaemonAnswer } from './AnswerRelay.js';
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';
import { BufferedAnswers } from './BufferedAnswers.js';
import { daemonAnswerFor } from './daemonAnswerFor.js';
import { RequestRetries } from './RequestRetries.js';
import type { AttemptVerdict, RetryDecision } from './retryDecision.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';
import { AttemptObserver } from './RunnerAttempt.js';
import { QuarantineSession } from './QuarantineSession.js';
import { RequestReport } from './RequestReport.js';
import { RequestTimer } from './RequestTimer.js';
import { RequestWaits } from './RequestWaits.js';
import { RunnerOutcomes } from './RunnerOutcomes.js';
import { isEventStream, StreamedAnswer } from './StreamedAnswer.js';
import { TriedRunners } from './TriedRunners.js';
import type { EndEvent } from './RequestReport.js';
import { requestDigest } from '../quarantine/requestDigest.js';
import { createAttempt } from './createAttempt.js';

const SERVER_ERROR = 500;

/** Options of a {@link ForwardedRequest}. */
export interface ForwardedRequestOptions {
  request: AdmittedRequest;
  body: Buffer | undefined;
  relay: AnswerRelay;
  context: ForwardingContext;
  /**
   * What the daemon that handed the request over did for it; missing for a request of a caller. That daemon decides
   * whether the request runs again, so it runs here once.
   */
  before?: { readonly isCounted: boolean; readonly mayHaveRun: number };
}

/** State of one forwarded request; observes the attempts that it sends. */
export class ForwardedRequest extends AttemptObserver {
  private readonly request: AdmittedRequest;

  private readonly body: Buffer | undefined;

  private readonly relay: AnswerRelay;

  private readonly context: ForwardingContext;

  private readonly active = new Set<RunnerAttempt>();

  private readonly tried = new TriedRunners();

  private readonly bufferedAnswers: BufferedAnswers;

  private readonly stream: StreamedAnswer;

  /** Complete server error of a runner, sent to the caller if no other runner succeeds. */
  private fallback: BufferedAnswer | undefined;

  /** Whether the selection of the next runner is in progress. */
  private isSelecting = false;

  private firstAnswerAt: number | undefined;

  private readonly quarantine: QuarantineSession;

  private readonly retries: RequestRetries;

  private readonly report: RequestReport;

  private readonly outcomes: RunnerOutcomes;

  private readonly handOver: HandOverSession;

  private readonly isCounted: boolean;

  private readonly waits: RequestWaits;

  private readonly timer: RequestTimer;

  /**
   * @param options - the request and the relay that writes its answer.
   */
  constructor({ request, body, relay, context, before }: ForwardedRequestOptions) {
    super();
    this.request = request;
    this.body = body;
    this.relay = relay;
    this.context = context;
    this.bufferedAnswers = new BufferedAnswers(relay);
    this.stream = new StreamedAnswer(relay);
    this.timer = new RequestTimer({ clock: context.clock, onTime: () => this.check() });
    const digest = requestDigest({ ...request, body });
    this.report = new RequestReport({ request, context, digest });
    this.quarantine = new QuarantineSession({
      quarantine: context.quarantine,
      digest,
      onQuarantined: () => this.onQuarantined(),
    });
    const { tried, quarantine, report, active } = this;
    this.waits = new RequestWaits({
      ...{ request, context, relay, active, tried, quarantine },
      mayHedge: before === undefined,
    });
    this.retries = new RequestRetries({
      ...{ request, context, tried, quarantine, report },
      ...(before && { maximumAttempts: before.mayHaveRun + 1 }),
    });
    this.outcomes = new RunnerOutcomes({ context, report: this.report });
    this.isCounted = before?.isCounted ?? false;
    tried.mayHaveRun = before?.mayHaveRun ?? 0;
    const { bufferedAnswers, stream } = this;
    this.handOver = new HandOverSession({
      ...{ request, body, context, relay, bufferedAnswers, stream, tried },
      onEnd: (end) => this.handleHandOverEnd(end),
    });
  }

  /** Sends the first attempt. */
  start(): void {
    const { service, deadlineAt } = this.request;
    if (!this.isCounted) this.context.budget.recordRequest(service, this.now());
    if (this.now() >= deadlineAt) {
      this.expire();
      return;
    }
    const refusal = this.quarantine.begin();
    if (refusal) {
      this.endWith(refusal);
      return;
    }
    this.sendNext();
  }

  /** Cancels all attempts because the caller has disconnected. */
  callerLeft(): void {
    if (this.relay.isDone) return;
    this.stopAttempts();
    this.end('callerLeft', 'caller_left');
  }

  override answered(attempt: RunnerAttempt, answer: IncomingMessage): void {
    this.waits.recordHeard();
    this.bufferedAnswers.begin(attempt, answer);
    const isStream = this.request.route.kind === 'stream' && isEventStream(answer);
    if (isStream) this.stream.take(attempt, answer);
  }

  override received(attempt: RunnerAttempt, chunk: Buffer): void {
    this.waits.recordHeard();
    if (this.stream.isFrom(attempt)) {
      this.stream.pass(chunk);
      if (this.relay.hasHead) this.firstAnswerAt ??= this.now();
      return;
    }
    if (!this.bufferedAnswers.take(attempt, chunk)) return;
    this.firstAnswerAt ??= this.now();
    for (const other of this.active) if (other !== attempt) other.cancel();
  }

  override ended(attempt: RunnerAttempt): void {
    this.active.delete(attempt);
    const held = this.bufferedAnswers.of(attempt);
    if (!held || this.relay.isDone) return;
    const { statusCode: status = SERVER_ERROR } = held.answer;
    const failed = status >= SERVER_ERROR;
    this.quarantine.answered(status);
    this.outcomes.answered(attempt.runner, status);
    const isStream = this.stream.isFrom(attempt);
    if (isStream || this.bufferedAnswers.isPassing(attempt)) {
      this.stopAttempts();
      if (isStream) this.stream.end();
      else this.relay.finish();
      this.end('answered', 'answered');
      return;
    }
    if (this.relay.hasHead) {
      // A resumed stream got an answer that is not a stream; the caller must notice that its stream broke off.
      this.endWith({ status: 502, reason: 'not_resumed' });
      return;
    }
    if (failed && this.retryAfterError(attempt, held)) return;
    this.answerBuffered(held);
  }

  override failed(attempt: RunnerAttempt, failure: AttemptFailure): void {
    this.active.delete(attempt);
    this.bufferedAnswers.drop(attempt);
    if (this.relay.isDone) return;
    this.outcomes.failed(attempt, failure);
    this.tried.recordFailure(attempt.runner.entry.life, failure);
    this.quarantine.failed(attempt, failure);
    // The crash may have put the request into quarantine, which ends it.
    if (this.relay.isDone) return;
    if (this.stream.isFrom(attempt)) this.stream.breakOff();
    const { verdict, reason } = this.verdictOn(attempt, failure);
    const { lastEventId } = this.stream;
    this.report.attemptFailed(attempt, failure, { verdict, reason, lastEventId });
    if (verdict === 'wait') return;
    if (verdict === 'cut') this.endWith({ status: 502, reason: failure });
    else this.proceed(verdict, failure);
  }

  private proceed(verdict: RetryDecision['verdict'], failure: AttemptFailure): void {
    if (verdict === 'retry') this.sendNext();
    else if (verdict === 'refuse' && this.handOver.mayHelp) this.beginHandOver();
    else this.giveUp(verdict, failure);
  }

  private beginHandOver(): void {
    this.timer.set(this.request.deadlineAt);
    this.handOver.begin();
  }

  private handleHandOverEnd(end: HandOverEnd): void {
    if (end === 'answered' || end === 'not_served') {
      this.firstAnswerAt ??= this.now();
      this.end(end === 'answered' ? 'answered' : 'notServed', 'handed_over');
    } else if (end === 'unanswered') {
      this.sendNext();
    } else if (end === 'unreached') {
      this.giveUp(this.tried.mayHaveRun > 0 ? 'fail' : 'refuse', 'no_path');
    } else if (this.relay.hasHead && this.stream.lastEventId === undefined) {
      this.endWith({ status: 502, reason: 'broken' });
    } else {
      this.tried.mayHaveRun += 1;
      this.proceed(
        this.retries.afterFailure('broken', this.fallback !== undefined).verdict,
        'broken',
      );
    }
  }

  private verdictOn(attempt: RunnerAttempt, failure: AttemptFailure): AttemptVerdict {
    // The caller already has the beginning of this answer, and another runner's answer cannot continue it.
    if (this.bufferedAnswers.isPassing(attempt)) return { verdict: 'cut' };
    if (this.active.size > 0 || this.isSelecting) return { verdict: 'wait' };
    return this.retries.afterFailure(failure, this.fallback !== undefined);
  }

  private sendNext(): void {
    const { service, homeRegions, connectionLimit } = this.request;
    // A crash also breaks the other requests of the runner. So a suspect request is sent to the least loaded runner,
    // whether or not it has cached the prompt.
    const sharedParts = this.quarantine.isRepeatedSuspect ? [] : this.request.sharedParts;
    const tried = this.tried.excluded;
    const now = this.now();
    const question = { service, sharedParts, tried, homeRegions, connectionLimit, now };
    if (this.handOver.isNeeded) {
      this.beginHandOver();
      return;
    }
    if (this.handOver.isHopeless && this.tried.mayHaveRun === 0) {
      this.giveUp('refuse', 'no_path');
      return;
    }
    this.isSelecting = true;
    this.context.selector.select(question, (chosen) => this.sendTo(chosen));
  }

  /** Sends the next attempt, unless the caller has left or another attempt has answered during the selection. */
  private sendTo(chosen: Choice | undefined): void {
    this.isSelecting = false;
    if (this.relay.isDone) return;
    if (chosen) this.send(chosen);
    else if (this.active.size === 0) this.handleNoRunner();
    // There is no second runner to hedge with, so only the deadline remains to be checked.
    else this.timer.set(this.request.deadlineAt);
  }

  private send(chosen: Choice): void {
    const { request, body, context, tried } = this;
    if (tried.count > 0) context.metrics.retries.increment();
    tried.recordAttempt(chosen.runner.entry.life);
    this.report.chosen(chosen);
    const resumesAfter = this.stream.lastEventId;
    const options = { chosen, request, body, context, tried, observer: this, resumesAfter };
    const attempt = createAttempt(options);
    this.active.add(attempt);
    this.waits.recordSent();
    attempt.start();
    this.scheduleCheck();
  }

  private handleNoRunner(): void {
    if (!this.fallback && this.tried.readmitUnreached()) this.sendNext();
    else if (this.handOver.mayHelp) this.beginHandOver();
    else this.giveUp(this.tried.mayHaveRun > 0 ? 'fail' : 'refuse');
  }

  private answerBuffered(held: BufferedAnswer): void {
    this.stopAttempts();
    this.firstAnswerAt ??= this.now();
    this.relay.sendBuffered(held);
    this.end('answered', 'answered');
  }

  /**
   * Retries an idempotent request after a server error, since the error may be specific to that runner.
   *
   * @returns Whether the request goes on; otherwise the error has to be sent to the caller.
   */
  private retryAfterError(attempt: RunnerAttempt, held: BufferedAnswer): boolean {
    this.tried.mayHaveRun += 1;
    this.fallback = held;
    if (this.active.size > 0 || this.isSelecting) return true;
    const willRetry = this.retries.afterError(attempt, held.answer.statusCode ?? SERVER_ERROR);
    // If no other runner is available, `sendNext` has already sent this error to the caller.
    if (willRetry) this.sendNext();
    return willRetry;
  }

  /** @returns Whether a runner's server error was sent to the caller because there is no better answer. */
  private answerFallback(): boolean {
    if (!this.fallback || this.relay.hasHead) return false;
    this.answerBuffered(this.fallback);
    return true;
  }

  private expire(): void {
    if (!this.answerFallback()) this.endWith({ status: 504, reason: 'deadline' });
  }

  /** Ends the request with the failure of its last attempt or, if there is none, the reason why no runner is available. */
  private giveUp(verdict: 'refuse' | 'fail', failure?: AttemptFailure | 'no_path'): void {
    if (this.answerFallback()) return;
    const now = this.now();
    const isLate = now >= this.request.deadlineAt;
    const unavailability = this.context.unavailabilityOf(this.request, now);
    this.endWith(daemonAnswerFor({ verdict, failure, isLate, unavailability }));
  }

  private endWith(own: DaemonAnswer): void {
    this.stopAttempts();
    this.relay.sendDaemonAnswer(own);
    this.end('notServed', own.reason);
  }

  private stopAttempts(): void {
    this.timer.clear();
    this.handOver.cancel();
    for (const attempt of this.active) {
      attempt.cancel();
      this.quarantine.abandoned(attempt);
    }
    this.active.clear();
  }

  private scheduleCheck(): void {
    this.timer.set(this.waits.nextCheckAt);
  }

  private check(): void {
    if (this.relay.isDone) return;
    if (this.now() >= this.request.deadlineAt) {
      this.expire();
      return;
    }
    if (this.handOver.isInProgress) return;
    if (this.handOver.isNeeded && this.waits.takeMove()) {
      this.tried.mayHaveRun += this.active.size;
      this.stopAttempts();
      this.sendNext();
      return;
    }
    const { stalled } = this.waits;
    if (stalled) {
      stalled.attempt.probe(() => this.waits.stalled?.ifAccepted ?? 'not_silent');
    } else if (this.waits.takeHedge()) {
      this.report.hedged();
      this.sendNext();
      return;
    }
    this.scheduleCheck();
  }

  /** Ends a request that was put into quarantine; cancelling it may save the runner that is working on it. */
  private onQuarantined(): void {
    if (this.relay.isDone) return;
    const mayHaveRun = this.active.size > 0 || this.tried.mayHaveRun > 0;
    this.endWith(mayHaveRun ? { status: 502, reason: 'quarantined' } : this.quarantine.refusal);
  }

  private end(event: EndEvent, outcome: string): void {
    this.quarantine.end();
    const { firstAnswerAt, tried, relay } = this;
    this.report.ended({ event, outcome, status: relay.status, firstAnswerAt, tried: tried.count });
  }

  private now(): number {
    return this.context.clock.monotonicMilliseconds();
  }
}
