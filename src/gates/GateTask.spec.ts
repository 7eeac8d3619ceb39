import { afterEach, describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { expect } from 'earl';

import { ExecuteRequestSchema, ResumeRequestSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { ExecuteEvent, ExecuteRequest } from '../generated/baobabdock/v1/peers_pb.js';
import { Log } from '../logging/Log.js';
import type { LogFields } from '../logging/Log.js';
import type { LogEvent } from '../logging/logEvent.js';
import { SystemClock } from '../time/SystemClock.js';
import { gatesFeature } from './gatesFeature.js';
import type { GatesSettings } from './gatesFeature.js';
import { GateTask } from './GateTask.js';
import {
  startedAnswer,
  chunkOf,
  cutAnswer,
  TestUpstream,
  completedAnswer,
} from './GateTaskTestUpstream.js';

/** Ends a test that would wait for ever because an event was lost. */
const TEST_TIMEOUT_MILLISECONDS = 30_000;

/** Long enough never to pass during a test. */
const LONG_MILLISECONDS = 3_600_000;

class RecordingLog extends Log {
  readonly lines: string[] = [];

  override write({ name }: LogEvent, { attempt = '', reason = '' }: LogFields = {}): void {
    this.lines.push([name, attempt, reason].filter(Boolean).join(' '));
  }
}

interface Gate {
  readonly task: GateTask;
  readonly upstream: TestUpstream;
  readonly log: RecordingLog;
  readonly told: string[];
}

function gateOf(settings: Partial<GatesSettings> = {}): Gate {
  const upstream = new TestUpstream();
  const log = new RecordingLog();
  const told: string[] = [];
  const task = new GateTask({
    runnerId: 'runner-1',
    service: 'chats',
    isEngine: true,
    upstream,
    clock: new SystemClock(),
    log,
    settings: {
      ...gatesFeature.settings.parse({}),
      loadReportMilliseconds: LONG_MILLISECONDS,
      cacheEventsMilliseconds: LONG_MILLISECONDS,
      ...settings,
    },
    onCacheChanged: (changes) =>
      told.push(...changes.map(({ chat, cachedTokens }) => `${chat} ${cachedTokens}`)),
  });
  task.open([]);
  return { task, upstream, log, told };
}

function requestOf(
  attemptId: string,
  changes: MessageInitShape<typeof ExecuteRequestSchema> = {},
): ExecuteRequest {
  return create(ExecuteRequestSchema, {
    attemptId,
    requestId: `request of ${attemptId}`,
    clientAccount: 'tiles',
    runnerId: 'runner-1',
    chat: `chat of ${attemptId}`,
    priority: 'standard',
    deadlineMilliseconds: 20_000,
    idempotent: true,
    streaming: true,
    promptTokens: 100,
    maximumTokens: 20,
    bound: 1.25,
    lastChoice: true,
    accountWeight: 1,
    ...changes,
  });
}

function textOf({ event }: ExecuteEvent): string {
  if (event.case === 'chunk') return String(event.value.sequence);
  if (event.case === 'refused') return `refused ${event.value.reason}`;
  if (event.case === 'failed') {
    return `failed ${event.value.code}${event.value.resumable ? ' resumable' : ''}`;
  }
  return event.case ?? 'nothing';
}

async function readAll(events: AsyncIterable<ExecuteEvent>): Promise<string[]> {
  const all: string[] = [];
  for await (const event of events) all.push(textOf(event));
  return all;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await nextTurn();
}

const neverAborted = (): AbortSignal => new AbortController().signal;

describe(GateTask.name, { timeout: TEST_TIMEOUT_MILLISECONDS }, () => {
  const gates: Gate[] = [];
  const open = (settings: Partial<GatesSettings> = {}): Gate => {
    const gate = gateOf(settings);
    gates.push(gate);
    return gate;
  };
  const resumeOf = (clientAccount: string, afterSequence: number) =>
    create(ResumeRequestSchema, {
      attemptId: 'a',
      runnerId: 'runner-1',
      clientAccount,
      afterSequence,
      deadlineMilliseconds: 20_000,
    });

  afterEach(() => {
    for (const { task } of gates.splice(0)) task.stop();
  });

  it('runs an attempt, logs the decision and reports the cached tokens of the chat', async () => {
    const { task, upstream, log, told } = open();
    upstream.onRun = (call) =>
      call.answer(startedAnswer(), chunkOf(1), chunkOf(2), completedAnswer(2));
    const events = await readAll(task.execute(requestOf('a'), neverAborted()));
    expect(events).toEqual(['started', '1', '2', 'completed']);
    expect(log.lines).toEqual(['gates.started a']);
    expect(told).toEqual(['chat of a 100']);
    expect(task.heldWork()).toEqual([]);
  });

  it('answers "not run" when the runner had not started it, and counts it no longer', async () => {
    const { task, upstream } = open();
    upstream.onRun = (call) => call.answer({ kind: 'not_run', reason: 'refused', message: '' });
    const events = await readAll(task.execute(requestOf('a'), neverAborted()));
    expect(events).toEqual(['refused runner_refused']);
    expect(task.heldWork()).toEqual([]);
    expect(task.inProgress).toEqual(0);
  });

  it('takes a cut stream up again where it broke', async () => {
    // Guards against a reader that gets a token twice or misses one: the stream is cut after chunk 2, and the
    // runner repeats chunk 2 when it is resumed. This happens if sequence numbers are not compared.
    const { task, upstream, log } = open();
    upstream.onRun = (call) =>
      call.answer(startedAnswer(), chunkOf(1), chunkOf(2), cutAnswer(true));
    const reading = readAll(task.execute(requestOf('a'), neverAborted()));
    await waitUntil(() => upstream.resumes.length === 1);
    expect(upstream.resumes[0]!.afterSequence).toEqual(2);
    upstream.resumes[0]!.answer(startedAnswer(), chunkOf(2), chunkOf(3), completedAnswer(3));
    expect(await reading).toEqual(['started', '1', '2', '3', 'completed']);
    expect(upstream.runs.length).toEqual(1);
    expect(log.lines.includes('upstreams.resumed a cut')).toEqual(true);
  });

  for (const reason of ['cut', 'timeout', 'crossed', 'malformed', 'unknown_attempt'] as const) {
    it(`never repeats what may not be repeated, nor says "not run" of it: ${reason}`, async () => {
      // Guards against a reservation that is made twice: it is sent, its answer is lost, and the gate either
      // reports it as not run, so that the caller repeats it, or repeats it itself.
      const { task, upstream } = open();
      const message = reason;
      upstream.onRun = (call) => call.answer({ kind: 'failed', reason, message, resumable: false });
      const request = requestOf('a', { idempotent: false, streaming: false });
      expect(await readAll(task.execute(request, neverAborted()))).toEqual([
        'failed outcome_unknown',
      ]);
      expect(upstream.runs.length + upstream.resumes.length).toEqual(1);
    });
  }

  it('reports that a stream cannot be resumed when its runner has dropped it', async () => {
    // Guards against a caller that is told again and again to resume a stream that no longer exists: the
    // stream of a request that is not idempotent is cut, and the runner drops it before it is resumed. This
    // happens if the rule for such requests goes before the runner's answer, which then counts as another cut.
    const { task, upstream } = open();
    upstream.onRun = (call) => call.answer(startedAnswer(), chunkOf(1), cutAnswer(true));
    const request = requestOf('a', { idempotent: false, streaming: true });
    const reading = readAll(task.execute(request, neverAborted()));
    await waitUntil(() => upstream.resumes.length === 1);
    const message = 'status 404';
    const gone = { kind: 'failed', reason: 'unknown_attempt', message, resumable: false } as const;
    upstream.resumes[0]!.answer(gone);
    expect(await reading).toEqual(['started', '1', 'failed cannot_resume']);
    expect(upstream.runs.length).toEqual(1);
  });

  it('does not run a doubled attempt', async () => {
    // Guards against a runner that does the work twice: the message of the attempt arrives twice, and the
    // second one counts as a new attempt. Refusing it as not run would be wrong too.
    const { task, upstream } = open();
    void task.execute(requestOf('a'), neverAborted());
    expect(await readAll(task.execute(requestOf('a'), neverAborted()))).toEqual([
      'failed outcome_unknown',
    ]);
    expect(upstream.runs.length).toEqual(1);
  });

  it('cancels an aborted attempt at the runner, and never starts one that was cancelled while it waited', async () => {
    const { task, upstream } = open({ maximumConcurrentPerRunner: 1 });
    const running = new AbortController();
    const waiting = new AbortController();
    const first = readAll(task.execute(requestOf('a'), running.signal));
    const second = readAll(task.execute(requestOf('b'), waiting.signal));
    waiting.abort();
    expect(await second).toEqual(['refused cancelled']);
    running.abort();
    expect(await first).toEqual(['failed cancelled']);
    expect(upstream.runs.map(({ attemptId, signal }) => [attemptId, signal.aborted])).toEqual([
      ['a', true],
    ]);
  });

  it('refuses an attempt whose cancellation arrived first', async () => {
    // Guards against a runner that works on an attempt without a caller: the cancellation arrives on another
    // connection before its attempt, and is forgotten because the attempt is unknown.
    const { task, upstream } = open();
    await task.cancel({
      attemptId: 'a',
      runnerId: 'runner-1',
      $typeName: 'baobabdock.v1.CancelRequest',
    });
    expect(await readAll(task.execute(requestOf('a'), neverAborted()))).toEqual([
      'refused cancelled',
    ]);
    expect(upstream.runs.length).toEqual(0);
  });

  it('answers at once when the deadline passes at an unresponsive runner', async () => {
    const { task, upstream } = open();
    const request = requestOf('a', { deadlineMilliseconds: 30 });
    expect(await readAll(task.execute(request, neverAborted()))).toEqual([
      'failed deadline_exceeded',
    ]);
    expect(upstream.runs[0]!.signal.aborted).toEqual(true);
  });

  it('keeps a stream whose reader went, for its own account only', async () => {
    // Guards against a stream that ends with the daemon that reads it: the daemon crashes, and the caller
    // comes back through another one, but the gate has already cancelled the attempt without a reader.
    const { task, upstream } = open();
    upstream.onRun = (call) => call.answer(startedAnswer(), chunkOf(1), chunkOf(2));
    const stream = task.execute(requestOf('a'), neverAborted())[Symbol.asyncIterator]();
    await stream.next();
    await stream.return?.();
    const stranger = await readAll(task.resume(resumeOf('parcels', 1), neverAborted()));
    expect(stranger).toEqual(['failed cannot_resume']);
    const reading = readAll(task.resume(resumeOf('tiles', 1), neverAborted()));
    upstream.resumes[0]!.answer(startedAnswer(), chunkOf(2), chunkOf(3), completedAnswer(3));
    expect(await reading).toEqual(['started', '2', '3', 'completed']);
    expect(upstream.cancelled).toEqual([]);
    expect(task.heldWork()).toEqual([]);
  });

  it('cancels a stream that got no new reader in time', async () => {
    const { task, upstream } = open({ orphanMilliseconds: 5 });
    const stream = task.execute(requestOf('a'), neverAborted())[Symbol.asyncIterator]();
    await stream.return?.();
    await waitUntil(() => task.inProgress === 0);
    expect(upstream.runs[0]!.signal.aborted).toEqual(true);
  });

  it('stops reading from the runner when the buffer of a slow reader is full', async () => {
    // Guards against unlimited memory use of a daemon with slow callers: a runner generates fast, a reader
    // stops reading, and the gate reads ahead without a limit.
    const { task, upstream } = open({ maximumBufferedBytes: 1_000 });
    upstream.onRun = (call) =>
      call.answerEndlessly((index) => (index === 1 ? startedAnswer() : chunkOf(index - 1, 100)));
    const stream = task.execute(requestOf('a'), neverAborted())[Symbol.asyncIterator]();
    for (let turn = 0; turn < 200; turn += 1) await nextTurn();
    expect(upstream.runs[0]!.pulled).toEqual(12);
    for (let index = 0; index < 5; index += 1) await stream.next();
    for (let turn = 0; turn < 200; turn += 1) await nextTurn();
    expect(upstream.runs[0]!.pulled < 20).toEqual(true);
    await stream.return?.();
    task.stop();
  });

  it('ejects a runner that fails repeatedly, and readmits it after an answered report', async () => {
    const { task, upstream, log } = open({
      failuresUntilEjection: 3,
      ejectionMilliseconds: 1,
      loadReportMilliseconds: 2,
    });
    task.updateRunner('live', 1);
    upstream.answersReports = false;
    await waitUntil(() => log.lines.includes('gates.runner_ejected'));
    expect(await readAll(task.execute(requestOf('a'), neverAborted()))).toEqual([
      'refused runner_down',
    ]);
    upstream.answersReports = true;
    await waitUntil(() => log.lines.includes('gates.runner_returned'));
    upstream.onRun = (call) => call.answer(startedAnswer(), completedAnswer(0));
    const events = await readAll(task.execute(requestOf('b'), neverAborted()));
    expect(events).toEqual(['started', 'completed']);
  });

  it('ejects a runner that answers only with server errors, and leaves its cached chats unchanged', async () => {
    // Guards against a broken runner that attracts work for hours: it answers each request at once and
    // completely, but with status 500, and a complete answer counts as a sign of health.
    const { task, upstream, told } = open({ failuresUntilEjection: 3 });
    task.updateRunner('live', 1);
    upstream.onRun = (call) => call.answer(startedAnswer(), completedAnswer(0));
    await readAll(task.execute(requestOf('good'), neverAborted()));
    const end = { kind: 'completed', promptTokens: 0, generatedTokens: 0 } as const;
    upstream.onRun = (call) =>
      call.answer(
        { ...startedAnswer(), status: 500 },
        { ...end, cachedTokens: 0, lastSequence: 0 },
      );
    for (const id of ['a', 'b', 'c']) {
      await readAll(task.execute(requestOf(id, { chat: 'chat of good' }), neverAborted()));
    }
    expect(await readAll(task.execute(requestOf('d'), neverAborted()))).toEqual([
      'refused runner_down',
    ]);
    expect(told).toEqual(['chat of good 100']);
  });

  it('gives a leaving runner no new work, whatever is said of that incarnation later', async () => {
    const { task } = open();
    task.updateRunner('leaving', 5);
    task.updateRunner('live', 5);
    expect(await readAll(task.execute(requestOf('a'), neverAborted()))).toEqual([
      'refused runner_leaving',
    ]);
  });
});
