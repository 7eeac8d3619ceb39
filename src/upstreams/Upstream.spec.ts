import net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { after, afterEach, before, describe, it } from 'node:test';

import { expect } from 'earl';

import { expectedAnswer } from '../../standIns/runners/completionRequest.js';
import { EngineStandIn } from '../../standIns/runners/EngineStandIn.js';
import { PlainStandIn } from '../../standIns/runners/PlainStandIn.js';
import type { RunnerFaultsInput } from '../../standIns/runners/runnerFaults.js';
import type { RunnerServer } from '../../standIns/runners/RunnerServer.js';
import { EngineUpstream } from './EngineUpstream.js';
import { PlainUpstream } from './PlainUpstream.js';
import { ATTEMPT_ID_HEADER } from './runnerProtocol.js';
import {
  createAttempt,
  LONG_DEADLINE_MILLISECONDS,
  outcomeOf,
  readAll,
  textOf,
  TOKENS_PER_ATTEMPT,
} from './testAttempts.js';
import type { AttemptShape } from './testAttempts.js';
import type { Upstream, UpstreamAttempt, UpstreamEvent } from './Upstream.js';

/** Deadline that is longer than any answer of the stand-ins takes, except that of a frozen one. */
const FROZEN_DEADLINE_MILLISECONDS = 500;

/** Much less than a deadline, in ms. */
const AT_ONCE_MILLISECONDS = 2_000;

interface FaultCase {
  readonly fault: string;
  readonly faults: RunnerFaultsInput;
  /** Expected outcome for each kind of call to which the fault applies. */
  readonly outcomes: Partial<Record<AttemptShape, string>>;
  /** How often the runner must have executed the attempt. */
  readonly executions: number;
  readonly deadlineMilliseconds?: number;
}

// Guards against an upstream that reports "not run" or "completed" without proof. A caller would then repeat a
// reservation that was made, read another caller's answer, or take half an answer for a whole one. It can happen when a
// runner answers late, in part, not at all or with the answer of another attempt, or refuses before or after it ran.
const CASES: readonly FaultCase[] = [
  {
    fault: 'none',
    faults: {},
    outcomes: { stream: 'completed', whole: 'completed', change: 'completed' },
    executions: 1,
  },
  {
    fault: 'late',
    faults: { lateMilliseconds: 30 },
    outcomes: { stream: 'completed', whole: 'completed', change: 'completed' },
    executions: 1,
  },
  {
    fault: 'slow',
    faults: { slowMilliseconds: 3 },
    outcomes: { stream: 'completed', whole: 'completed', change: 'completed' },
    executions: 1,
  },
  {
    fault: 'late beyond the deadline',
    faults: { lateMilliseconds: LONG_DEADLINE_MILLISECONDS },
    outcomes: {
      stream: 'failed:timeout:resumable',
      whole: 'failed:timeout',
      change: 'failed:timeout',
    },
    executions: 1,
    deadlineMilliseconds: FROZEN_DEADLINE_MILLISECONDS,
  },
  {
    fault: 'the answer of another attempt',
    faults: { crossed: 'head' },
    outcomes: {
      stream: 'failed:crossed:resumable',
      whole: 'failed:crossed',
      change: 'failed:crossed',
    },
    executions: 1,
  },
  {
    fault: 'chunks of another attempt within the stream',
    faults: { crossed: 'stream' },
    outcomes: { stream: 'failed:crossed:resumable' },
    executions: 1,
  },
  {
    fault: 'cut',
    faults: { cutAfterChunks: 2 },
    outcomes: { stream: 'failed:cut:resumable', whole: 'failed:cut', change: 'failed:cut' },
    executions: 1,
  },
  {
    fault: 'ended in good order without its end event',
    faults: { endAfterChunks: 2 },
    outcomes: { stream: 'failed:cut:resumable' },
    executions: 1,
  },
  {
    fault: 'a chunk left out',
    faults: { skipChunk: 3 },
    outcomes: { stream: 'failed:cut:resumable' },
    executions: 1,
  },
  {
    fault: 'the last chunk left out',
    faults: { skipChunk: TOKENS_PER_ATTEMPT },
    outcomes: { stream: 'failed:cut:resumable' },
    executions: 1,
  },
  {
    fault: 'frozen before the start',
    faults: { frozen: true },
    outcomes: {
      stream: 'failed:timeout:resumable',
      whole: 'failed:timeout',
      change: 'failed:timeout',
    },
    executions: 0,
    deadlineMilliseconds: FROZEN_DEADLINE_MILLISECONDS,
  },
  {
    fault: 'refusing before the start',
    faults: { refusing: 'before_start' },
    outcomes: { stream: 'not_run:refused', whole: 'not_run:refused', change: 'not_run:refused' },
    executions: 0,
  },
  {
    fault: 'an error that looks like a refusal',
    faults: { refusing: 'unclear' },
    outcomes: { stream: 'completed', whole: 'completed', change: 'completed' },
    executions: 1,
  },
  {
    fault: 'lost answer',
    faults: { lostAnswer: true },
    outcomes: { stream: 'failed:cut:resumable', whole: 'failed:cut', change: 'failed:cut' },
    executions: 1,
  },
];

