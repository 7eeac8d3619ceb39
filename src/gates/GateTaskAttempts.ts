/**
 * Manages all attempts at one gate, and passes their events on to the gate's decisions, the monitoring of the
 * runner and the log.
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
  /** Sends a message to the gate's decisions. */
  send: (message: GateMessage) => void;
}

/** An attempt that has not started, with its request. */
export interface PendingAttempt {
  readonly attempt: GateTaskAttempt;
  readonly request: ExecuteRequest;
  /** Monotonic milliseconds of this daemon. */
  readonly receivedAt: number;
}

/** Upper limit of remembered cancellations that arrived before their attempts; the oldest is dropped. */
const MAXIMUM_EARLY_CANCELLATIONS = 1_000;

/** Creates, starts, cancels and tracks the attempts of one gate. */
export class GateTaskAttempts {
  private readonly options: GateTaskAttemptsOptions;

  private readonly pending = new Map<string, PendingAttempt>();

  private readonly attempts = new Map<string, GateTaskAttempt>();

  private readonly orphans: GateTaskOrphans;

  /**
   * Attempts whose cancellation arrived before they did: it travels on another connection and can overtake
   * the attempt. If it were forgotten, the attempt would run to its end, visible as work on the runner that
   * no caller waits for.
   */
  private readonly cancelledEarly = new Set<string>();

  private readonly emptyListeners: (() => void)[] = [];

  /**
   * @param options - the runner, its monitoring, the log and the settings.
   */
  constructor(options: GateTaskAttemptsOptions) {
    this.options = options;
    this.orphans = new GateTaskOrphans({
      keepMilliseconds: options.settings.orphanMilliseconds,
      onTimeout: (attemptId) => this.cancelOrphan(attemptId),
    });
  }

  /** @returns The number of attempts that have not ended. */
  get size(): number {
    return this.attempts.size;
  }

  /**
   * Looks up an attempt.
   *
   * @param attemptId - the attempt.
   * @returns The attempt, unless it is unknown or has ended.
   */
  get(attemptId: string): GateTaskAttempt | undefined {
    return this.attempts.get(attemptId);
  }

  /**
   * Looks up an attempt that has not started.
   *
   * @param attemptId - the attempt.
   * @returns The attempt with its request, unless it is unknown or has started.
   */
  pendingOf(attemptId: string): PendingAttempt | undefined {
    return this.pending.get(attemptId);
  }

  /**
   * Creates an attempt that waits for its start.
   *
   * @param request - the request to run once the gate admits it.
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
   * Registers an attempt by its details. One that was started before, here or by another holder of the gate,
   * is then resumed rather than started.
   *
   * @param details - the details of the attempt.
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
   * Stops the timeout of an attempt that has a reader again.
   *
   * @param attemptId - the attempt.
   */
  removeOrphan(attemptId: string): void {
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
   * Cancels an attempt; does nothing if it has ended.
   *
   * @param attempt - the attempt.
   */
  cancel(attempt: GateTaskAttempt): void {
    const { attemptId } = attempt.details;
    if (this.attempts.get(attemptId) !== attempt) return;
    attempt.markCancelled();
    this.options.send({ kind: 'cancel', attemptId });
    // The gate's decisions do not track attempts that an earlier holder started, so cancel those here.
    if (attempt.isRunning) attempt.cancel();
  }

  /**
   * Remembers a cancellation that arrived before its attempt.
   *
   * @param attemptId - the attempt.
   */
  recordEarlyCancellation(attemptId: string): void {
    this.cancelledEarly.add(attemptId);
    if (this.cancelledEarly.size <= MAXIMUM_EARLY_CANCELLATIONS) return;
    const [oldest] = this.cancelledEarly;
    if (oldest !== undefined) this.cancelledEarly.delete(oldest);
  }

  /**
   * Checks whether an attempt that has just arrived was already cancelled, and forgets that cancellation.
   *
   * @param attemptId - the attempt.
   * @returns Whether it was cancelled.
   */
  takeEarlyCancellation(attemptId: string): boolean {
    return this.cancelledEarly.delete(attemptId);
  }

  /** Cancels all attempts. */
  stop(): void {
    for (const attempt of [...this.attempts.values()]) this.cancel(attempt);
    this.orphans.clear();
  }

  /** @returns Resolves when no attempt is in progress. */
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
      if (reason === 'unreachable' && !attempt.isCancelled)
        this.options.watch.recordAttemptFailure();
      this.options.log.fault(attemptId, reason, message);
      this.options.send({ kind: 'refused_by_runner', attemptId });
      // The gate's decisions refuse the attempts that they track; this refuses all others.
      attempt.refuse({ reason: 'runner_refused' });
    },
    completed: ({ details: { chat }, isServerError }, cachedTokens) => {
      const { watch } = this.options;
      // A complete answer with a server error is no sign of a healthy runner.
      if (isServerError) watch.recordAttemptFailure();
      else watch.recordAttemptSuccess();
      // An error answer reports no tokens; it leaves the cached tokens of the chat unchanged.
      if (chat && cachedTokens > 0) watch.recordChatUse(chat, cachedTokens);
    },
    failed: ({ details: { attemptId } }, { reason, message }) => {
      this.options.watch.recordAttemptFailure();
      this.options.log.fault(attemptId, reason, message);
    },
    resumed: ({ details: { attemptId } }, { reason }) => {
      this.options.log.resumed(attemptId, reason);
    },
    ended: ({ details: { attemptId, idempotent } }, end) => {
      this.attempts.delete(attemptId);
      this.pending.delete(attemptId);
      this.orphans.remove(attemptId);
      // The runner may still be generating, and the reader may come back to resume the stream.
      if (end === 'lost' && idempotent) this.orphans.add(attemptId);
      this.options.send({ kind: 'ended', attemptId, end });
      if (this.attempts.size > 0) return;
      for (const listener of this.emptyListeners.splice(0)) listener();
    },
    left: (attempt) => {
      // Without a reader, a waiting attempt is of no use, and a running one is kept for a while if it is
      // idempotent. One that is not idempotent runs to its end: stopping it half done would be worse than
      // an answer without a reader.
      if (!attempt.isRunning) this.cancel(attempt);
      else if (attempt.details.idempotent) this.orphans.add(attempt.details.attemptId);
    },
  };

  private cancelOrphan(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt) this.cancel(attempt);
    else void this.options.upstream.cancel(attemptId);
  }
}
