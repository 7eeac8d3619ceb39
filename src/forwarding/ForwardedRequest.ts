/**
 * Owns one caller's request from its admission to the last byte of its answer: chooses runners, sends
 * attempts, and decides what becomes of the request when they fail.
 */
import type { IncomingMessage } from 'node:http';

import type { Choice } from '../runners/RunnerChoice.js';
import type { AnswerRelay, HeldAnswer, OwnAnswer } from './AnswerRelay.js';
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';
import { HeldAnswers } from './HeldAnswers.js';
import { ownAnswerFor } from './ownAnswerFor.js';
import { RequestRetries } from './RequestRetries.js';
import type { AttemptVerdict } from './retryDecision.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';
import { AttemptObserver } from './RunnerAttempt.js';
import { QuarantineGuard } from './QuarantineGuard.js';
import { RequestReport } from './RequestReport.js';
import { RequestTimer } from './RequestTimer.js';
import { RunnerJudge } from './RunnerJudge.js';
import { isEventStream, StreamedAnswer } from './StreamedAnswer.js';
import { TriedRunners } from './TriedRunners.js';
import type { EndEvent } from './RequestReport.js';
import { requestDigest } from '../quarantine/requestDigest.js';
import { createAttempt } from './createAttempt.js';
import { nextCheck, quietAttempt, shouldHedge } from './patience.js';

const SERVER_ERROR = 500;

/** Options of a {@link ForwardedRequest}. */
export interface ForwardedRequestOptions {
  request: AdmittedRequest;
  body: Buffer | undefined;
  relay: AnswerRelay;
  context: ForwardingContext;
}

/** See the module's comment. */
export class ForwardedRequest extends AttemptObserver {
  private readonly request: AdmittedRequest;

  private readonly body: Buffer | undefined;

  private readonly relay: AnswerRelay;

  private readonly context: ForwardingContext;

  private readonly active = new Set<RunnerAttempt>();

  private readonly tried = new TriedRunners();

  private readonly held: HeldAnswers;

  private readonly stream: StreamedAnswer;

  /** A runner's own error, given if no other runner does better. */
  private fallback: HeldAnswer | undefined;

  /** Whether the runner of the next attempt is being chosen. */
  private isSelecting = false;

  /** When anything last came for this request, or was sent; monotonic ms. */
  private lastProgressAt = 0;

  private firstAnswerAt: number | undefined;

  private readonly guard: QuarantineGuard;

  private readonly retries: RequestRetries;

  private readonly report: RequestReport;

  private readonly judge: RunnerJudge;

  private readonly timer: RequestTimer;

  /**
   * @param options - the request, and where its answer goes.
   */
  constructor({ request, body, relay, context }: ForwardedRequestOptions) {
    super();
    this.request = request;
    this.body = body;
    this.relay = relay;
    this.context = context;
    this.held = new HeldAnswers(relay);
    this.stream = new StreamedAnswer(relay);
    this.timer = new RequestTimer({ clock: context.clock, onTime: () => this.check() });
    const digest = requestDigest({ ...request, body });
    this.report = new RequestReport({ request, context, digest });
    this.guard = new QuarantineGuard({
      quarantine: context.quarantine,
      digest,
      onQuarantined: () => this.quarantined(),
    });
    const { tried, guard, report } = this;
    this.retries = new RequestRetries({ request, context, tried, guard, report });
    this.judge = new RunnerJudge({ context, report: this.report });
  }

  /** Sends the first attempt. */
  start(): void {
    const { service, deadlineAt } = this.request;
    this.context.budget.recordRequest(service, this.now());
    if (this.now() >= deadlineAt) {
      this.expire();
      return;
    }
    const refusal = this.guard.begin();
    if (refusal) {
      this.endWith(refusal);
      return;
    }
    this.sendNext();
  }

  /** The caller has gone: whatever is under way is of use to nobody. */
  callerLeft(): void {
    if (this.relay.isDone) return;
    this.stopAttempts();
    this.end('callerLeft', 'caller_left');
  }

