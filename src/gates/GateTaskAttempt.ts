/**
 * One attempt on its way through a gate: reads the runner at the pace of its reader, takes up a cut stream
 * again, goes on without a reader for a while, and ends exactly once.
 */
import type { ExecuteEvent } from '../generated/baobabdock/v1/peers_pb.js';
import type { Clock } from '../time/Clock.js';
import type { Upstream, UpstreamAttempt, UpstreamEvent } from '../upstreams/Upstream.js';
import { attemptFailureCode, canTakeUpAgain } from './GateTaskFailures.js';
import type { AttemptFailure } from './GateTaskFailures.js';
import {
  chunkEvent,
  completedEvent,
  failedEvent,
  refusedEvent,
  startedEvent,
  takenOverEvent,
} from './GateTaskEvents.js';
import type { RefusalDetails } from './GateTaskEvents.js';
import type { AttemptDetails } from './GateTaskAttemptTypes.js';
import { GateTaskStream } from './GateTaskStream.js';
import type { AttemptEnd } from './gateTypes.js';

type Phase = 'waiting' | 'running' | 'ended';
type Source = (signal: AbortSignal) => AsyncIterable<UpstreamEvent>;

/** Statuses from here on: the runner ran the request and broke. */
const FIRST_SERVER_ERROR = 500;

/** Chunks between two messages about progress: each costs a decision. */
const CHUNKS_PER_PROGRESS = 8;

/** Wait before a cut stream is taken up again, doubled each time. */
const FIRST_RESUME_WAIT_MILLISECONDS = 20;

/** Two timers of the same deadline do not fire in the same millisecond. */
const DEADLINE_SLACK_MILLISECONDS = 5;

/** What the gate is told of an attempt. */
export interface AttemptListener {
  started: (attempt: GateTaskAttempt, cachedTokens: number) => void;
  progress: (attempt: GateTaskAttempt, generatedTokens: number) => void;
  /** The runner did not start it; the gate answers with {@link GateTaskAttempt.refuse}. */
  notRun: (attempt: GateTaskAttempt, reason: 'refused' | 'unreachable', message: string) => void;
  completed: (attempt: GateTaskAttempt, cachedTokens: number) => void;
  failed: (attempt: GateTaskAttempt, failure: AttemptFailure) => void;
  takenUpAgain: (attempt: GateTaskAttempt, failure: AttemptFailure) => void;
  /** The last call for this attempt. */
  ended: (attempt: GateTaskAttempt, end: AttemptEnd) => void;
  /** The reader went while the attempt was running or waiting. */
  left: (attempt: GateTaskAttempt) => void;
}

/** Options of a {@link GateTaskAttempt}. */
export interface GateTaskAttemptOptions {
  details: AttemptDetails;
  upstream: Upstream;
  clock: Clock;
  listener: AttemptListener;
  maximumBufferedBytes: number;
  maximumResumes: number;
}

/** One attempt, from its request to its end. */
export class GateTaskAttempt {
  readonly details: AttemptDetails;

  private readonly options: GateTaskAttemptOptions;

  private readonly controller = new AbortController();

  private phase: Phase = 'waiting';

  private stream: GateTaskStream;

  /** Grows with each new reading, so that what an older one still delivers is dropped. */
  private reading = 0;

  private iterator: AsyncIterator<UpstreamEvent> | undefined;

  private lastSequence = 0;

  private begun = false;

  private status = 0;

  private resumes = 0;

  private isResumed = false;

  private deadlineTimer: NodeJS.Timeout | undefined;

  private resumeTimer: NodeJS.Timeout | undefined;

  private stopReason: 'cancelled' | 'deadline' | undefined;

  /**
   * @param options - the attempt, its runner and whom to tell.
   */
  constructor(options: GateTaskAttemptOptions) {
    this.options = options;
    this.details = options.details;
    this.stream = this.newStream();
  }

  /** @returns The events for the reader that asked for the attempt. */
  get events(): AsyncIterable<ExecuteEvent> {
    return this.stream;
  }

  /** @returns Whether the runner may have it. */
  get isRunning(): boolean {
    return this.phase === 'running';
  }

  /** @returns Whether the runner answered that it broke. */
  get isServerError(): boolean {
    return this.status >= FIRST_SERVER_ERROR;
  }

  /** @returns Whether it was cancelled. */
  get isCancelled(): boolean {
    return this.stopReason === 'cancelled';
  }

  /**
   * Sends it to the runner.
   *
   * @param attempt - what to run.
   */
  start(attempt: UpstreamAttempt): void {
    this.run((signal) => this.options.upstream.run(attempt, signal));
  }

  /**
   * Continues an attempt that another holder of the gate, or an earlier reader, had started.
   *
   * @param afterSequence - the last chunk that the reader has.
   * @returns The events for the new reader; an earlier reader gets no more.
   */
  continueAfter(afterSequence: number): AsyncIterable<ExecuteEvent> {
    this.stream.push(takenOverEvent(this.details.attemptId));
    this.stream.end();
    this.stream = this.newStream();
    this.lastSequence = afterSequence;
    this.begun = false;
    this.resumes = 0;
    this.takeUp();
    return this.stream;
  }

  /**
   * Ends it: nothing ran.
   *
   * @param details - why.
   */
  refuse(details: RefusalDetails): void {
    if (this.phase === 'ended') return;
    const reason = this.isCancelled ? 'cancelled' : details.reason;
    this.end(refusedEvent({ ...details, reason }));
  }

  /** Cancels it at the runner; its last event follows at once. */
  cancel(): void {
    this.stop('cancelled');
  }

