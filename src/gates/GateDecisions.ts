/**
 * Admission control for one runner: decides which requests start, wait or are refused. All work for a runner goes
 * through its gate, so the gate's count is exact, and the bound holds even if other daemons have outdated data.
 */
import { match } from 'ts-pattern';

import { Decisions } from '../decisions/Decisions.js';
import { AccountLimiter } from './AccountLimiter.js';
import { FairQueue } from './FairQueue.js';
import { GateBound } from './GateBound.js';
import { GateCapacity } from './GateCapacity.js';
import type { QueuedRequest } from './GateCapacity.js';
import { GateLoad, advertisedLoad, workOf } from './GateLoad.js';
import { GateOpening } from './GateOpening.js';
import { GateThroughput } from './GateThroughput.js';
import { RunnerAvailability } from './RunnerAvailability.js';
import type { GateDecisionsOptions, GateSnapshot } from './gateDecisionsTypes.js';
import type { GateAction, GateMessage, GateRequest, HeldWork, RefusalReason } from './gateTypes.js';

/** Usual batch size of an engine; the configuration of a service may set another. */
const DEFAULT_MAXIMUM_CONCURRENT = 64;
const DEFAULT_MAXIMUM_QUEUED = 64;
const DEFAULT_AGING_MILLISECONDS = 10_000;

/** A held gate is woken at least this often, so a much longer gap means that the process was paused. */
const TICK_MILLISECONDS = 1_000;

/** How often the expected waits of queued requests are compared with their deadlines. */
const QUEUE_CHECK_MILLISECONDS = 100;

/** Shortest time after which a refused request should be retried. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 50;

/** Decides on the requests of one runner. */
export class GateDecisions extends Decisions<GateMessage, GateAction> {
  private readonly maximumQueued: number;

  private readonly load = new GateLoad();

  private readonly queue: FairQueue<QueuedRequest>;

  private readonly accounts = new AccountLimiter();

  private readonly throughput = new GateThroughput();

  private readonly bound: GateBound;

  private readonly opening: GateOpening;

  private readonly capacity: GateCapacity;

  private readonly runner = new RunnerAvailability();

  private lastNow = 0;

  private queueCheckedAt = 0;

  private actions: GateAction[] = [];

  /**
   * @param options - limits and durations.
   */
  constructor({
    maximumConcurrent = DEFAULT_MAXIMUM_CONCURRENT,
    maximumQueued = DEFAULT_MAXIMUM_QUEUED,
    agingMilliseconds = DEFAULT_AGING_MILLISECONDS,
    floorRequests,
    ...openingOptions
  }: GateDecisionsOptions = {}) {
    super();
    this.maximumQueued = maximumQueued;
    this.queue = new FairQueue({ agingMilliseconds });
    this.bound = new GateBound({ floorRequests });
    this.opening = new GateOpening(openingOptions);
    const { load, queue, bound, opening, throughput } = this;
    const parts = { maximumConcurrent, load, queue, bound, opening, throughput };
    this.capacity = new GateCapacity(parts);
  }

  override decide(now: number, message: GateMessage): readonly GateAction[] {
    this.actions = [];
    this.lastNow = now;
    this.opening.advance(now);
    this.throughput.advance(now, this.load.count > 0);
    this.dispatch(now, message);
    if (this.queue.size > 0) {
      this.refuseUnreachable(now);
      this.startQueued(now);
    }
    if (this.opening.state === 'closing' && this.load.count === 0) this.opening.markEmpty();
    return this.actions;
  }

