/**
 * State shared by the phases of one request: its state in the chart, its open readings, what is
 * known about its attempts, and the actions of the current step.
 */
import { ChartInterpreter } from '../charts/ChartInterpreter.js';
import type { EventOf, StateOf } from '../charts/chartTypes.js';
import chart from './request.chart.json' with { type: 'json' };
import type {
  AttemptPurpose,
  RequestAction,
  RequestFailure,
  RequestMessage,
} from './requestDecisionTypes.js';
import type { ExecutionStatus } from './requestFailures.js';
import { deadlineFailure } from './requestFailures.js';
import type { RequestTimings } from './requestTimings.js';
import type { Reading, RequestFacts } from './requestFacts.js';

/** States of `request.chart.json`. */
export type RequestState = StateOf<typeof chart>;

/** Events of `request.chart.json`. */
export type RequestEvent = EventOf<typeof chart>;

/** The messages of one kind. */
export type MessageOf<Kind extends RequestMessage['kind']> = Extract<
  RequestMessage,
  { kind: Kind }
>;

const CHART = new ChartInterpreter<RequestState, RequestEvent>({ chart });

const INITIAL_FACTS: RequestFacts = Object.freeze({
  retryScope: { clientAccount: '', service: '' },
  deadline: Infinity,
  idempotent: false,
  streaming: false,
  attemptSeed: '',
});

/** Holds the state of one request for its phases; nothing else uses it. */
export class RequestContext {
  readonly timings: RequestTimings;

  /** Properties of the request, set once by the first message. */
  facts: RequestFacts = INITIAL_FACTS;

  now = 0;

  /** Whether the caller has received a part of the answer. */
  delivered = false;

  readonly readings = new Map<number, Reading>();

  private state: RequestState = CHART.initial();

  private actions: RequestAction[] = [];

  private readingsOpened = 0;

  private attemptsOpened = 0;

  /** Number of attempts that were not refused; each of them may have run. */
  private attemptsThatMayHaveRun = 0;

  /**
   * @param timings - timeouts, pauses and limits.
   */
  constructor(timings: RequestTimings) {
    this.timings = timings;
  }

  /**
   * Starts a step: sets the time and clears the actions.
   *
   * @param now - monotonic milliseconds.
   */
  beginStep(now: number): void {
    this.now = now;
    this.actions = [];
  }

  /** @returns The actions of the current step. */
  endStep(): readonly RequestAction[] {
    return this.actions;
  }

  /**
   * Adds an action to the current step.
   *
   * @param action - what the owner has to do.
   */
  addAction(action: RequestAction): void {
    this.actions.push(action);
  }

  /** @returns Whether the request has ended. */
  ended(): boolean {
    return CHART.isFinal(this.state);
  }

  /**
   * @param states - states of the chart.
   * @returns Whether the request is in one of these states.
   */
  isIn(...states: readonly RequestState[]): boolean {
    return states.includes(this.state);
  }

  /**
   * Moves the request to the next state if the chart accepts the event in the current one.
   *
   * @param event - an event of the chart.
   * @returns Whether the event was accepted.
   */
  advance(event: RequestEvent): boolean {
    const { state, accepted } = CHART.next(this.state, event);
    this.state = state;
    return accepted;
  }

  /**
   * @returns What is known about the execution of the request, for the event that would end it
   *   now.
   */
  executionStatus(): ExecutionStatus {
    return {
      notRun: this.attemptsThatMayHaveRun === 0,
      idempotent: this.facts.idempotent,
      delivered: this.delivered,
    };
  }

  /** @returns Number of attempts opened so far. */
  attemptCount(): number {
    return this.attemptsOpened;
  }

  /**
   * @returns The deadline for the next hop in milliseconds; zero or less when no time is left for
   *   it.
   */
  remainingForHop(): number {
    return Math.floor(this.facts.deadline - this.now - this.timings.hopReserveMilliseconds);
  }

