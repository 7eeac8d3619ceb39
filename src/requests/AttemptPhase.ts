/**
 * The first phase of a request: chooses a runner, opens attempts at its gate, and retries or
 * hedges where that is allowed.
 */
import type { RefusalReason } from '../gates/gateTypes.js';
import type { MessageOf, RequestContext } from './RequestContext.js';
import type { Reading } from './requestFacts.js';
import type { AttemptPurpose, RequestFailure, TriedRunner } from './requestDecisionTypes.js';
import { cancelledFailure, noRunnerFailure, refusedFailure } from './requestFailures.js';
import type { RetryBudget } from './RetryBudget.js';

/**
 * Refusals that concern the request or its client account rather than the runner: every other
 * gate would refuse it too, so the request is not retried.
 */
const NON_RETRYABLE_REFUSALS: ReadonlySet<RefusalReason> = new Set(['account_limit', 'cancelled']);

/** Describes a tried runner whose gate reported no load, because the attempt was lost or hedged. */
function triedWithoutLoad({ runnerId, lastChoice }: Reading, why: 'lost' | 'hedged'): TriedRunner {
  return { runnerId, why, load: 0, mean: 0, retryAfterMilliseconds: 0, lastChoice };
}

/** Options of an {@link AttemptPhase}. */
export interface AttemptPhaseOptions {
  context: RequestContext;
  budget: RetryBudget;
}

/**
 * Chooses runners for a request, opens attempts, and retries or hedges them within the retry
 * budget.
 */
export class AttemptPhase {
  private readonly context: RequestContext;

  private readonly budget: RetryBudget;

  private readonly tried: TriedRunner[] = [];

  private homeTimeoutAt: number | undefined;

  /**
   * Purpose of the choice that was requested from the chooser; `undefined` when none is pending.
   */
  private pendingPurpose: AttemptPurpose | undefined;

  private hedged = false;

  /** How the request ends if no other runner can be chosen: the failure of the last attempt. */
  private failureOfLastAttempt: RequestFailure | undefined;

  /**
   * @param options - the state shared by the phases of the request, and the daemon's retry
   *   budget.
   */
  constructor({ context, budget }: AttemptPhaseOptions) {
    this.context = context;
    this.budget = budget;
  }

  /**
   * Counts the request in the retry budget and asks the home of the chat which runners have its
   * prefix cached.
   */
  begin(): void {
    this.budget.recordRequest(this.context.facts.retryScope);
    this.context.advance('ask_home');
    this.homeTimeoutAt = this.context.now + this.context.timings.homeTimeoutMilliseconds;
    this.context.addAction({ kind: 'ask_home' });
  }

  /** Chooses the first runner once the home of the chat has answered or its timeout has passed. */
  onHomeAnswered(): void {
    if (!this.context.isIn('asking_home')) return;
    this.homeTimeoutAt = undefined;
    this.choose('first');
  }

  /**
   * Opens an attempt at the runner that the chooser selected.
   *
   * @param chosen - the chooser's answer.
   */
  onChosen(chosen: MessageOf<'chosen'>): void {
    const purpose = this.pendingPurpose;
    if (purpose === undefined) return;
    this.pendingPurpose = undefined;
    if (this.context.remainingForHop() <= 0) this.context.expire();
    else if (this.context.advance('attempt')) this.context.openAttempt(chosen, purpose);
  }

  /**
   * Ends the request when the chooser found no runner, unless only a hedge was to be placed.
   *
   * @param nobody - the chooser's answer.
   */
  onNoRunner({ message, retryAfterMilliseconds }: MessageOf<'nobody'>): void {
    const purpose = this.pendingPurpose;
    this.pendingPurpose = undefined;
    if (purpose === undefined || purpose === 'hedge') return;
    const knowledge = this.context.executionStatus();
    this.context.fail(
      this.failureOfLastAttempt ?? noRunnerFailure(knowledge, message, retryAfterMilliseconds),
    );
  }

