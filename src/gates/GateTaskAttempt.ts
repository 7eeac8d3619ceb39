/**
 * Runs one attempt at the runner: reads the answer with backpressure from its reader, resumes a cut stream,
 * continues without a reader for a while, and ends exactly once.
 */
import type { ExecuteEvent } from '../generated/baobabdock/v1/peers_pb.js';
import type { Clock } from '../time/Clock.js';
import type { Upstream, UpstreamAttempt, UpstreamEvent } from '../upstreams/Upstream.js';
import { attemptFailureCode, shouldResume } from './GateTaskFailures.js';
import type { AttemptFailure } from './GateTaskFailures.js';
import {
  chunkEvent,
  completedEvent,
  failedEvent,
  refusedEvent,
  startedEvent,
  supersededEvent,
} from './GateTaskEvents.js';
import type { RefusalDetails } from './GateTaskEvents.js';
import type { AttemptDetails } from './GateTaskAttemptTypes.js';
import { GateTaskStream } from './GateTaskStream.js';
import type { AttemptEnd } from './gateTypes.js';

type Phase = 'waiting' | 'running' | 'ended';
type Source = (signal: AbortSignal) => AsyncIterable<UpstreamEvent>;

/** HTTP statuses from here on mean that the runner ran the request and failed. */
const FIRST_SERVER_ERROR = 500;

/** Chunks between two progress messages to the gate; each message costs a decision. */
const CHUNKS_PER_PROGRESS = 8;

/** Backoff before a cut stream is resumed; doubled with each further resume. */
const INITIAL_RESUME_BACKOFF_MILLISECONDS = 20;

/** Tolerance for comparing deadlines: two timers of the same deadline do not fire in the same millisecond. */
const DEADLINE_SLACK_MILLISECONDS = 5;

/** Callbacks by which an attempt reports to its gate. */
export interface AttemptListener {
  started: (attempt: GateTaskAttempt, cachedTokens: number) => void;
  progress: (attempt: GateTaskAttempt, generatedTokens: number) => void;
  /** The runner did not start the attempt; the gate answers with {@link GateTaskAttempt.refuse}. */
  notRun: (attempt: GateTaskAttempt, reason: 'refused' | 'unreachable', message: string) => void;
  completed: (attempt: GateTaskAttempt, cachedTokens: number) => void;
  failed: (attempt: GateTaskAttempt, failure: AttemptFailure) => void;
  resumed: (attempt: GateTaskAttempt, failure: AttemptFailure) => void;
  /** The last call for this attempt. */
  ended: (attempt: GateTaskAttempt, end: AttemptEnd) => void;
  /** The reader stopped reading while the attempt was running or waiting. */
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

/** Runs one attempt, from its request to its last event. */
export class GateTaskAttempt {
  readonly details: AttemptDetails;

  private readonly options: GateTaskAttemptOptions;

  private readonly controller = new AbortController();

  private phase: Phase = 'waiting';

  private stream: GateTaskStream;

  /** Number of the current read loop. It grows with each new loop, so that late events of older ones are dropped. */
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
   * @param options - the attempt, its runner, the listener and the limits.
   */
  constructor(options: GateTaskAttemptOptions) {
    this.options = options;
    this.details = options.details;
    this.stream = this.newStream();
  }

  /** @returns The events for the current reader of the attempt. */
  get events(): AsyncIterable<ExecuteEvent> {
    return this.stream;
  }

  /** @returns Whether the attempt was sent to the runner and has not ended. */
  get isRunning(): boolean {
    return this.phase === 'running';
  }

  /** @returns Whether the runner answered with a server error. */
  get isServerError(): boolean {
    return this.status >= FIRST_SERVER_ERROR;
  }

  /** @returns Whether the attempt was cancelled. */
  get isCancelled(): boolean {
    return this.stopReason === 'cancelled';
  }

  /**
   * Sends the attempt to the runner.
   *
   * @param attempt - the request for the runner.
   */
  start(attempt: UpstreamAttempt): void {
    this.run((signal) => this.options.upstream.run(attempt, signal));
  }

  /**
   * Continues an attempt for a new reader; an earlier reader or another holder of the gate had started it.
   *
   * @param afterSequence - the sequence number of the last chunk that the new reader has received.
   * @returns The events for the new reader; the stream of an earlier reader ends.
   */
  continueAfter(afterSequence: number): AsyncIterable<ExecuteEvent> {
    this.stream.push(supersededEvent(this.details.attemptId));
    this.stream.end();
    this.stream = this.newStream();
    this.lastSequence = afterSequence;
    this.begun = false;
    this.resumes = 0;
    this.resumeAtRunner();
    return this.stream;
  }

  /**
   * Ends an attempt that did not run.
   *
   * @param details - the reason, and the load and Retry-After to report.
   */
  refuse(details: RefusalDetails): void {
    if (this.phase === 'ended') return;
    const reason = this.isCancelled ? 'cancelled' : details.reason;
    this.end(refusedEvent({ ...details, reason }));
  }