  /**
   * Opens the next attempt.
   *
   * @param chosen - the runner of the attempt, as chosen.
   * @param purpose - why the attempt is opened.
   */
  openAttempt(chosen: MessageOf<'chosen'>, purpose: AttemptPurpose): void {
    this.attemptsOpened += 1;
    this.attemptsThatMayHaveRun += 1;
    const attemptId = `${this.facts.attemptSeed}-${this.attemptsOpened}`;
    const { runnerId, cachedTokens, bound, lastChoice } = chosen;
    const reading = this.openReading(attemptId, runnerId, 'attempt', lastChoice);
    this.addAction({
      kind: 'attempt',
      reading,
      attemptId,
      runnerId,
      purpose,
      cachedTokens,
      bound,
      lastChoice,
      deadlineMilliseconds: this.remainingForHop(),
    });
  }

  /**
   * Adds an open reading.
   *
   * @param attemptId - the attempt whose events are read.
   * @param runnerId - the runner of the attempt.
   * @param mode - whether the reading starts the attempt or resumes it.
   * @param lastChoice - whether the gate was asked to queue the attempt.
   * @returns The number of the reading.
   */
  openReading(
    attemptId: string,
    runnerId: string,
    mode: Reading['mode'],
    lastChoice = false,
  ): number {
    this.readingsOpened += 1;
    const number = this.readingsOpened;
    const checkAt = this.now + this.timings.gateCheckMilliseconds;
    this.readings.set(number, {
      number,
      attemptId,
      runnerId,
      mode,
      lastChoice,
      openedAt: this.now,
      lastEventAt: this.now,
      checkAt,
    });
    return number;
  }

  /**
   * Counts the attempt of a stream that the caller resumes with `Last-Event-ID`; this attempt has
   * certainly reached a runner.
   */
  countResumedAttempt(): void {
    this.attemptsThatMayHaveRun += 1;
  }

  /** Records that an attempt did not run, as its gate reported. */
  countNotRun(): void {
    this.attemptsThatMayHaveRun -= 1;
  }

  /**
   * Finds the reading that a message belongs to and updates the time of its last event. A reading
   * that was abandoned may still deliver events; they are dropped, because another reading has
   * replaced it.
   *
   * @param message - the message.
   * @returns The reading, or `undefined` if the message has to be dropped.
   */
  findReading(message: RequestMessage & { readonly reading: number }): Reading | undefined {
    const reading = this.readings.get(message.reading);
    if (!reading) {
      this.addAction({ kind: 'dropped', what: message.kind, why: 'other_reading' });
      return undefined;
    }
    reading.lastEventAt = this.now;
    reading.checkAt = this.now + this.timings.gateCheckMilliseconds;
    return reading;
  }

  /**
   * Like {@link RequestContext.findReading}, for messages that carry an attempt id: a message with
   * the id of another attempt belongs to the answer of another request and is dropped.
   *
   * @param message - the message.
   * @returns The reading, or `undefined` if the message has to be dropped.
   */
  findReadingOfAttempt(
    message: RequestMessage & { readonly reading: number; readonly attemptId: string },
  ): Reading | undefined {
    const reading = this.findReading(message);
    if (!reading || reading.attemptId === message.attemptId) return reading;
    this.addAction({ kind: 'dropped', what: message.kind, why: 'other_attempt' });
    return undefined;
  }

  /**
   * Stops reading and cancels the attempt at its runner.
   *
   * @param reading - the reading to stop.
   */
  cancelReading({ number, attemptId, runnerId }: Reading): void {
    this.readings.delete(number);
    this.addAction({ kind: 'cancel_attempt', reading: number, attemptId, runnerId });
  }

  /**
   * Stops reading; the attempt continues.
   *
   * @param reading - the reading to stop.
   */
  abandonReading({ number }: Reading): void {
    this.readings.delete(number);
    this.addAction({ kind: 'abandon', reading: number });
  }

  /**
   * Ends the request and cancels the attempts that are still open. The attempt of a
   * non-idempotent request is only abandoned, unless its caller cancels: the gate drops it while
   * it is queued and lets it finish once it runs, because stopping it half done would be worse
   * than an answer that is not read.
   *
   * @param failure - the last event of the request.
   */
  fail(failure: RequestFailure): void {
    const stops = this.facts.idempotent || failure.code === 'cancelled';
    for (const reading of [...this.readings.values()]) {
      if (stops) this.cancelReading(reading);
      else this.abandonReading(reading);
    }
    this.advance('fail');
    this.addAction({ kind: 'fail', failure });
  }

  /** Ends the request because its deadline has passed. */
  expire(): void {
    this.fail(deadlineFailure(this.executionStatus()));
  }
}