  /** Notes that the owner wants it no more, for the reason of a refusal that may follow. */
  markCancelled(): void {
    this.stopReason ??= 'cancelled';
  }

  private newStream(): GateTaskStream {
    const { maximumBufferedBytes, listener } = this.options;
    return new GateTaskStream({ maximumBufferedBytes, onLeft: () => listener.left(this) });
  }

  private run(source: Source): void {
    this.phase = 'running';
    this.armDeadline();
    this.reading += 1;
    void this.read(source, this.reading);
  }

  private takeUp(): void {
    const { attemptId } = this.details;
    // Not awaited: a generator that waits for a silent runner ends only when that speaks.
    void this.iterator?.return?.().catch(() => {});
    this.isResumed = true;
    this.run((signal) => this.options.upstream.resume(attemptId, this.lastSequence, signal));
  }

  private async read(source: Source, reading: number): Promise<void> {
    try {
      const iterator = source(this.controller.signal)[Symbol.asyncIterator]();
      this.iterator = iterator;
      for (;;) {
        const step = await iterator.next();
        if (this.isOver(reading)) return;
        if (step.done) throw new Error('the runner ended the answer without saying how');
        this.take(step.value);
        await this.stream.room();
        if (this.isOver(reading)) return;
      }
    } catch (error) {
      if (this.isOver(reading)) return;
      const message = error instanceof Error ? error.message : String(error);
      this.fail({ reason: 'malformed', message, resumable: false });
    }
  }

  private isOver(reading: number): boolean {
    return reading !== this.reading || this.phase === 'ended';
  }

  private take(event: UpstreamEvent): void {
    const { attemptId } = this.details;
    if (event.kind === 'started') this.takeStarted(event);
    if (event.kind === 'chunk') this.takeChunk(event);
    if (event.kind === 'completed') {
      this.options.listener.completed(this, event.promptTokens + event.generatedTokens);
      this.end(completedEvent(attemptId, event), 'completed');
    }
    if (event.kind === 'not_run') {
      this.options.listener.notRun(this, event.reason, event.message);
    }
    if (event.kind === 'failed') this.fail(event);
  }

  private takeStarted(event: Extract<UpstreamEvent, { kind: 'started' }>): void {
    // Taken up again after a cut: the reader has seen the start already.
    if (this.begun) return;
    this.begun = true;
    this.status = event.status;
    const { attemptId, runnerId } = this.details;
    if (!this.isResumed) this.options.listener.started(this, event.cachedTokens);
    this.stream.push(startedEvent(attemptId, runnerId, event));
  }

  private takeChunk(event: Extract<UpstreamEvent, { kind: 'chunk' }>): void {
    if (event.sequence <= this.lastSequence) return;
    this.lastSequence = event.sequence;
    this.stream.push(chunkEvent(this.details.attemptId, event));
    const report = this.details.streaming && event.sequence % CHUNKS_PER_PROGRESS === 0;
    if (report) this.options.listener.progress(this, event.sequence);
  }

  private fail(failure: AttemptFailure): void {
    const { listener, maximumResumes, clock } = this.options;
    // The adapter has the same deadline; whoever is first, the runner is not to blame for it.
    const left = this.details.deadline - clock.monotonicMilliseconds();
    if (left <= DEADLINE_SLACK_MILLISECONDS) this.stopReason ??= 'deadline';
    if (!this.stopReason) listener.failed(this, failure);
    const again = !this.stopReason && this.resumes < maximumResumes && canTakeUpAgain(failure);
    if (again) {
      this.takeUpLater(failure);
      return;
    }
    const { attemptId, streaming, idempotent } = this.details;
    const code = attemptFailureCode({
      failure,
      stopReason: this.stopReason,
      resumed: this.isResumed,
      begun: this.begun,
      streaming,
      idempotent,
    });
    const resumable = failure.resumable && this.stopReason === undefined;
    const end = this.isCancelled ? 'cancelled' : 'failed';
    const { message } = failure;
    this.end(failedEvent({ attemptId, code, message, resumable }), resumable ? 'lost' : end);
  }

  private takeUpLater(failure: AttemptFailure): void {
    const wait = FIRST_RESUME_WAIT_MILLISECONDS * 2 ** this.resumes;
    this.resumes += 1;
    this.reading += 1;
    this.resumeTimer = setTimeout(() => {
      this.resumeTimer = undefined;
      this.options.listener.takenUpAgain(this, failure);
      this.takeUp();
    }, wait);
  }

  private armDeadline(): void {
    clearTimeout(this.deadlineTimer);
    const left = this.details.deadline - this.options.clock.monotonicMilliseconds();
    this.deadlineTimer = setTimeout(() => this.stop('deadline'), Math.max(0, left));
  }

  private stop(reason: 'cancelled' | 'deadline'): void {
    if (this.phase === 'ended') return;
    this.stopReason = reason;
    if (this.phase === 'waiting') return;
    // The runner's adapter cancels what it started; what was taken up again has to be named.
    this.controller.abort();
    if (this.isResumed) void this.options.upstream.cancel(this.details.attemptId);
    this.stream.lift();
    if (!this.resumeTimer) return;
    clearTimeout(this.resumeTimer);
    this.fail({ reason: 'cut', message: `${reason} while cut off`, resumable: false });
  }

  private end(event: ExecuteEvent, end?: AttemptEnd): void {
    this.phase = 'ended';
    clearTimeout(this.deadlineTimer);
    clearTimeout(this.resumeTimer);
    this.stream.push(event);
    this.stream.end();
    // Lets the adapter's generator close its connection.
    void this.iterator?.return?.().catch(() => {});
    this.options.listener.ended(this, end ?? 'failed');
  }
}
