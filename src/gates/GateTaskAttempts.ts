/**
 * All attempts at one gate: what each of them tells goes to the gate's decisions, to the watch over the
 * runner and to the log.
 */
import type { ExecuteRequest } from '../generated/baobabdock/v1/peers_pb.js';
import type { Clock } from '../time/Clock.js';
import type { Upstream } from '../upstreams/Upstream.js';
import type { GatesSettings } from './gatesFeature.js';
import { GateTaskAttempt } from './GateTaskAttempt.js';
import type { AttemptListener } from './GateTaskAttempt.js';
import type { AttemptDetails } from './GateTaskAttemptTypes.js';
import type { GateTaskLog } from './GateTaskLog.js';
import { GateTaskOrphans } from './GateTaskOrphans.js';
import type { GateTaskRunnerWatch } from './GateTaskRunnerWatch.js';
import type { GateMessage } from './gateTypes.js';

/** Options of {@link GateTaskAttempts}. */
export interface GateTaskAttemptsOptions {
  runnerId: string;
  upstream: Upstream;
  clock: Clock;
  settings: GatesSettings;
  log: GateTaskLog;
  watch: GateTaskRunnerWatch;
  /** Takes messages for the gate's decisions. */
  send: (message: GateMessage) => void;
}

/** An attempt that has not started, with what it will run. */
export interface PendingAttempt {
  readonly attempt: GateTaskAttempt;
  readonly request: ExecuteRequest;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}

/** Cancellations that are remembered because they came before their attempt. */
const MAXIMUM_EARLY_CANCELLATIONS = 1_000;

/** The attempts of one gate, from their request to their end. */
export class GateTaskAttempts {
  private readonly options: GateTaskAttemptsOptions;

  private readonly pending = new Map<string, PendingAttempt>();

  private readonly attempts = new Map<string, GateTaskAttempt>();

  private readonly orphans: GateTaskOrphans;

  /**
   * A cancellation travels on another connection than its attempt and can overtake it. The attempt would
   * then run to its end for nobody, which shows as work that no caller waits for.
   */
  private readonly cancelledEarly = new Set<string>();

  private readonly emptyListeners: (() => void)[] = [];

  /**
   * @param options - the runner, and whom to tell.
   */
  constructor(options: GateTaskAttemptsOptions) {
    this.options = options;
    this.orphans = new GateTaskOrphans({
      keepMilliseconds: options.settings.orphanMilliseconds,
      giveUp: (attemptId) => this.giveUp(attemptId),
    });
  }

  /** @returns Attempts that have not ended. */
  get size(): number {
    return this.attempts.size;
  }

  /**
   * @param attemptId - the attempt.
   * @returns It, until it has ended.
   */
  get(attemptId: string): GateTaskAttempt | undefined {
    return this.attempts.get(attemptId);
  }

  /**
   * @param attemptId - the attempt.
   * @returns What it will run, until it has started.
   */
  pendingOf(attemptId: string): PendingAttempt | undefined {
    return this.pending.get(attemptId);
  }

  /**
   * @param request - what to run, once the gate lets it.
   * @returns The attempt.
   */
  create(request: ExecuteRequest): GateTaskAttempt {
    const receivedAt = this.options.clock.monotonicMilliseconds();
    const deadline = receivedAt + request.deadlineMilliseconds;
    const attempt = this.adopt({ ...request, deadline });
    this.pending.set(request.attemptId, { attempt, request, receivedAt });
    return attempt;
  }

  /**
   * @param details - an attempt that was started before, here or elsewhere.
   * @returns The attempt.
   */
  adopt(details: Omit<AttemptDetails, 'runnerId'>): GateTaskAttempt {
    const { settings, runnerId, upstream, clock } = this.options;
    const { maximumBufferedBytes, maximumResumes } = settings;
    const attempt = new GateTaskAttempt({
      details: { ...details, runnerId },
      upstream,
      clock,
      listener: this.listener,
      maximumBufferedBytes,
      maximumResumes,
    });
    this.attempts.set(details.attemptId, attempt);
    return attempt;
  }

  /**
   * @param attemptId - has a reader again.
   */
  found(attemptId: string): void {
    this.orphans.remove(attemptId);
  }