  override answered(attempt: RunnerAttempt, answer: IncomingMessage): void {
    this.lastProgressAt = this.now();
    this.held.begin(attempt, answer);
    const isStream = this.request.route.kind === 'stream' && isEventStream(answer);
    if (isStream) this.stream.take(attempt, answer);
  }

  override received(attempt: RunnerAttempt, chunk: Buffer): void {
    this.lastProgressAt = this.now();
    if (this.stream.isFrom(attempt)) {
      this.stream.pass(chunk);
      if (this.relay.hasHead) this.firstAnswerAt ??= this.now();
      return;
    }
    if (!this.held.take(attempt, chunk)) return;
    this.firstAnswerAt ??= this.now();
    for (const other of this.active) if (other !== attempt) other.cancel();
  }

  override ended(attempt: RunnerAttempt): void {
    this.active.delete(attempt);
    const held = this.held.of(attempt);
    if (!held || this.relay.isDone) return;
    const { statusCode: status = SERVER_ERROR } = held.answer;
    const failed = status >= SERVER_ERROR;
    this.guard.answered(status);
    this.judge.answered(attempt.runner, status);
    const isStream = this.stream.isFrom(attempt);
    if (isStream || this.held.isPassing(attempt)) {
      this.stopAttempts();
      if (isStream) this.stream.end();
      else this.relay.finish();
      this.end('answered', 'answered');
      return;
    }
    if (this.relay.hasHead) {
      // A stream that goes on elsewhere got something that is no stream: the caller must see the break.
      this.endWith({ status: 502, reason: 'not_resumed' });
      return;
    }
    if (failed && this.retryError(attempt, held)) return;
    this.answerHeld(held);
  }

  override failed(attempt: RunnerAttempt, failure: AttemptFailure): void {
    this.active.delete(attempt);
    this.held.drop(attempt);
    if (this.relay.isDone) return;
    this.judge.failed(attempt, failure);
    this.tried.failedAt(attempt.runner.entry.life, failure);
    this.guard.failed(attempt, failure);
    // The crash may have put the request in quarantine, which ends it.
    if (this.relay.isDone) return;
    if (this.stream.isFrom(attempt)) this.stream.breakOff();
    const { verdict, reason } = this.verdictOn(attempt, failure);
    const { lastEventId } = this.stream;
    this.report.attemptFailed(attempt, failure, { verdict, reason, lastEventId });
    if (verdict === 'wait') return;
    if (verdict === 'retry') this.sendNext();
    else if (verdict === 'cut') this.endWith({ status: 502, reason: failure });
    else this.giveUp(verdict, failure);
  }

  private verdictOn(attempt: RunnerAttempt, failure: AttemptFailure): AttemptVerdict {
    // Its beginning is with the caller; no other runner's answer fits behind it.
    if (this.held.isPassing(attempt)) return { verdict: 'cut' };
    if (this.active.size > 0 || this.isSelecting) return { verdict: 'wait' };
    return this.retries.afterFailure(failure, this.fallback !== undefined);
  }

  private sendNext(): void {
    const { service, homeRegions, connectionLimit } = this.request;
    // A crash breaks all that run beside it: a suspect goes to the runner that has the least, warm or not.
    const sharedParts = this.guard.isRepeatedSuspect ? [] : this.request.sharedParts;
    const tried = this.tried.excluded;
    const now = this.now();
    const question = { service, sharedParts, tried, homeRegions, connectionLimit, now };
    this.isSelecting = true;
    this.context.selector.select(question, (chosen) => this.sendTo(chosen));
  }

  /** The caller may have left, or another attempt may have answered, while the runner was chosen. */
  private sendTo(chosen: Choice | undefined): void {
    this.isSelecting = false;
    if (this.relay.isDone) return;
    if (chosen) this.send(chosen);
    else if (this.active.size === 0) this.noRunner();
    // No second runner could be asked: only the deadline is left to wait for.
    else this.timer.set(this.request.deadlineAt);
  }

  private send(chosen: Choice): void {
    const { request, body, context, tried } = this;
    if (tried.count > 0) context.metrics.retries.increment();
    tried.sentTo(chosen.runner.entry.life);
    this.report.chosen(chosen);
    const resumesAfter = this.stream.lastEventId;
    const options = { chosen, request, body, context, tried, observer: this, resumesAfter };
    const attempt = createAttempt(options);
    this.active.add(attempt);
    this.lastProgressAt = this.now();
    attempt.start();
    this.lookAgain();
  }

