/**
 * Forwards one caller's request, from its admission to the last byte of its answer: selects runners, sends attempts, and
 * retries, hedges or ends the request when attempts fail or stall.
 */
import type { IncomingMessage } from 'node:http';

import { match } from 'ts-pattern';

import type { HandOverEnd } from '../handover/HandedOverRequest.js';
import { stepAfterHandOver } from '../handover/stepAfterHandOver.js';
import type { Choice } from '../runners/RunnerChoice.js';
import type { SelectionRefusal } from '../runners/RunnerSelector.js';
import { STOPPING } from './admitRequest.js';
import type { BufferedAnswer } from './AnswerRelay.js';
import { framingOf } from './answerFraming.js';
import { daemonAnswerFor, refusedAnswer } from './daemonAnswerFor.js';
import type { AttemptVerdict, RetryDecision } from './retryDecision.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';
import { RequestParts } from './RequestParts.js';
import { readmissionAt } from './waitLimits.js';
import { isEventStream } from './StreamedAnswer.js';

const SERVER_ERROR = 500;

/** Interval between looks whether the version of a stream that broke off is known, in ms. */
const VERSION_CHECK_MILLISECONDS = 50;

/** State of one forwarded request; observes the attempts that it sends. */
export class ForwardedRequest extends RequestParts {
  /** Complete server error of a runner, sent to the caller if no other runner succeeds. */
  private fallback: BufferedAnswer | undefined;

  /** Whether the selection of the next runner is in progress. */
  private isSelecting = false;

  /** Whether the request waits until runners that refused the connection may be up. */
  private isWaitingForRunner = false;

  /** Sends the first attempt. */
  start(): void {
    this.endAfterThrow(() => this.begin());
  }

  private begin(): void {
    const { service, deadlineAt } = this.request;
    // Whatever is thrown later on, the request is looked at again by its deadline.
    this.timer.set(deadlineAt);
    if (!this.isCounted) this.context.budget.recordRequest(service, this.now());
    if (this.now() >= deadlineAt) {
      this.expire();
      return;
    }
    const refusal = this.quarantine.begin();
    if (refusal) {
      this.endWithRefusal(refusal);
      return;
    }
    if (this.versions.isUnknown) this.findVersion();
    else this.sendNext();
  }

  /** Finds the software version that began the stream that the caller takes up. */
  private findVersion(): void {
    this.versions.resolve(({ softwareVersion, retryAfterSeconds }) => {
      if (this.relay.isDone) return;
      if (softwareVersion !== undefined) this.sendNext();
      else this.endWith({ status: 503, reason: 'version_unknown', retryAfterSeconds });
    });
  }

  /** Cancels all attempts because the caller has disconnected. */
  callerLeft(): void {
    if (this.relay.isDone) return;
    this.relay.abandon();
    this.recordGivenUp();
    this.stopAttempts();
    this.end('callerLeft', 'caller_left');
  }

  /** The daemon ends, and no answer of a runner can be passed on any more. */
  endForStop(): void {
    this.endAfterThrow(() => {
      if (!this.relay.isDone) this.endWithRefusal(STOPPING);
    });
  }

  override answered(attempt: RunnerAttempt, answer: IncomingMessage): void {
    this.waits.recordHeard();
    this.report.answerBegun(framingOf(answer));
    const isStream = this.request.route.kind === 'stream' && isEventStream(answer);
    if (this.relay.hasHead && !isStream) {
      this.rejectAnswer(attempt, answer);
      return;
    }
    this.bufferedAnswers.begin(attempt, answer);
    const { runner } = attempt;
    if (isStream)
      this.stream.take(attempt, answer, this.versions.versionAt(runner, attempt.connectedAt));
  }

  override received(attempt: RunnerAttempt, chunk: Buffer): void {
    if (this.stream.isFrom(attempt)) {
      this.receiveEvents(attempt, chunk);
      return;
    }
    this.waits.recordHeard();
    const result = this.bufferedAnswers.take(attempt, chunk);
    if (result === 'rejected') attempt.breakOff();
    if (result !== 'passed') return;
    this.firstAnswerAt ??= this.now();
    for (const other of this.active) if (other !== attempt) other.cancel();
  }

  private receiveEvents(attempt: RunnerAttempt, chunk: Buffer): void {
    const progress = this.stream.pass(chunk);
    this.waits.recordHeard(progress === 'event');
    if (progress === 'event') this.quarantine.streamed(attempt, this.now());
    if (this.relay.hasHead) this.firstAnswerAt ??= this.now();
    if (this.stream.isBound) this.versions.record(attempt.runner);
    if (progress === 'excess' || progress === 'rejected') attempt.breakOff();
  }

