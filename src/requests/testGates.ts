/**
 * Scripted gates, and runners that count their runs, for the specs of requests.
 */
import { create } from '@bufbuild/protobuf';

import { GatePort } from '../gates/GatePort.js';
import type { RefusalReason } from '../gates/gateTypes.js';
import type {
  CancelRequest,
  ExecuteEvent,
  ExecuteRequest,
  ResumeRequest,
} from '../generated/baobabdock/v1/peers_pb.js';
import { ExecuteEventSchema } from '../generated/baobabdock/v1/peers_pb.js';

type EventCase = NonNullable<ExecuteEvent['event']['case']>;

/**
 * @param kind - the case of the event.
 * @param value - the fields of the event.
 * @returns The event.
 */
export function gateEvent(kind: EventCase, value: object): ExecuteEvent {
  return create(ExecuteEventSchema, { event: { case: kind, value } as never });
}

/** The answer of every fake runner, chunk by chunk. */
export const ANSWER_CHUNKS = ['one ', 'two ', 'three'];

/** The body of a request is the name by which its runs are counted. */
function runNameOf(body: Uint8Array): string {
  return Buffer.from(body).toString();
}

function headOf(attemptId: string, runnerId: string): ExecuteEvent {
  return gateEvent('started', { attemptId, runnerId, status: 200, cachedTokens: 7 });
}

function chunkOf(attemptId: string, sequence: number): ExecuteEvent {
  const data = Buffer.from(ANSWER_CHUNKS[sequence - 1] ?? 'beyond');
  return gateEvent('chunk', { attemptId, sequence, data });
}

/** An attempt in the hands of a script: creates its events and runs it. */
export class FakeAttempt {
  readonly request: ExecuteRequest;

  readonly signal: AbortSignal;

  private readonly runners: FakeRunners;

  constructor(request: ExecuteRequest, signal: AbortSignal, runners: FakeRunners) {
    this.request = request;
    this.signal = signal;
    this.runners = runners;
  }

  /**
   * Runs the attempt at its runner: the run is counted, and the attempt can be resumed from now
   * on.
   */
  run(): void {
    this.runners.run(this.request);
  }

  /** Makes the runner drop the attempt, so that it can't be resumed any more. */
  dropAtRunner(): void {
    this.runners.known.delete(this.request.attemptId);
  }

  refused(reason: RefusalReason, retryAfterMilliseconds = 0): ExecuteEvent {
    return gateEvent('refused', { reason, retryAfterMilliseconds });
  }

  head(): ExecuteEvent {
    return headOf(this.request.attemptId, this.request.runnerId);
  }

  chunk(sequence: number, attemptId = this.request.attemptId): ExecuteEvent {
    return chunkOf(attemptId, sequence);
  }

  completed(lastSequence = ANSWER_CHUNKS.length): ExecuteEvent {
    return gateEvent('completed', { attemptId: this.request.attemptId, lastSequence });
  }

  /** Never returns, like a frozen process; it doesn't notice that its caller aborts. */
  async freeze(): Promise<never> {
    return new Promise<never>(() => {});
  }

  async wait(milliseconds: number): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    });
  }
}

/** Events that a gate sends for an attempt. */
export type GateScript = (attempt: FakeAttempt) => AsyncIterable<ExecuteEvent>;

/**
 * @param work - throws or never returns.
 * @returns A script that sends no event.
 */
export function withoutEvents(work: (attempt: FakeAttempt) => Promise<never>): GateScript {
  return (attempt) => ({ [Symbol.asyncIterator]: () => ({ next: () => work(attempt) }) });
}

/** Sends a full answer without any fault. */
export async function* healthy(attempt: FakeAttempt): AsyncGenerator<ExecuteEvent> {
  attempt.run();
  yield attempt.head();
  for (const [index] of ANSWER_CHUNKS.entries()) yield attempt.chunk(index + 1);
  yield attempt.completed();
}

/** Counts the runs of all runners and keeps the attempts that can be resumed. */
export class FakeRunners {
  /** Number of runs of each request, by its body. */
  readonly runs = new Map<string, number>();

  /** Ids of the attempts that can be resumed. */
  readonly known = new Set<string>();

  run({ attemptId, body }: ExecuteRequest): void {
    const name = runNameOf(body);
    this.runs.set(name, this.runsOf(name) + 1);
    this.known.add(attemptId);
  }

  runsOf(name: string): number {
    return this.runs.get(name) ?? 0;
  }
}

/**
 * Gates that use the given scripts, one for each attempt in turn, and {@link healthy} afterwards.
 */
export class FakeGates extends GatePort {
  readonly executed: ExecuteRequest[] = [];

  readonly resumed: ResumeRequest[] = [];

  readonly cancelled: CancelRequest[] = [];

  private scripts: GateScript[] = [];

  private resumeFaults: (Error | ExecuteEvent)[] = [];

  private readonly runners: FakeRunners;

  constructor(runners = new FakeRunners()) {
    super();
    this.runners = runners;
  }

  override execute(request: ExecuteRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    this.executed.push(request);
    const script = this.scripts.shift() ?? healthy;
    return script(new FakeAttempt(request, signal, this.runners));
  }

  /** Sets the scripts of the next attempts. */
  setScripts(...scripts: readonly GateScript[]): void {
    this.scripts = [...scripts];
  }

  /**
   * Sets the faults of the next resumes: an error that the call throws, or an event that is sent
   * instead of the stream.
   */
  failResumes(...faults: readonly (Error | ExecuteEvent)[]): void {
    this.resumeFaults = [...faults];
  }

  override async *resume(request: ResumeRequest): AsyncGenerator<ExecuteEvent> {
    this.resumed.push(request);
    const fault = this.resumeFaults.shift();
    if (fault instanceof Error) throw fault;
    const { attemptId, runnerId, afterSequence } = request;
    if (fault) {
      yield fault;
    } else if (!this.runners.known.has(attemptId)) {
      yield gateEvent('failed', { attemptId, code: 'cannot_resume', resumable: false });
    } else {
      yield headOf(attemptId, runnerId);
      for (let sequence = afterSequence + 1; sequence <= ANSWER_CHUNKS.length; sequence += 1) {
        yield chunkOf(attemptId, sequence);
      }
      yield gateEvent('completed', { attemptId, lastSequence: ANSWER_CHUNKS.length });
    }
  }

  override async cancel(request: CancelRequest): Promise<boolean> {
    this.cancelled.push(request);
    return true;
  }
}