  override nextWake(): number | undefined {
    if (this.opening.state === 'closed') return undefined;
    const wait = this.queue.size > 0 ? QUEUE_CHECK_MILLISECONDS : TICK_MILLISECONDS;
    return this.lastNow + wait;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns A copy of the gate's state and load.
   */
  snapshot(now: number): GateSnapshot {
    return {
      state: this.opening.state,
      running: this.load.count,
      queued: this.queue.size,
      runningWork: this.load.work,
      queuedWork: this.queue.work,
      load: advertisedLoad(this.load.work, this.queue.work),
      foreignWork: this.opening.foreignWork(now),
      tokensPerSecond: this.throughput.tokensPerSecond,
    };
  }

  /** @returns The work on the runner that this gate sent, for the handover to the next holder. */
  heldWork(): HeldWork[] {
    return this.load.heldWork();
  }

  private dispatch(now: number, message: GateMessage): void {
    match(message)
      .with({ kind: 'request' }, ({ request }) => this.onRequest(now, request))
      .with({ kind: 'started' }, ({ attemptId, cachedTokens }) => {
        this.throughput.recordWork(this.load.correctCachedTokens(attemptId, cachedTokens));
      })
      .with({ kind: 'progress' }, ({ attemptId, generatedTokens }) => {
        this.throughput.recordWork(this.load.recordProgress(attemptId, generatedTokens));
      })
      .with({ kind: 'refused_by_runner' }, ({ attemptId }) => this.onRefusedByRunner(attemptId))
      .with({ kind: 'ended' }, ({ attemptId }) => this.onEnded(attemptId))
      .with({ kind: 'cancel' }, ({ attemptId }) => this.onCancel(attemptId))
      .with({ kind: 'load_report' }, ({ report }) => {
        this.throughput.setInitialTokenRate(report.tokensPerSecond);
        this.opening.applyReport(now, report, this.load);
      })
      .with({ kind: 'pool_mean' }, ({ mean, runners }) => this.bound.updatePool(now, mean, runners))
      .with({ kind: 'runner_state' }, ({ state, incarnation }) => {
        const refusal = this.runner.update(state, incarnation);
        if (refusal) this.refuseAll(refusal);
      })
      .with({ kind: 'open' }, ({ handedOver }) => this.opening.open(now, this.load, handedOver))
      .with({ kind: 'close' }, () => {
        if (this.opening.close()) this.refuseAll('gate_not_here');
      })
      .with({ kind: 'tick' }, () => {})
      .exhaustive();
  }

  private onRequest(now: number, request: GateRequest): void {
    const { attemptId } = request;
    // A duplicate message must neither run the request twice nor report a running one as "not run".
    if (this.load.has(attemptId) || this.queue.has(attemptId)) return;
    const gateRefusal = this.opening.isHeld ? this.runner.refusalReason() : 'gate_not_here';
    if (gateRefusal) {
      this.refuse(attemptId, gateRefusal);
      return;
    }
    if (request.deadline <= now) {
      this.refuse(attemptId, 'deadline_unreachable');
      return;
    }
    const { millisecondsPerRequest } = this.throughput;
    const runners = this.bound.poolRunners;
    const overLimit = this.accounts.check(now, request, runners, millisecondsPerRequest);
    if (overLimit) {
      this.refuse(attemptId, 'account_limit', overLimit.retryAfterMilliseconds);
      return;
    }
    const work = workOf(request);
    this.bound.observeRequest(work);
    this.admit(now, { ...request, work, queuedAt: now });
  }

  private admit(now: number, request: QueuedRequest): void {
    const overtakes = this.queue.hasAtOrAbove(request.priority);
    if (!overtakes && this.capacity.fits(now, request)) {
      this.accounts.charge(now, request, this.bound.poolRunners);
      this.start(now, request);
      return;
    }
    const refusal = this.refusalToQueue(now, request);
    if (refusal) {
      this.refuse(request.attemptId, refusal, this.capacity.expectedWait(now, request));
      return;
    }
    this.enqueue(now, request);
  }

  private refusalToQueue(now: number, request: QueuedRequest): RefusalReason | undefined {
    if (!request.lastChoice)
      return this.opening.state === 'opening' ? 'gate_opening' : 'above_bound';
    if (now + this.capacity.expectedWait(now, request) > request.deadline)
      return 'deadline_unreachable';
    return this.queue.size < this.maximumQueued || this.makeRoom(now, request)
      ? undefined
      : 'queue_full';
  }

  private enqueue(now: number, request: QueuedRequest): void {
    const expectedWaitMilliseconds = Math.round(this.capacity.expectedWait(now, request));
    this.accounts.charge(now, request, this.bound.poolRunners);
    this.queue.push(request);
    this.actions.push({
      kind: 'queued',
      attemptId: request.attemptId,
      position: this.queue.size,
      expectedWaitMilliseconds,
    });
  }

  private makeRoom(now: number, request: QueuedRequest): boolean {
    const displaced = this.queue.requestToDisplace(request);
    if (!displaced) return false;
    this.unqueue(displaced, 'queue_full', this.capacity.expectedWait(now, displaced));
    return true;
  }

  private onRefusedByRunner(attemptId: string): void {
    const attempt = this.load.end(attemptId);
    if (!attempt) return;
    this.accounts.refund(attempt.request);
    this.refuse(attemptId, 'runner_refused', this.throughput.millisecondsPerRequest);
  }

  private onEnded(attemptId: string): void {
    const attempt = this.load.end(attemptId);
    if (!attempt) return;
    const { request, generatedTokens, work } = attempt;
    this.throughput.recordWork(work);
    this.throughput.recordCompletion();
    this.accounts.release(
      request.clientAccount,
      Math.max(0, request.maximumTokens - generatedTokens),
    );
  }

  private onCancel(attemptId: string): void {
    const waiting = this.queue.get(attemptId);
    if (waiting) this.unqueue(waiting, 'cancelled', 0);
    else if (this.load.has(attemptId)) this.actions.push({ kind: 'cancel_at_runner', attemptId });
  }

  private start(now: number, { work, queuedAt, ...request }: QueuedRequest): void {
    this.load.start(now, request);
    this.actions.push({
      kind: 'start',
      attemptId: request.attemptId,
      load: this.load.work + this.opening.foreignWork(now),
      mean: this.bound.mean,
    });
  }

  private startQueued(now: number): void {
    for (;;) {
      const next = this.queue.peek(now);
      if (!next || !this.capacity.fits(now, next)) return;
      this.queue.take(now);
      this.start(now, next);
    }
  }

  /**
   * Refuses queued requests as soon as they are expected to start after their deadlines. Keeping them in the queue
   * would use up the caller's remaining time and end in the same refusal.
   */
  private refuseUnreachable(now: number): void {
    const isCheckDue = now - this.queueCheckedAt >= QUEUE_CHECK_MILLISECONDS;
    if (isCheckDue) this.queueCheckedAt = now;
    for (const item of this.queue.items()) {
      const wait = isCheckDue ? this.capacity.expectedWait(now, item) : 0;
      if (now + wait >= item.deadline) this.unqueue(item, 'deadline_unreachable', wait);
    }
  }

  private refuseAll(reason: RefusalReason): void {
    for (const item of this.queue.items()) this.unqueue(item, reason, 0);
  }

  private unqueue(item: QueuedRequest, reason: RefusalReason, retryAfter: number): void {
    this.queue.remove(item.attemptId);
    this.accounts.refund(item);
    this.refuse(item.attemptId, reason, retryAfter);
  }

  private refuse(attemptId: string, reason: RefusalReason, retryAfter = 0): void {
    this.actions.push({
      kind: 'refuse',
      attemptId,
      reason,
      retryAfterMilliseconds: Math.ceil(Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, retryAfter)),
      load: this.load.work + this.queue.work,
      mean: this.bound.mean,
    });
  }
}