  override ended(attempt: RunnerAttempt): void {
    if (this.stream.isFrom(attempt) && this.stream.isBrokenOff) {
      this.failed(attempt, 'broken');
      return;
    }
    this.active.delete(attempt);
    const held = this.bufferedAnswers.of(attempt);
    if (!held || this.relay.isDone) return;
    const { statusCode: status = SERVER_ERROR } = held.answer;
    this.recordAnswer(attempt, status);
    const isStream = this.stream.isFrom(attempt);
    if (isStream || this.bufferedAnswers.isPassing(attempt)) {
      const isWhole = isStream ? this.stream.end() : this.relay.finish(attempt);
      this.endAfterAnswer(isWhole);
      return;
    }
    if (status >= SERVER_ERROR && this.retryAfterError(attempt, status, held)) return;
    this.answerBuffered(held);
  }

  /** A runner that was to go on with a stream answers with something else. After a server error another one may go on. */
  private rejectAnswer(
    attempt: RunnerAttempt,
    { statusCode = SERVER_ERROR }: IncomingMessage,
  ): void {
    this.dropAnswer(attempt, statusCode);
    if (statusCode >= SERVER_ERROR && this.retryAfterError(attempt, statusCode)) return;
    this.endWith({ status: 502, reason: 'not_resumed' });
  }

  override failed(attempt: RunnerAttempt, failure: AttemptFailure): void {
    this.active.delete(attempt);
    this.bufferedAnswers.drop(attempt);
    if (this.relay.isDone) return;
    this.outcomes.failed(attempt, failure);
    this.tried.recordFailure(attempt.runner, failure);
    this.quarantine.failed(attempt, failure, this.now());
    // The crash may have put the request into quarantine, which ends it.
    if (this.relay.isDone) return;
    const partialBytes = this.stream.isFrom(attempt) ? this.stream.breakOff() : 0;
    const { verdict, reason } = this.verdictOn(attempt, failure);
    const { lastEventId } = this.stream;
    this.report.attemptFailed(attempt, failure, { verdict, reason, lastEventId, partialBytes });
    if (verdict === 'wait') return;
    if (verdict === 'cut') this.endWith({ status: 502, reason: failure });
    else this.proceed(verdict, failure);
  }

  private proceed(verdict: RetryDecision['verdict'], failure: AttemptFailure): void {
    const isOver = verdict !== 'retry' && !this.handOver.mayHelp;
    if (isOver) this.giveUp(verdict, failure);
    else if (!this.versions.settle()) this.waitForVersion(verdict, failure);
    else if (verdict === 'retry') this.sendNext();
    else this.beginHandOver();
  }

  /** Goes on once the version of the runner that sent the events is known. */
  private waitForVersion(verdict: RetryDecision['verdict'], failure: AttemptFailure): void {
    this.afterVersion = () => this.proceed(verdict, failure);
    this.timer.set(Math.min(this.now() + VERSION_CHECK_MILLISECONDS, this.request.deadlineAt));
  }

  private beginHandOver(): void {
    this.timer.set(this.request.deadlineAt);
    this.handOver.begin();
  }

  protected override handleHandOverEnd(end: HandOverEnd): void {
    const { mayHaveRun } = this.tried;
    const { isBegun, active } = this;
    const state = { hasAttempts: active.size > 0, mayHaveRun: mayHaveRun > 0, isBegun };
    match(stepAfterHandOver({ end, ...state }))
      .with('finish', () => {
        this.firstAnswerAt ??= this.now();
        this.end(end === 'answered' ? 'answered' : 'notServed', 'handed_over');
      })
      .with('wait', () => this.scheduleCheck())
      .with('send', () => this.sendNext())
      .with('refuse', () => this.giveUp('refuse', 'no_path'))
      .with('cut', () => this.endWith({ status: 502, reason: 'broken' }))
      .with('repeat', () => {
        this.tried.recordLostHandOver();
        const hasFallback = this.fallback !== undefined;
        this.proceed(this.retries.afterFailure('broken', hasFallback).verdict, 'broken');
      })
      .exhaustive();
  }

  private verdictOn(attempt: RunnerAttempt, failure: AttemptFailure): AttemptVerdict {
    // The caller already has the beginning of this answer, and another runner's answer cannot continue it.
    if (this.bufferedAnswers.isPassing(attempt)) return { verdict: 'cut' };
    if (this.active.size > 0 || this.isSelecting || this.handOver.isInProgress) {
      return { verdict: 'wait' };
    }
    return this.retries.afterFailure(failure, this.fallback !== undefined);
  }

  private sendNext(): void {
    if (this.quarantine.isExcludedFrom(this.softwareVersion)) {
      this.endWithRefusal(this.quarantine.refusal);
      return;
    }
    const question = this.choiceQuestion();
    if (this.handOver.isNeeded) {
      this.beginHandOver();
      return;
    }
    if (this.handOver.isHopeless && this.tried.mayHaveRun === 0 && this.active.size === 0) {
      this.giveUp('refuse', 'no_path');
      return;
    }
    this.isSelecting = true;
    const isAbandoned = () => this.relay.isDone;
    this.context.selector.select(question, (...result) => this.sendTo(...result), isAbandoned);
  }

  private sendTo(chosen: Choice | undefined, refusal?: SelectionRefusal): void {
    const mustCheck = this.stream.softwareVersion !== undefined && !this.relay.isDone;
    if (chosen && mustCheck) this.checkLife(chosen);
    else this.endSelection(chosen, refusal);
  }

