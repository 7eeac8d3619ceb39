/**
 * The gate of one runner, which controls the admission of attempts. It passes requests to
 * {@link GateDecisions} and runs the attempts that these start. Only the gate sends work to the runner,
 * requests its load reports and reads its cache events.
 */
import { match } from 'ts-pattern';

import { DecisionTask } from '../decisions/DecisionTask.js';
import type { DecisionStep } from '../decisions/DecisionTask.js';
import type {
  CancelRequest,
  ExecuteEvent,
  ExecuteRequest,
  ResumeRequest,
} from '../generated/baobabdock/v1/peers_pb.js';
import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import type { Upstream } from '../upstreams/Upstream.js';
import { GateDecisions } from './GateDecisions.js';
import type { GateSnapshot } from './gateDecisionsTypes.js';
import type { GatesSettings } from './gatesFeature.js';
import { GateTaskAttempts } from './GateTaskAttempts.js';
import type { CacheChange } from './GateTaskPrefixCacheIndex.js';
import {
  cannotResumeEvent,
  duplicateEvent,
  singleEventStream,
  refusedEvent,
} from './GateTaskEvents.js';
import { GateTaskLog } from './GateTaskLog.js';
import type { AdmissionAction } from './GateTaskLog.js';
import type { GateTaskMetrics } from './GateTaskMetrics.js';
import { GateTaskRunnerWatch } from './GateTaskRunnerWatch.js';
import type { RunnerCacheChange } from './GateTaskRunnerWatch.js';
import { PRIORITIES } from './gateTypes.js';
import type { GateAction, GateMessage, HeldWork, Priority, RunnerState } from './gateTypes.js';

/** Options of a {@link GateTask}. */
export interface GateTaskOptions {
  runnerId: string;
  service: string;
  /** Whether the runner reports load and cache events; runners of plain services only get health checks. */
  isEngine: boolean;
  upstream: Upstream;
  clock: Clock;
  log: Log;
  settings: GatesSettings;
  /** Limits of the service; 0 or missing where the settings apply. */
  maximumConcurrent?: number;
  maximumQueued?: number;
  /** Called with each detected change of the runner's prefix cache. */
  onCacheChanged?: (changes: readonly RunnerCacheChange[]) => void;
  /** Called when a request was refused above the load bound although its chat is cached at the runner. */
  onWarmRefused?: (change: CacheChange) => void;
  record?: (step: DecisionStep<GateMessage, GateAction>) => void;
  metrics?: GateTaskMetrics;
}

function priorityOf(text: string): Priority {
  return PRIORITIES.find((priority) => priority === text) ?? 'standard';
}

/** Admits attempts to one runner and runs them there. */
export class GateTask extends DecisionTask<GateMessage, GateAction> {
  readonly runnerId: string;

  readonly service: string;

  /** Monitors the runner's health, load and prefix cache. */
  readonly watch: GateTaskRunnerWatch;

  /** The upstream adapter of the runner. */
  readonly upstream: Upstream;

  private readonly gate: GateDecisions;

  private readonly log: GateTaskLog;

  private readonly attempts: GateTaskAttempts;

  private readonly onWarmRefused: (change: CacheChange) => void;

  /**
   * @param options - the runner, its adapter and the settings.
   */
  constructor(options: GateTaskOptions) {
    const { settings, clock, runnerId, service, upstream } = options;
    const decisions = new GateDecisions({
      maximumConcurrent: options.maximumConcurrent || settings.maximumConcurrentPerRunner,
      maximumQueued: options.maximumQueued || settings.maximumQueuedPerRunner,
      agingMilliseconds: settings.agingMilliseconds,
      openingMilliseconds: settings.openingMilliseconds,
      pauseMilliseconds: settings.pauseMilliseconds,
    });
    super({ decisions, clock, tick: { kind: 'tick' }, record: options.record });
    this.gate = decisions;
    this.runnerId = runnerId;
    this.service = service;
    this.upstream = upstream;
    this.onWarmRefused = options.onWarmRefused ?? (() => {});
    this.log = new GateTaskLog(options);
    const send = (message: GateMessage): void => this.send(message);
    this.watch = new GateTaskRunnerWatch({ ...options, send });
    this.attempts = new GateTaskAttempts({
      ...options,
      log: this.log,
      watch: this.watch,
      send,
    });
  }

  /**
   * Opens the gate; this daemon holds it from now on.
   *
   * @param handedOver - the previous holder's attempts on the runner, if it sent a handover.
   * @param lastCacheEvent - the number of the last cache event that the previous holder has read.
   */
  open(handedOver?: readonly HeldWork[], lastCacheEvent = 0): void {
    this.watch.start(lastCacheEvent);
    this.send(handedOver ? { kind: 'open', handedOver } : { kind: 'open' });
  }

  /** Closes the gate: it starts no more attempts, and running ones finish here. */
  closeGate(): void {
    this.watch.stop();
    this.send({ kind: 'close' });
  }

  /** Cancels the running attempts and closes the connections to the runner. */
  override stop(): void {
    this.attempts.stop();
    super.stop();
    this.watch.stop();
    this.upstream.close();
  }

  /** @returns The current state and load of this gate. */
  snapshot(): GateSnapshot {
    return this.gate.snapshot(this.clock.monotonicMilliseconds());
  }

