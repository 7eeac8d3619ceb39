/**
 * The life of one request: where it goes, when it is sent on again, how a cut stream goes on, how it ends.
 *
 * One object for each request. Requests share nothing but the retry budget, so a session file tells the
 * story of one request, and the memory of a request goes with it.
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
  restGoneFailure,
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

/** Ends that are still told after the deadline, because they are known. */
const KNOWN_ENDS: ReadonlySet<RequestMessage['kind']> = new Set(['completed', 'refused', 'failed']);

/** Codes of a gate that would not change at another runner. */
const FINAL_CODES: ReadonlySet<string> = new Set([
  'cancelled',
  'deadline_exceeded',
  'invalid_request',
  'account_limit',
]);

/** See the module's comment. */
export class RequestDecisions extends Decisions<RequestMessage, RequestAction> {
  private readonly context: RequestContext;

  private readonly attempts: AttemptPhase;

  private readonly stream: StreamPhase;

  /** Whether the caller has a part from an earlier request and came back for the rest. */
  private isCallersResume = false;

  /**
   * @param options - the shared retry budget and the timings.
   */
  constructor({ budget, timings = DEFAULT_REQUEST_TIMINGS }: RequestDecisionsOptions) {
    super();
    this.context = new RequestContext(timings);
    this.attempts = new AttemptPhase({ context: this.context, budget });
    this.stream = new StreamPhase(this.context);
  }

  /** @returns Whether the last event was decided. */
  ended(): boolean {
    return this.context.ended();
  }

  override decide(now: number, message: RequestMessage): readonly RequestAction[] {
    const { context } = this;
    context.beginStep(now);
    if (context.ended()) return context.endStep();
    // A daemon that was paused wakes with whatever message comes first. Past the deadline only an end that
    // is already known is told; without this check the woken daemon would send the request on.
    const late = now >= context.facts.deadline && !KNOWN_ENDS.has(message.kind);
    if (late) context.expire();
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
    // Asked after each chunk, so without new arrays.
    for (const { checkAt } of context.readings.values()) earliest = Math.min(earliest, checkAt);
    return Number.isFinite(earliest) ? earliest : undefined;
  }

  private handle(message: RequestMessage): void {
    // Nearly all messages are chunks; each pattern that is tried costs some of their time.
    if (message.kind === 'chunk') {
      this.onChunk(message);
      return;
    }
    match(message)
      .with({ kind: 'begin' }, ({ request }) => this.onBegin(request))
      .with({ kind: 'begin_resume' }, ({ stream }) => this.onBeginResume(stream))
      .with({ kind: 'home_answered' }, () => this.attempts.onHome())
      .with({ kind: 'chosen' }, (chosen) => this.attempts.onChosen(chosen))
      .with({ kind: 'nobody' }, (nobody) => this.attempts.onNobody(nobody))
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
      payer: { clientAccount, service },
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
      payer: { clientAccount, service },
      deadline: this.context.now + deadlineMilliseconds,
      idempotent: false,
      streaming: true,
      attemptSeed: stream.attemptId,
    };
    this.isCallersResume = true;
    this.context.advance('resume');
    this.stream.beginResume({ deadlineMilliseconds, clientAccount, service, ...stream });
  }

  private onRefused(refused: MessageOf<'refused'>): void {
    const reading = this.context.readingOf(refused);
    if (!reading) return;
    // A refused resume says only that the stream cannot be read there now. The attempt itself was sent
    // before; taking this for "not run" would be a lie that makes a caller run it twice.
    if (reading.mode === 'resume') this.cut(reading, `The gate refused: ${refused.reason}.`);
    else this.attempts.onRefused(reading, refused);
  }

  private onStarted(started: MessageOf<'started'>): void {
    const reading = this.context.ownReadingOf(started);
    if (reading) this.stream.onStarted(reading);
  }

  private onChunk(chunk: MessageOf<'chunk'>): void {
    const reading = this.context.ownReadingOf(chunk);
    if (reading) this.stream.onChunk(reading, chunk);
  }

  private onCompleted(completed: MessageOf<'completed'>): void {
    const reading = this.context.ownReadingOf(completed);
    if (reading) this.stream.onCompleted(reading, completed);
  }

  private onFailed(failed: MessageOf<'failed'>): void {
    const { context } = this;
    const reading = context.readingOf(failed);
    if (!reading) return;
    const { code, message, retryAfterMilliseconds, resumable } = failed;
    const failure = reportedFailure(context.knowledge(), code, message, retryAfterMilliseconds);
    if (resumable) this.cut(reading, message);
    else if (FINAL_CODES.has(code)) context.fail(failure);
    else if (this.maySendAgain()) this.sendAgain(reading, message);
    else if (context.delivered) {
      context.abandonReading(reading);
      context.fail(this.brokenFailure(code, message));
    } else context.fail(failure);
  }

  private onLost(lost: MessageOf<'lost'>): void {
    const { context } = this;
    const reading = context.readingOf(lost);
    if (!reading) return;
    // Before the answer started there is nothing to continue; an idempotent request is quicker elsewhere.
    const elsewhere = this.maySendAgain() && !this.stream.isHeadKnown();
    if (elsewhere) this.sendAgain(reading, lost.message);
    else this.cut(reading, lost.message);
  }

  private onGateChecked({ reading: number, alive }: MessageOf<'gate_checked'>): void {
    const reading = this.context.readings.get(number);
    if (!reading || alive) return;
    this.onLost({ kind: 'lost', reading: number, message: 'The daemon of the gate is gone.' });
  }

  private onCancel(): void {
    this.context.fail(cancelledFailure(this.context.knowledge()));
  }

  private onTick(): void {
    this.attempts.onTick();
    if (!this.context.ended()) this.stream.onTick();
    if (!this.context.ended()) this.checkReadings();
  }

  /** Silence alone proves nothing; silence through a dead daemon, or for very long, is a cut. */
  private checkReadings(): void {
    const { context } = this;
    const { gateCheckMilliseconds, streamIdleMilliseconds } = context.timings;
    for (const reading of [...context.readings.values()]) {
      if (context.now < reading.checkAt) continue;
      reading.checkAt = context.now + gateCheckMilliseconds;
      const idle = context.now - reading.lastEventAt >= streamIdleMilliseconds;
      if (idle && this.stream.isHeadKnown())
        this.cut(reading, 'The stream was silent for too long.');
      else context.act({ kind: 'check_gate', reading: reading.number });
    }
  }

  /** A caller that came back for the rest has to hear that there is none, or it comes back for ever. */
  private brokenFailure(code: string, message: string): RequestFailure {
    if (this.isCallersResume && code === 'cannot_resume') return restGoneFailure(message);
    return cutFailure(this.context.knowledge(), message, false);
  }

  private maySendAgain(): boolean {
    return this.context.facts.idempotent && !this.context.delivered;
  }

  private sendAgain(reading: Reading, message: string): void {
    const failure = cutFailure(this.context.knowledge(), message, false);
    this.stream.forget();
    this.attempts.onBroken(reading, failure);
  }

  private cut(reading: Reading, message: string): void {
    if (this.stream.cut(reading, message) === 'resuming') return;
    if (!this.maySendAgain()) this.stream.failCut(true);
    else this.sendAgain(reading, message);
  }
}