const SHAPES: readonly AttemptShape[] = ['stream', 'whole', 'change'];

describe('Upstream', () => {
  const engine = new EngineStandIn({ stepMilliseconds: 1 });
  const plain = new PlainStandIn({ workMilliseconds: 1 });
  let engineUpstream: EngineUpstream;
  let plainUpstream: PlainUpstream;

  const runnerOf = (shape: AttemptShape): RunnerServer => (shape === 'change' ? plain : engine);
  const upstreamOf = (shape: AttemptShape): Upstream =>
    shape === 'change' ? plainUpstream : engineUpstream;
  const run = (attempt: UpstreamAttempt, shape: AttemptShape): Promise<UpstreamEvent[]> =>
    readAll(upstreamOf(shape).run(attempt, new AbortController().signal));

  before(async () => {
    await Promise.all([engine.listen(), plain.listen()]);
    engineUpstream = new EngineUpstream({ address: engine.address() });
    plainUpstream = new PlainUpstream({ address: plain.address(), attemptIdEcho: 'required' });
  });

  afterEach(() => {
    engine.setFaults({});
    plain.setFaults({});
  });

  after(async () => {
    engineUpstream.close();
    plainUpstream.close();
    await Promise.all([engine.close(), plain.close()]);
  });

  for (const { fault, faults, outcomes, executions, deadlineMilliseconds } of CASES) {
    for (const shape of SHAPES.filter((known) => outcomes[known])) {
      it(`${shape}, ${fault}: ${outcomes[shape]}`, async () => {
        const runner = runnerOf(shape);
        const attempt = createAttempt(shape, deadlineMilliseconds ? { deadlineMilliseconds } : {});
        runner.setFaults(faults);
        const events = await run(attempt, shape);
        expect(outcomeOf(events)).toEqual(outcomes[shape]!);
        expect(runner.executionsOf(attempt.attemptId)).toEqual(executions);
        runner.setFaults({});
        const own = expectedAnswer(attempt.body, TOKENS_PER_ATTEMPT);
        const isCompletion = shape !== 'change' && !fault.startsWith('an error');
        if (isCompletion) expect(own.startsWith(textOf(events, shape))).toEqual(true);
        if (fault === 'none' && shape !== 'change') expect(textOf(events, shape)).toEqual(own);
      });
    }
  }

  it('says "not run" when nobody listens', async () => {
    const gone = new EngineStandIn();
    await gone.listen();
    const address = gone.address();
    await gone.close();
    const upstream = new EngineUpstream({ address });
    const events = await readAll(
      upstream.run(createAttempt('stream'), new AbortController().signal),
    );
    expect(outcomeOf(events)).toEqual('not_run:unreachable');
    const resumed = await readAll(upstream.resume('x', 2, new AbortController().signal));
    expect(outcomeOf(resumed)).toEqual('failed:cut:resumable');
    upstream.close();
  });

  it('says "not run" when the connection fails at once', async () => {
    // Guards against a connection that was never opened and counts as one on which the request was sent.
    const upstream = new EngineUpstream({ address: '255.255.255.255:80' });
    const events = await readAll(
      upstream.run(createAttempt('stream'), new AbortController().signal),
    );
    expect(outcomeOf(events)).toEqual('not_run:unreachable');
    upstream.close();
  });

  it('does not say "not run" of a request that was written into a connection that then broke', async () => {
    // Guards against a reservation that runs twice: a keep-alive connection is reused, and the runner reads the
    // request, does the work and dies. The connection reset must not be taken for the closing of an idle connection.
    let requests = 0;
    const server = net.createServer((socket: Socket) => {
      socket.on('data', () => {
        requests += 1;
        if (requests === 1) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
        else socket.destroy();
      });
      socket.on('error', () => {});
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const upstream = new PlainUpstream({ address: `127.0.0.1:${port}` });
    const read = createAttempt('change', { method: 'GET', body: new Uint8Array() });
    const never = new AbortController().signal;
    expect(outcomeOf(await readAll(upstream.run(read, never)))).toEqual('completed');
    expect(outcomeOf(await readAll(upstream.run(read, never)))).toEqual('failed:cut');
    upstream.close();
    server.close();
  });

  const HEADS: readonly string[] = [
    'HTTP/1.1 2',
    'HTTP/1.1 200 OK\r\nOWN_ID\r\ncontent-le',
    'HTTP/1.1 200 OK\r\nOWN_ID\r\ncontent-length: 9\r\n\r',
    'HTTP/1.1 200 OK\r\nOWN_ID\r\n\r\n',
    'HTTP/1.1 200 OK\r\nOWN_ID\r\ncontent-length: 9\r\n\r\n',
    'HTTP/1.1 200 OK\r\nOWN_ID\r\ntransfer-encoding: chunked\r\n\r\n',
    'HTTP/1.1 500 No\r\nOWN_ID\r\n\r\nhalf an err',
    'HTTP/1.1 020 OK\r\nOWN_ID\r\ncontent-length: 0\r\n\r\n',
    'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n',
  ];

  for (const head of HEADS) {
    for (const shape of ['stream', 'whole', 'change'] as const) {
      // Guards against an answer that is taken for whole, or waited for until the deadline, where its head breaks off or is none.
      it(`fails at once after a part of an answer: ${JSON.stringify(head)}, ${shape}`, async () => {
        const attempt = createAttempt(shape, { deadlineMilliseconds: LONG_DEADLINE_MILLISECONDS });
        const server = net.createServer((socket: Socket) => {
          socket.on('error', () => {});
          socket.once('data', () => {
            socket.write(head.replace('OWN_ID', `${ATTEMPT_ID_HEADER}: ${attempt.attemptId}`));
            if (!head.includes('101')) socket.end();
          });
        });
        await new Promise<void>((resolve) => {
          server.listen(0, '127.0.0.1', resolve);
        });
        const { port } = server.address() as AddressInfo;
        const address = `127.0.0.1:${port}`;
        const upstream =
          shape === 'change' ? new PlainUpstream({ address }) : new EngineUpstream({ address });
        const startedAt = performance.now();
        const events = await readAll(upstream.run(attempt, new AbortController().signal));
        upstream.close();
        server.close();
        expect(outcomeOf(events).split(':', 1)).toEqual(['failed']);
        expect(performance.now() - startedAt).toBeLessThan(AT_ONCE_MILLISECONDS);
      });
    }
  }

  it('takes only IP numbers', () => {
    expect(() => new EngineUpstream({ address: 'runner.example:80' })).toThrow('not an IP number');
    expect(() => new EngineUpstream({ address: '127.0.0.1' })).toThrow('not an IP number');
  });
});