  /** @returns The attempts on the runner, for the handover to the next holder. */
  heldWork(): HeldWork[] {
    return this.gate.heldWork();
  }

  /** @returns The number of attempts here that have not ended. */
  get inProgress(): number {
    return this.attempts.size;
  }

  /** @returns Resolves when no attempt is in progress here. */
  whenEmpty(): Promise<void> {
    return this.attempts.whenEmpty();
  }

  /**
   * Updates the load of the runner's pool.
   *
   * @param mean - mean load of the pool's runners, in tokens of work.
   * @param runners - the number of runners in the pool.
   */
  updatePool(mean: number, runners: number): void {
    this.send({ kind: 'pool_mean', mean, runners });
  }

  /**
   * Updates the state of the runner from this daemon's runner list.
   *
   * @param state - the runner's state.
   * @param incarnation - the incarnation that the state belongs to.
   */
  updateRunner(state: RunnerState, incarnation: number): void {
    this.watch.updateRunner(state, incarnation);
  }

  /**
   * Runs one attempt; see `GatePort`.
   *
   * @param request - the attempt to run.
   * @param signal - aborting it cancels the attempt.
   * @returns Its events.
   */
  execute(request: ExecuteRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    const { attemptId } = request;
    if (this.attempts.get(attemptId)) return singleEventStream(duplicateEvent(attemptId));
    if (this.attempts.takeEarlyCancellation(attemptId)) {
      return singleEventStream(refusedEvent({ reason: 'cancelled' }));
    }
    const attempt = this.attempts.create(request);
    const cancel = (): void => this.attempts.cancel(attempt);
    signal.addEventListener('abort', cancel, { once: true });
    this.send({
      kind: 'request',
      request: {
        attemptId,
        requestId: request.requestId,
        clientAccount: request.clientAccount,
        priority: priorityOf(request.priority),
        deadline: attempt.details.deadline,
        promptTokens: request.promptTokens,
        cachedTokens: request.cachedTokens,
        maximumTokens: request.maximumTokens,
        bound: request.bound,
        lastChoice: request.lastChoice,
        accountWeight: request.accountWeight,
        accountMaximumConcurrent: request.accountMaximumConcurrent,
        accountMaximumTokensPerMinute: request.accountMaximumTokensPerMinute,
      },
    });
    if (signal.aborted) cancel();
    return attempt.events;
  }

  /**
   * Continues the stream of an attempt; see `GatePort`.
   *
   * @param request - the attempt, and the last chunk that the reader has received.
   * @param signal - aborting it stops reading.
   * @returns The remaining events of the attempt.
   */
  resume(request: ResumeRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    const { attemptId, afterSequence, clientAccount } = request;
    const known = this.attempts.get(attemptId);
    const foreign = known && known.details.clientAccount !== clientAccount;
    if (foreign || known?.isRunning === false)
      return singleEventStream(cannotResumeEvent(attemptId));
    this.attempts.removeOrphan(attemptId);
    const deadline = this.clock.monotonicMilliseconds() + request.deadlineMilliseconds;
    const stream = { chat: '', streaming: true, idempotent: true };
    const attempt = known ?? this.attempts.adopt({ attemptId, clientAccount, deadline, ...stream });
    const events = attempt.continueAfter(afterSequence);
    const leave = (): void => {
      void events[Symbol.asyncIterator]().return?.();
    };
    signal.addEventListener('abort', leave, { once: true });
    if (signal.aborted) leave();
    return events;
  }

  /**
   * Cancels an attempt. One that is unknown here is cancelled at the runner, because an earlier holder of the
   * gate may have started it.
   *
   * @param request - the attempt.
   * @returns Whether the gate or the runner knew the attempt.
   */
  async cancel({ attemptId }: CancelRequest): Promise<boolean> {
    const attempt = this.attempts.get(attemptId);
    if (!attempt) {
      this.attempts.recordEarlyCancellation(attemptId);
      return this.upstream.cancel(attemptId);
    }
    this.attempts.cancel(attempt);
    return true;
  }

  protected override perform(action: GateAction): void {
    match(action)
      .with({ kind: 'start' }, (start) => {
        this.logAdmission(start);
        this.attempts.start(start.attemptId);
      })
      .with({ kind: 'refuse' }, (refusal) => {
        this.logAdmission(refusal);
        if (refusal.reason === 'above_bound') this.reportWarmRefusal(refusal.attemptId);
        this.attempts.get(refusal.attemptId)?.refuse(refusal);
      })
      .with({ kind: 'queued' }, (queued) => this.logAdmission(queued))
      .with({ kind: 'cancel_at_runner' }, ({ attemptId }) => {
        this.attempts.get(attemptId)?.cancel();
      })
      .exhaustive();
  }

  private reportWarmRefusal(attemptId: string): void {
    const { chat = '', cachedTokens = 0 } = this.attempts.pendingOf(attemptId)?.request ?? {};
    if (chat && cachedTokens > 0) this.onWarmRefused({ chat, cachedTokens });
  }

  private logAdmission(action: AdmissionAction): void {
    const pending = this.attempts.pendingOf(action.attemptId);
    const now = this.clock.monotonicMilliseconds();
    this.log.admission(action, pending?.request, pending ? now - pending.receivedAt : 0);
  }
}
