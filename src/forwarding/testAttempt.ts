/**
 * Test helper: sends one attempt to a server in the test that acts as the runner.
 */
import type { IncomingMessage } from 'node:http';

import { Runner } from '../runners/Runner.js';
import { SystemClock } from '../time/SystemClock.js';
import { CONNECT_TIMEOUT_MILLISECONDS } from './probeRunner.js';
import { RunnerAgent } from './RunnerAgent.js';
import type { AttemptFailure } from './RunnerAttempt.js';
import { AttemptObserver, RunnerAttempt } from './RunnerAttempt.js';
import { TestProtocol } from './testProtocol.js';

/** Result of an attempt. */
export interface AttemptResult {
  readonly outcome: 'ended' | AttemptFailure;
  readonly status: number;
  readonly body: string;
}

class CollectingObserver extends AttemptObserver {
  private status = 0;

  private readonly chunks: Buffer[] = [];

  private readonly done: (result: AttemptResult) => void;

  constructor(done: (result: AttemptResult) => void) {
    super();
    this.done = done;
  }

  override answered(_attempt: RunnerAttempt, answer: IncomingMessage): void {
    this.status = answer.statusCode ?? 0;
  }

  override received(_attempt: RunnerAttempt, chunk: Buffer): void {
    this.chunks.push(chunk);
  }

  override ended(): void {
    this.finish('ended');
  }

  override failed(_attempt: RunnerAttempt, failure: AttemptFailure): void {
    this.finish(failure);
  }

  private finish(outcome: AttemptResult['outcome']): void {
    this.done({ outcome, status: this.status, body: Buffer.concat(this.chunks).toString() });
  }
}

/** Options of {@link attemptAt}. */
export interface AttemptAtOptions {
  /** IP address of the runner; loopback by default. */
  host?: string;
  port: number;
  target?: string;
  requestId?: string;
  /** Sent with its length; without it, the request has no body. */
  body?: Buffer;
  agent?: RunnerAgent;
  /** Whether the daemon reaches no runner. */
  isPathLost?: boolean;
  /** Given the attempt before it is sent. */
  onAttempt?: (attempt: RunnerAttempt) => void;
}

/**
 * @param options - port of the runner, and the request.
 * @returns Result of the attempt.
 */
export function attemptAt({
  host = '127.0.0.1',
  port,
  target = '/',
  requestId = 'r-1',
  body,
  agent = new RunnerAgent(),
  isPathLost = false,
  onAttempt = () => undefined,
}: AttemptAtOptions): Promise<AttemptResult> {
  const entry = { id: 'runner-1', life: 'runner-1', service: 'plain', dataCentre: 'here' } as const;
  const runner = new Runner({ ...entry, host, port, state: 'ready' });
  return new Promise((done) => {
    const attempt = new RunnerAttempt({
      runner,
      agent,
      statements: { take: () => undefined },
      protocol: new TestProtocol(),
      clock: new SystemClock(),
      link: { ask: (_suspect, listener) => listener(true), accepted: () => undefined, isPathLost },
      connectMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      observer: new CollectingObserver(done),
      method: body ? 'POST' : 'GET',
      target,
      headers: [
        ...['Host', 'plain.example', 'Request-Id', requestId],
        ...(body ? ['Content-Length', String(body.length)] : []),
      ],
      body,
      requestId,
    });
    onAttempt(attempt);
    attempt.start();
  });
}
