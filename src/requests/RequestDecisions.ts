/**
 * Decides the course of one request: which runner gets it, when it is retried, how a cut stream
 * is resumed, and how it ends.
 *
 * There is one object for each request. Requests share only the retry budget, so that a recorded
 * session covers exactly one request, and the memory of a request is freed with it.
 */
import { match } from 'ts-pattern';

import { Decisions } from '../decisions/Decisions.js';
import { AttemptPhase } from './AttemptPhase.js';
import type { MessageOf } from './RequestContext.js';
import type { Reading } from './requestFacts.js';
import { RequestContext } from './RequestContext.js';
import type {
  RequestAction,
  RequestFailure,
  RequestMessage,
  RequestSummary,
  ResumedStream,
} from './requestDecisionTypes.js';
import {
  cancelledFailure,
  cutFailure,
  reportedFailure,
  cannotResumeFailure,
} from './requestFailures.js';
import type { RequestTimings } from './requestTimings.js';
import { DEFAULT_REQUEST_TIMINGS } from './requestTimings.js';
import type { RetryBudget } from './RetryBudget.js';
import { StreamPhase } from './StreamPhase.js';

/** Options of {@link RequestDecisions}. */
export interface RequestDecisionsOptions {
  /** Shared by all requests of a daemon. */
  budget: RetryBudget;
  timings?: RequestTimings;
}

/**
 * Final gate messages that are still processed after the deadline, because they report a known
 * outcome.
 */
const FINAL_GATE_MESSAGES: ReadonlySet<RequestMessage['kind']> = new Set([
  'completed',
  'refused',
  'failed',
]);

/** Failure codes that every other runner would report too, so the request is not retried. */
const NON_RETRYABLE_CODES: ReadonlySet<string> = new Set([
  'cancelled',
  'deadline_exceeded',
  'invalid_request',
  'account_limit',
]);

/** Decisions of one request: dispatches its messages to the attempt phase and the stream phase. */
export class RequestDecisions extends Decisions<RequestMessage, RequestAction> {
  private readonly context: RequestContext;

  private readonly attempts: AttemptPhase;

  private readonly stream: StreamPhase;

  /**
   * Whether the caller has received a part of the answer by an earlier request and resumes the
   * stream.
   */
  private isResumedByCaller = false;

  /**
   * @param options - the shared retry budget and the timings.
   */
  constructor({ budget, timings = DEFAULT_REQUEST_TIMINGS }: RequestDecisionsOptions) {
    super();
    this.context = new RequestContext(timings);
    this.attempts = new AttemptPhase({ context: this.context, budget });
    this.stream = new StreamPhase(this.context);
  }

  /** @returns Whether the request has ended. */
  ended(): boolean {
    return this.context.ended();
  }

  override decide(now: number, message: RequestMessage): readonly RequestAction[] {
    const { context } = this;
    context.beginStep(now);
    if (context.ended()) return context.endStep();
    // After a pause the daemon may process any message first. Past the deadline only a known
    // outcome is passed on; without this check the daemon would send the request to another
    // runner after its deadline.
    const isExpired = now >= context.facts.deadline && !FINAL_GATE_MESSAGES.has(message.kind);
    if (isExpired) context.expire();
    else this.handle(message);
    return context.endStep();
  }

  override nextWake(): number | undefined {
    const { context } = this;
    if (context.ended()) return undefined;
    let earliest = Math.min(
      context.facts.deadline,
      this.attempts.nextWake() ?? Infinity,
      this.stream.nextWake() ?? Infinity,
    );
    // Called after each chunk, so it allocates no arrays.
    for (const { checkAt } of context.readings.values()) earliest = Math.min(earliest, checkAt);
    return Number.isFinite(earliest) ? earliest : undefined;
  }

  private handle(message: RequestMessage): void {
    // Nearly all messages are chunks; matching them against the patterns below would cost time.
    if (message.kind === 'chunk') {
      this.onChunk(message);
      return;
    }
    match(message)
      .with({ kind: 'begin' }, ({ request }) => this.onBegin(request))
      .with({ kind: 'begin_resume' }, ({ stream }) => this.onBeginResume(stream))
      .with({ kind: 'home_answered' }, () => this.attempts.onHomeAnswered())
      .with({ kind: 'chosen' }, (chosen) => this.attempts.onChosen(chosen))
      .with({ kind: 'nobody' }, (nobody) => this.attempts.onNoRunner(nobody))
      .with({ kind: 'refused' }, (refused) => this.onRefused(refused))
      .with({ kind: 'started' }, (started) => this.onStarted(started))
      .with({ kind: 'completed' }, (completed) => this.onCompleted(completed))
      .with({ kind: 'failed' }, (failed) => this.onFailed(failed))
      .with({ kind: 'lost' }, (lost) => this.onLost(lost))
      .with({ kind: 'gate_checked' }, (checked) => this.onGateChecked(checked))
      .with({ kind: 'caller_gone' }, () => this.stream.onCallerGone())
      .with({ kind: 'cancel' }, () => this.onCancel())
      .with({ kind: 'tick' }, () => this.onTick())
      .exhaustive();
  }