  /**
   * Sends a pending attempt to the runner.
   *
   * @param attemptId - the attempt.
   */
  start(attemptId: string): void {
    const pending = this.pending.get(attemptId);
    if (!pending) return;
    this.pending.delete(attemptId);
    const { attempt, request } = pending;
    const left = attempt.details.deadline - this.options.clock.monotonicMilliseconds();
    attempt.start({
      attemptId,
      method: request.method,
      path: request.path,
      headers: request.headers.map(({ name, value }) => [name, value] as const),
      body: request.body,
      priority: request.priority,
      deadlineMilliseconds: Math.max(0, left),
      streaming: request.streaming,
      chat: request.chat,
    });
  }

  /**
   * @param attempt - is no longer wanted; one that has ended is left alone.
   */
  cancel(attempt: GateTaskAttempt): void {
    const { attemptId } = attempt.details;
    if (this.attempts.get(attemptId) !== attempt) return;
    attempt.markCancelled();
    this.options.send({ kind: 'cancel', attemptId });
    // The decisions do not count what an earlier holder had started.
    if (attempt.isRunning) attempt.cancel();
  }

  /**
   * @param attemptId - was cancelled before it came.
   */
  cancelEarly(attemptId: string): void {
    this.cancelledEarly.add(attemptId);
    if (this.cancelledEarly.size <= MAXIMUM_EARLY_CANCELLATIONS) return;
    const [oldest] = this.cancelledEarly;
    if (oldest !== undefined) this.cancelledEarly.delete(oldest);
  }

  /**
   * @param attemptId - an attempt that has just come.
   * @returns Whether it was cancelled before.
   */
  wasCancelledEarly(attemptId: string): boolean {
    return this.cancelledEarly.delete(attemptId);
  }

  /** Cancels all. */
  stop(): void {
    for (const attempt of [...this.attempts.values()]) this.cancel(attempt);
    this.orphans.clear();
  }

  /** @returns Resolved when no attempt is in progress. */
  whenEmpty(): Promise<void> {
    if (this.attempts.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.emptyListeners.push(resolve);
    });
  }

  private readonly listener: AttemptListener = {
    started: ({ details: { attemptId } }, cachedTokens) => {
      this.options.send({ kind: 'started', attemptId, cachedTokens });
    },
    progress: ({ details: { attemptId } }, generatedTokens) => {
      this.options.send({ kind: 'progress', attemptId, generatedTokens });
    },
    notRun: (attempt, reason, message) => {
      const { attemptId } = attempt.details;
      if (reason === 'unreachable' && !attempt.isCancelled) this.options.watch.attemptFailed();
      this.options.log.fault(attemptId, reason, message);
      this.options.send({ kind: 'refused_by_runner', attemptId });
      // The decisions answer for what they count; this is for the rest.
      attempt.refuse({ reason: 'runner_refused' });
    },
    completed: ({ details: { chat }, isServerError }, cachedTokens) => {
      const { watch } = this.options;
      // A whole answer that says "I broke" is no sign of health.
      if (isServerError) watch.attemptFailed();
      else watch.attemptSucceeded();
      // An error answer counts no tokens; the chat is as cached as before.
      if (chat && cachedTokens > 0) watch.chatUsed(chat, cachedTokens);
    },
    failed: ({ details: { attemptId } }, { reason, message }) => {
      this.options.watch.attemptFailed();
      this.options.log.fault(attemptId, reason, message);
    },
    takenUpAgain: ({ details: { attemptId } }, { reason }) => {
      this.options.log.takenUpAgain(attemptId, reason);
    },
    ended: ({ details: { attemptId, idempotent } }, end) => {
      this.attempts.delete(attemptId);
      this.pending.delete(attemptId);
      this.orphans.remove(attemptId);
      // It may go on at the runner, and its reader may come back for it.
      if (end === 'lost' && idempotent) this.orphans.add(attemptId);
      this.options.send({ kind: 'ended', attemptId, end });
      if (this.attempts.size > 0) return;
      for (const listener of this.emptyListeners.splice(0)) listener();
    },
    left: (attempt) => {
      // What waits without a reader is of no use. What may not be repeated is let finish: stopping it
      // half done would be worse than an answer that nobody reads.
      if (!attempt.isRunning) this.cancel(attempt);
      else if (attempt.details.idempotent) this.orphans.add(attempt.details.attemptId);
    },
  };

  private giveUp(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt) this.cancel(attempt);
    else void this.options.upstream.cancel(attemptId);
  }
}