  /** Cancels the attempt at the runner; its last event follows at once. */
  cancel(): void {
    this.stop('cancelled');
  }

  /** Marks the attempt as cancelled, so that a refusal that follows gets the reason `cancelled`. */
  markCancelled(): void {
    this.stopReason ??= 'cancelled';
  }

  private newStream(): GateTaskStream {
    const { maximumBufferedBytes, listener } = this.options;
    return new GateTaskStream({ maximumBufferedBytes, onReaderLeft: () => listener.left(this) });
  }

  private run(source: Source): void {
    this.phase = 'running';
    this.armDeadline();
    this.reading += 1;
    void this.read(source, this.reading);
  }

  private resumeAtRunner(): void {
    const { attemptId } = this.details;
    // Not awaited: a generator that waits for an unresponsive runner ends only with the runner's next event.
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
        if (this.isStaleRead(reading)) return;
        if (step.done) throw new Error('the runner ended the answer without saying how');
        this.handleEvent(step.value);
        await this.stream.waitForRoom();
        if (this.isStaleRead(reading)) return;
      }
    } catch (error) {
      if (this.isStaleRead(reading)) return;
      const message = error instanceof Error ? error.message : String(error);
      this.fail({ reason: 'malformed', message, resumable: false });
    }
  }

  private isStaleRead(reading: number): boolean {
    return reading !== this.reading || this.phase === 'ended';
  }

  private handleEvent(event: UpstreamEvent): void {
    const { attemptId } = this.details;
    if (event.kind === 'started') this.handleStarted(event);
    if (event.kind === 'chunk') this.handleChunk(event);
    if (event.kind === 'completed') {
      this.options.listener.completed(this, event.promptTokens + event.generatedTokens);
      this.end(completedEvent(attemptId, event), 'completed');
    }
    if (event.kind === 'not_run') {
      this.options.listener.notRun(this, event.reason, event.message);
    }
    if (event.kind === 'failed') this.fail(event);
  }

  private handleStarted(event: Extract<UpstreamEvent, { kind: 'started' }>): void {
    // A resumed stream starts again, but the reader has already received the start.
    if (this.begun) return;
    this.begun = true;
    this.status = event.status;
    const { attemptId, runnerId } = this.details;
    if (!this.isResumed) this.options.listener.started(this, event.cachedTokens);
    this.stream.push(startedEvent(attemptId, runnerId, event));
  }

  private handleChunk(event: Extract<UpstreamEvent, { kind: 'chunk' }>): void {
    if (event.sequence <= this.lastSequence) return;
    this.lastSequence = event.sequence;
    this.stream.push(chunkEvent(this.details.attemptId, event));
    const report = this.details.streaming && event.sequence % CHUNKS_PER_PROGRESS === 0;
    if (report) this.options.listener.progress(this, event.sequence);
  }

  private fail(failure: AttemptFailure): void {
    const { listener, maximumResumes, clock } = this.options;
    // The upstream adapter has the same deadline. If its timer fires first, the failure still counts as a
    // passed deadline and not as a failure of the runner.
    const left = this.details.deadline - clock.monotonicMilliseconds();
    if (left <= DEADLINE_SLACK_MILLISECONDS) this.stopReason ??= 'deadline';
    if (!this.stopReason) listener.failed(this, failure);
    const again = !this.stopReason && this.resumes < maximumResumes && shouldResume(failure);
    if (again) {
      this.scheduleResume(failure);
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

  private scheduleResume(failure: AttemptFailure): void {
    const wait = INITIAL_RESUME_BACKOFF_MILLISECONDS * 2 ** this.resumes;
    this.resumes += 1;
    this.reading += 1;
    this.resumeTimer = setTimeout(() => {
      this.resumeTimer = undefined;
      this.options.listener.resumed(this, failure);
      this.resumeAtRunner();
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
    // Aborting makes the adapter cancel an attempt that it started itself; a resumed one must be cancelled
    // by its id.
    this.controller.abort();
    if (this.isResumed) void this.options.upstream.cancel(this.details.attemptId);
    this.stream.removeLimit();
    if (!this.resumeTimer) return;
    clearTimeout(this.resumeTimer);
    this.fail({
      reason: 'cut',
      message: `${reason} while cut off`,
      resumable: false,
    });
  }

  private end(event: ExecuteEvent, end?: AttemptEnd): void {
    this.phase = 'ended';
    clearTimeout(this.deadlineTimer);
    clearTimeout(this.resumeTimer);
    this.stream.push(event);
    this.stream.end();
    // Makes the adapter's generator close its connection.
    void this.iterator?.return?.().catch(() => {});
    this.options.listener.ended(this, end ?? 'failed');
  }
}