  private onBegin({ deadlineMilliseconds, ...request }: RequestSummary): void {
    const { clientAccount, service, idempotent, streaming, attemptSeed } = request;
    this.context.facts = {
      retryScope: { clientAccount, service },
      deadline: this.context.now + deadlineMilliseconds,
      idempotent,
      streaming,
      attemptSeed,
    };
    if (deadlineMilliseconds <= 0) this.context.expire();
    else this.attempts.begin();
  }

  private onBeginResume({
    deadlineMilliseconds,
    clientAccount,
    service,
    ...stream
  }: ResumedStream): void {
    this.context.facts = {
      retryScope: { clientAccount, service },
      deadline: this.context.now + deadlineMilliseconds,
      idempotent: false,
      streaming: true,
      attemptSeed: stream.attemptId,
    };
    this.isResumedByCaller = true;
    this.context.advance('resume');
    this.stream.beginResume({ deadlineMilliseconds, clientAccount, service, ...stream });
  }

  private onRefused(refused: MessageOf<'refused'>): void {
    const reading = this.context.findReading(refused);
    if (!reading) return;
    // A refused resume only means that the stream can't be read there now. Its attempt was sent
    // before, so reporting "not run" would be wrong and could make the caller run the request
    // twice.
    if (reading.mode === 'resume')
      this.onStreamCut(reading, `The gate refused: ${refused.reason}.`);
    else this.attempts.onRefused(reading, refused);
  }

  private onStarted(started: MessageOf<'started'>): void {
    const reading = this.context.findReadingOfAttempt(started);
    if (reading) this.stream.onStarted(reading);
  }

  private onChunk(chunk: MessageOf<'chunk'>): void {
    const reading = this.context.findReadingOfAttempt(chunk);
    if (reading) this.stream.onChunk(reading, chunk);
  }

  private onCompleted(completed: MessageOf<'completed'>): void {
    const reading = this.context.findReadingOfAttempt(completed);
    if (reading) this.stream.onCompleted(reading, completed);
  }

  private onFailed(failed: MessageOf<'failed'>): void {
    const { context } = this;
    const reading = context.findReading(failed);
    if (!reading) return;
    const { code, message, retryAfterMilliseconds, resumable } = failed;
    const failure = reportedFailure(
      context.executionStatus(),
      code,
      message,
      retryAfterMilliseconds,
    );
    if (resumable) this.onStreamCut(reading, message);
    else if (NON_RETRYABLE_CODES.has(code)) context.fail(failure);
    else if (this.mayRetry()) this.retryElsewhere(reading, message);
    else if (context.delivered) {
      context.abandonReading(reading);
      context.fail(this.failureOfCutStream(code, message));
    } else context.fail(failure);
  }

  private onLost(lost: MessageOf<'lost'>): void {
    const { context } = this;
    const reading = context.findReading(lost);
    if (!reading) return;
    // Before the answer starts there is nothing to resume; an idempotent request is faster on
    // another runner.
    const shouldRetryElsewhere = this.mayRetry() && !this.stream.hasStarted();
    if (shouldRetryElsewhere) this.retryElsewhere(reading, lost.message);
    else this.onStreamCut(reading, lost.message);
  }

  private onGateChecked({ reading: number, alive }: MessageOf<'gate_checked'>): void {
    const reading = this.context.readings.get(number);
    if (!reading || alive) return;
    this.onLost({
      kind: 'lost',
      reading: number,
      message: 'The daemon of the gate is gone.',
    });
  }

  private onCancel(): void {
    this.context.fail(cancelledFailure(this.context.executionStatus()));
  }

  private onTick(): void {
    this.attempts.onTick();
    if (!this.context.ended()) this.stream.onTick();
    if (!this.context.ended()) this.checkIdleReadings();
  }

  /**
   * Looks up the daemon of each idle reading. A stream without events is not a failure by itself;
   * it counts as cut if the daemon is dead, or after the idle timeout.
   */
  private checkIdleReadings(): void {
    const { context } = this;
    const { gateCheckMilliseconds, streamIdleMilliseconds } = context.timings;
    for (const reading of [...context.readings.values()]) {
      if (context.now < reading.checkAt) continue;
      reading.checkAt = context.now + gateCheckMilliseconds;
      const isIdle = context.now - reading.lastEventAt >= streamIdleMilliseconds;
      if (isIdle && this.stream.hasStarted())
        this.onStreamCut(reading, 'The stream was silent for too long.');
      else context.addAction({ kind: 'check_gate', reading: reading.number });
    }
  }

  /**
   * Returns the failure for a stream that can't be resumed. A caller that resumed the stream must
   * be told that the rest is lost, otherwise it would resume again and again.
   */
  private failureOfCutStream(code: string, message: string): RequestFailure {
    if (this.isResumedByCaller && code === 'cannot_resume') return cannotResumeFailure(message);
    return cutFailure(this.context.executionStatus(), message, false);
  }

  private mayRetry(): boolean {
    return this.context.facts.idempotent && !this.context.delivered;
  }

  private retryElsewhere(reading: Reading, message: string): void {
    const failure = cutFailure(this.context.executionStatus(), message, false);
    this.stream.discardAttempt();
    this.attempts.onAttemptLost(reading, failure);
  }

  private onStreamCut(reading: Reading, message: string): void {
    if (this.stream.resumeAfterCut(reading, message) === 'resuming') return;
    if (!this.mayRetry()) this.stream.failAsCut(true);
    else this.retryElsewhere(reading, message);
  }
}