  /**
   * Handles a gate's refusal of an attempt, which means that the attempt did not run: the request
   * is placed elsewhere, retried or failed.
   *
   * @param reading - the reading of the attempt.
   * @param refused - the refusal.
   */
  onRefused(reading: Reading, refused: MessageOf<'refused'>): void {
    const { context } = this;
    const { reason, retryAfterMilliseconds, load, mean } = refused;
    context.abandonReading(reading);
    context.countNotRun();
    const { runnerId, lastChoice } = reading;
    this.tried.push({ runnerId, why: reason, load, mean, retryAfterMilliseconds, lastChoice });
    if (context.readings.size > 0) return;
    const failure = refusedFailure(context.executionStatus(), reason, retryAfterMilliseconds);
    if (reason === 'cancelled') context.fail(cancelledFailure(context.executionStatus()));
    else if (NON_RETRYABLE_REFUSALS.has(reason)) context.fail(failure);
    else if (reason === 'above_bound') this.placeElsewhere(failure);
    else this.retry(failure);
  }

  /**
   * Retries an idempotent request whose attempt was lost or failed before the caller received any
   * part of the answer.
   *
   * @param reading - the reading of the attempt.
   * @param failure - how the request ends when it may not be retried.
   */
  onAttemptLost(reading: Reading, failure: RequestFailure): void {
    this.context.cancelReading(reading);
    this.tried.push(triedWithoutLoad(reading, 'lost'));
    if (this.context.readings.size > 0) return;
    this.retry(failure);
  }

  /**
   * Chooses another runner for the request, or ends it when its attempts, its time or the retry
   * budget are used up.
   *
   * @param failure - the last event of the request if it may not be retried.
   */
  retry(failure: RequestFailure): void {
    const { context } = this;
    if (context.attemptCount() >= context.timings.maximumAttempts) {
      this.denyRetry('attempts', failure);
    } else if (context.remainingForHop() <= 0) {
      context.expire();
    } else if (!this.budget.takeRetry(context.facts.retryScope)) {
      this.denyRetry('budget', failure);
    } else {
      this.failureOfLastAttempt = failure;
      this.choose('retry');
    }
  }

  /** Ends the wait for the home and sends a hedge when either is due. */
  onTick(): void {
    const { now } = this.context;
    if (this.homeTimeoutAt !== undefined && now >= this.homeTimeoutAt) this.onHomeAnswered();
    else if (now >= (this.hedgeAt() ?? Infinity)) this.hedge();
  }

  /** @returns When the next timer of this phase is due, in monotonic milliseconds. */
  nextWake(): number | undefined {
    return this.homeTimeoutAt ?? this.hedgeAt();
  }

  /**
   * Chooses another runner after a gate refused because its load is above the bound. This takes
   * nothing from the retry budget: bounded-load placement relies on such refusals, the request
   * never reaches a runner, and only a few runners of a pool can be above a multiple of its mean
   * load. The chooser ends the sequence by asking a gate to queue the request.
   */
  private placeElsewhere(failure: RequestFailure): void {
    if (this.context.attemptCount() >= this.context.timings.maximumAttempts) {
      this.denyRetry('attempts', failure);
      return;
    }
    this.failureOfLastAttempt = failure;
    this.choose('placement');
  }

  private denyRetry(why: 'budget' | 'attempts', failure: RequestFailure): void {
    this.context.addAction({ kind: 'retry_denied', why });
    this.context.fail(failure);
  }

  private choose(purpose: AttemptPurpose): void {
    if (purpose !== 'hedge' && !this.context.advance('choose')) return;
    this.pendingPurpose = purpose;
    const deadlineMilliseconds = this.context.remainingForHop();
    this.context.addAction({
      kind: 'choose',
      purpose,
      tried: [...this.tried],
      deadlineMilliseconds,
    });
  }

  private hedge(): void {
    this.hedged = true;
    if (this.context.remainingForHop() <= 0) return;
    if (!this.budget.takeRetry(this.context.facts.retryScope)) return;
    const [reading] = this.context.readings.values();
    if (reading) this.tried.push(triedWithoutLoad(reading, 'hedged'));
    this.choose('hedge');
  }

  private hedgeAt(): number | undefined {
    const { hedgeAfterMilliseconds } = this.context.timings;
    const mayHedge = hedgeAfterMilliseconds > 0 && this.context.facts.idempotent && !this.hedged;
    if (!mayHedge || !this.context.isIn('attempting')) return undefined;
    const [reading] = this.context.readings.values();
    return reading && reading.openedAt + hedgeAfterMilliseconds;
  }
}
