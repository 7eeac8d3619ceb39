/**
 * A scripted upstream for tests of gates: the test decides what the runner answers, and when.
 */
import type { LoadReport } from './gateTypes.js';
import { Upstream } from '../upstreams/Upstream.js';
import type {
  CacheEvent,
  OrderResult,
  UpstreamAttempt,
  UpstreamEvent,
  UpstreamState,
} from '../upstreams/Upstream.js';

/** @returns The first event of an answer, with status 200. */
export function startedAnswer(): Extract<UpstreamEvent, { kind: 'started' }> {
  return { kind: 'started', status: 200, headers: [], cachedTokens: 10 };
}

/**
 * Creates a chunk event.
 *
 * @param sequence - the sequence number of the chunk.
 * @param bytes - the size of the chunk.
 * @returns The event.
 */
export function chunkOf(sequence: number, bytes = 1): UpstreamEvent {
  return { kind: 'chunk', sequence, data: new Uint8Array(bytes).fill(sequence) };
}

/**
 * Creates the last event of a complete answer.
 *
 * @param lastSequence - the sequence number of the last chunk.
 * @returns The event.
 */
export function completedAnswer(lastSequence: number): UpstreamEvent {
  return {
    kind: 'completed',
    promptTokens: 90,
    generatedTokens: 10,
    cachedTokens: 0,
    lastSequence,
  };
}

/**
 * Creates the last event of an answer whose connection was cut.
 *
 * @param resumable - whether the runner keeps the stream, so that it can be resumed.
 * @returns The event.
 */
export function cutAnswer(resumable: boolean): UpstreamEvent {
  return { kind: 'failed', reason: 'cut', message: 'cut', resumable };
}

async function* streamOf(bytes: Uint8Array): AsyncGenerator<Uint8Array, void, undefined> {
  yield bytes;
}

/** One call of `run` or `resume` by the gate; the test sets its events. */
export class TestCall implements AsyncIterableIterator<UpstreamEvent> {
  readonly attemptId: string;

  readonly signal: AbortSignal;

  /** The last chunk that the gate has; undefined for a `run`. */
  readonly afterSequence: number | undefined;

  /** Number of events that the gate has requested. */
  pulled = 0;

  /** Whether the gate stopped reading before the end. */
  left = false;

  private endlessEvent: ((index: number) => UpstreamEvent) | undefined;

  private readonly events: UpstreamEvent[] = [];

  private waitingReader: ((result: IteratorResult<UpstreamEvent>) => void) | undefined;

  constructor(attemptId: string, signal: AbortSignal, afterSequence?: number) {
    this.attemptId = attemptId;
    this.signal = signal;
    this.afterSequence = afterSequence;
    signal.addEventListener('abort', () => this.answer(cutAnswer(false)));
  }

  /**
   * Adds the next events of the runner.
   *
   * @param events - the events.
   */
  answer(...events: readonly UpstreamEvent[]): void {
    this.events.push(...events);
    const deliver = this.waitingReader;
    const next = this.events.shift();
    if (!deliver || !next) {
      if (next) this.events.unshift(next);
      return;
    }
    this.waitingReader = undefined;
    deliver({ value: next, done: false });
  }

  /**
   * Answers each request for an event with a new one, without an end.
   *
   * @param make - creates the event for the given request, numbered from 1.
   */
  answerEndlessly(make: (index: number) => UpstreamEvent): void {
    this.endlessEvent = make;
  }

  next(): Promise<IteratorResult<UpstreamEvent>> {
    this.pulled += 1;
    const event = this.events.shift() ?? this.endlessEvent?.(this.pulled);
    if (event) return Promise.resolve({ value: event, done: false });
    return new Promise((resolve) => {
      this.waitingReader = resolve;
    });
  }

  return(): Promise<IteratorResult<UpstreamEvent>> {
    this.left = true;
    return Promise.resolve({ value: undefined, done: true });
  }

  [Symbol.asyncIterator](): this {
    return this;
  }
}

/** Records all calls, and answers as the test sets it. */
export class TestUpstream extends Upstream {
  readonly runs: TestCall[] = [];

  readonly resumes: TestCall[] = [];

  readonly cancelled: string[] = [];

  readonly imported: { readonly chat: string; readonly bytes: number }[] = [];

  /** Whether load reports are answered; otherwise they fail. */
  answersReports = true;

  cacheEvents: readonly CacheEvent[] = [];

  /** The cache that `exportCache` returns for any chat. */
  exported: Uint8Array | undefined;

  closed = false;

  /** Called for each `run`. */
  onRun: (call: TestCall, attempt: UpstreamAttempt) => void = () => {};

  override run(attempt: UpstreamAttempt, signal: AbortSignal): AsyncIterable<UpstreamEvent> {
    const call = new TestCall(attempt.attemptId, signal);
    this.runs.push(call);
    this.onRun(call, attempt);
    return call;
  }

  override resume(
    attemptId: string,
    afterSequence: number,
    signal: AbortSignal,
  ): AsyncIterable<UpstreamEvent> {
    const call = new TestCall(attemptId, signal, afterSequence);
    this.resumes.push(call);
    return call;
  }

  override async cancel(attemptId: string): Promise<boolean> {
    this.cancelled.push(attemptId);
    return true;
  }

  override async readLoad(): Promise<LoadReport> {
    if (!this.answersReports) throw new Error('the test runner does not answer load reports');
    return { load: 0, running: 0, queued: 0, ageMilliseconds: 0, tokensPerSecond: 1_000 };
  }

  override async readCacheEvents(after: number): Promise<readonly CacheEvent[]> {
    return this.cacheEvents.filter(({ number }) => number > after);
  }

  override async readState(): Promise<UpstreamState> {
    return { model: 'm', versions: [], adapters: [], role: 'mixed', loading: [] };
  }

  override async order(): Promise<OrderResult> {
    return { kind: 'accepted' };
  }

  override async exportCache(): Promise<AsyncIterable<Uint8Array> | undefined> {
    return this.exported && streamOf(this.exported);
  }

  override async importCache(chat: string, cache: AsyncIterable<Uint8Array>): Promise<number> {
    let bytes = 0;
    for await (const part of cache) bytes += part.byteLength;
    this.imported.push({ chat, bytes });
    return 1;
  }

  override close(): void {
    this.closed = true;
  }
}