  /**
   * Lets a stream go on at a runner unless that has started again, perhaps at another version. While the runner is asked,
   * its new entry may arrive, or a doubt that another daemon has; then a runner is chosen anew.
   */
  private checkLife(chosen: Choice): void {
    const { lifeChecks } = this.context;
    const { runner } = chosen;
    if (!lifeChecks || runner.softwareVersion === '') {
      this.endSelection(chosen);
      return;
    }
    const wasSuspected = runner.restart.isSuspected;
    lifeChecks.check(runner, (finding) => {
      const isNewDoubt = finding === 'unknown' && !wasSuspected && runner.restart.isSuspected;
      const hasEnded = finding === 'restarted' || runner.successor !== undefined;
      this.endAfterThrow(() => {
        if (hasEnded) this.tried.exclude(runner.entry.life);
        if ((hasEnded || isNewDoubt) && !this.relay.isDone) this.sendNext();
        else this.endSelection(chosen);
      });
    });
  }

  /** Sends the next attempt, unless the caller has left or another attempt has answered during the selection. */
  private endSelection(chosen: Choice | undefined, refusal?: SelectionRefusal): void {
    this.isSelecting = false;
    if (this.relay.isDone) return;
    if (chosen) this.send(chosen);
    else if (refusal) this.endWithRefusal(refusedAnswer(refusal));
    else if (this.active.size === 0) this.handleNoRunner();
    // There is no second runner to hedge with, so only the deadline remains to be checked.
    else this.timer.set(this.request.deadlineAt);
  }

  private send(chosen: Choice): void {
    const attempt = this.createAttempt(chosen);
    this.waits.recordSent();
    attempt.start();
    this.scheduleCheck();
  }

  private handleNoRunner(): void {
    if (!this.fallback && this.tried.readmit()) this.sendNext();
    else if (this.handOver.mayHelp) this.beginHandOver();
    else if (!this.fallback && !this.isTakenOver && this.tried.hasRefusing) this.waitForRunner();
    else this.giveUp(this.tried.mayHaveRun > 0 ? 'fail' : 'refuse');
  }

  /** A request that may have run cannot be refused any more, so it is tried until its deadline. */
  private waitForRunner(): void {
    this.isWaitingForRunner = true;
    this.timer.set(readmissionAt(this.now(), this.request.deadlineAt));
  }

  private answerBuffered(held: BufferedAnswer): void {
    this.firstAnswerAt ??= this.now();
    this.endAfterAnswer(this.relay.sendBuffered(held));
  }

  /** Cuts the caller's answer if it belongs to another source, so that it cannot be taken for complete. */
  private endAfterAnswer(isWhole: boolean): void {
    if (isWhole) {
      this.stopAttempts();
      this.end('answered', 'answered');
    } else this.endWith({ status: 502, reason: this.relay.hasHead ? 'not_resumed' : 'broken' });
  }

  /**
   * Retries an idempotent request after a server error, since the error may be specific to that runner.
   *
   * @returns Whether the request goes on; otherwise the error has to be sent to the caller.
   */
  private retryAfterError(attempt: RunnerAttempt, status: number, held?: BufferedAnswer): boolean {
    this.tried.mayHaveRun += 1;
    this.fallback = held;
    if (this.active.size > 0 || this.isSelecting) return true;
    const willRetry = this.retries.afterError(attempt, status);
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
    this.recordGivenUp();
    if (!this.answerFallback()) this.endWith({ status: 504, reason: 'deadline' });
  }

  /** Ends the request with the failure of its last attempt or, if there is none, the reason why no runner is available. */
  private giveUp(verdict: 'refuse' | 'fail', failure?: AttemptFailure | 'no_path'): void {
    if (this.answerFallback()) return;
    const now = this.now();
    const isLate = now >= this.request.deadlineAt;
    const { softwareVersion } = this;
    const unavailability = this.context.unavailabilityOf({ ...this.request, softwareVersion }, now);
    this.endWith(daemonAnswerFor({ verdict, failure, isLate, unavailability }));
  }

  private scheduleCheck(): void {
    this.timer.set(this.waits.nextCheckAt);
  }

  protected override check(): void {
    if (this.relay.isDone) return;
    if (this.now() >= this.request.deadlineAt) {
      this.expire();
      return;
    }
    if (this.continueWithVersion()) return;
    if (this.isWaitingForRunner) {
      this.isWaitingForRunner = false;
      this.tried.readmitRefusing();
      this.sendNext();
      return;
    }
    if (this.handOver.isInProgress) {
      this.scheduleCheck();
      return;
    }
    if (this.handOver.isNeeded && this.waits.isStuck) {
      this.scheduleCheck();
      this.handOver.begin(() => this.leaveAttempts());
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
  protected override onQuarantined(): void {
    if (this.relay.isDone) return;
    this.endWithRefusal(this.quarantine.refusal);
  }
}