  private noRunner(): void {
    if (!this.fallback && this.tried.forgiveUnreached()) this.sendNext();
    else this.giveUp(this.tried.mayHaveRun > 0 ? 'fail' : 'refuse');
  }

  private answerHeld(held: HeldAnswer): void {
    this.stopAttempts();
    this.firstAnswerAt ??= this.now();
    this.relay.answerHeld(held);
    this.end('answered', 'answered');
  }

  /**
   * A runner's own error may be chance: a request that may be repeated gets a second opinion.
   *
   * @returns Whether the request is taken care of.
   */
  private retryError(attempt: RunnerAttempt, held: HeldAnswer): boolean {
    this.tried.mayHaveRun += 1;
    this.fallback = held;
    if (this.active.size > 0 || this.isSelecting) return true;
    const may = this.retries.afterError(attempt, held.answer.statusCode ?? SERVER_ERROR);
    // Where no other runner is left, this answer has been given by now.
    if (may) this.sendNext();
    return may;
  }

  /** @returns Whether the caller gets a runner's own error for want of a better answer. */
  private answerFallback(): boolean {
    if (!this.fallback || this.relay.hasHead) return false;
    this.answerHeld(this.fallback);
    return true;
  }

  private expire(): void {
    if (!this.answerFallback()) this.endWith({ status: 504, reason: 'deadline' });
  }

  /** Gives the reason why there is no runner, unless an attempt's own is known. */
  private giveUp(verdict: 'refuse' | 'fail', failure?: AttemptFailure): void {
    if (this.answerFallback()) return;
    const now = this.now();
    const isLate = now >= this.request.deadlineAt;
    const unavailability = this.context.unavailabilityOf(this.request, now);
    this.endWith(ownAnswerFor({ verdict, failure, isLate, unavailability }));
  }

  private endWith(own: OwnAnswer): void {
    this.stopAttempts();
    this.relay.answerOwn(own);
    this.end('notServed', own.reason);
  }

  private stopAttempts(): void {
    this.timer.clear();
    for (const attempt of this.active) {
      attempt.cancel();
      this.guard.abandoned(attempt);
    }
    this.active.clear();
  }

  private lookAgain(): void {
    this.timer.set(nextCheck(this.patienceView()));
  }

  private patienceView() {
    return {
      request: this.request,
      now: this.now(),
      attempts: this.active,
      mayHaveRun: this.tried.mayHaveRun,
      lastProgressAt: this.lastProgressAt,
      hasEvents: this.relay.hasHead,
      hasBudget: () => this.context.budget.hasRoom(this.request.service, this.now()),
      isLinkSuspect: this.context.link.isSuspect,
    };
  }

  private check(): void {
    if (this.relay.isDone) return;
    if (this.now() >= this.request.deadlineAt) {
      this.expire();
      return;
    }
    const view = this.patienceView();
    const quiet = quietAttempt(view);
    if (quiet) {
      quiet.attempt.probe(() => quietAttempt(this.patienceView())?.ifAccepted ?? 'not_silent');
    } else if (
      shouldHedge(view) &&
      this.guard.mayHedge &&
      this.context.budget.take(this.request.service, view.now)
    ) {
      this.report.hedged();
      this.sendNext();
      return;
    }
    this.lookAgain();
  }

  /** Breaking it off may save the runner that has it. */
  private quarantined(): void {
    if (this.relay.isDone) return;
    const mayHaveRun = this.active.size > 0 || this.tried.mayHaveRun > 0;
    this.endWith(mayHaveRun ? { status: 502, reason: 'quarantined' } : this.guard.refusal);
  }

  private end(event: EndEvent, outcome: string): void {
    this.guard.end();
    const { firstAnswerAt, tried, relay } = this;
    this.report.ended({ event, outcome, status: relay.status, firstAnswerAt, tried: tried.count });
  }

  private now(): number {
    return this.context.clock.monotonicMilliseconds();
  }
}
