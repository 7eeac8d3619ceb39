/**
 * One request sent to one runner, from the connection to the last byte of the answer.
 */
import { request as sendRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';
import type { LinkCheck } from './LinkCheck.js';
import { isRunnersError, probeRunner } from './probeRunner.js';
import type { ProbeResult } from './probeRunner.js';
import type { RunnerAgent } from './RunnerAgent.js';
import type { RunnerProtocol } from './RunnerProtocol.js';
import type { RunnerStatements } from './RunnerStatements.js';

/**
 * How an attempt failed. It did not run after `not_connected` (the runner's instance refused the connection),
 * `connect_timeout` (it was not accepted in time, or this instance could open none) and `refused`; after `broken`,
 * `silent` and `stray_answer` (another request's answer, or one without a signature) the runner may have run it.
 */
export type AttemptFailure =
  'not_connected' | 'connect_timeout' | 'refused' | 'broken' | 'silent' | 'stray_answer';

/**
 * How a request that its runner says nothing for stands now. `not_silent`: something has come since, or there is no
 * other runner that may go on; `give_up`: the runner has kept it too long, even if it accepts connections.
 */
export type SilenceQuestion = () => 'not_silent' | 'wait' | 'give_up';

/** Hears what comes of an attempt; after `ended` or `failed` nothing more. */
export abstract class AttemptObserver {
  /** The answer's head is there. */
  abstract answered(attempt: RunnerAttempt, answer: IncomingMessage): void;

  /** Bytes of the body are there. */
  abstract received(attempt: RunnerAttempt, chunk: Buffer): void;

  /** The answer is complete. */
  abstract ended(attempt: RunnerAttempt): void;

  /** There will be no complete answer. */
  abstract failed(attempt: RunnerAttempt, failure: AttemptFailure): void;
}

/** Options of a {@link RunnerAttempt}. */
export interface RunnerAttemptOptions {
  runner: Runner;
  /** Kept connections; `false` for a new one that is not kept. */
  agent: RunnerAgent | false;
  protocol: RunnerProtocol;
  clock: Clock;
  /** Hears what the runner says of itself. */
  statements: Pick<RunnerStatements, 'take'>;
  /** Tells a dark runner from a full link of this daemon's own. */
  link: Pick<LinkCheck, 'ask' | 'accepted'>;
  /** How long a new connection may take, in ms. */
  connectMilliseconds: number;
  observer: AttemptObserver;
  method: string;
  /** Path with the query. */
  target: string;
  /** Flat, with everything that the runner gets. */
  headers: readonly string[];
  body: Buffer | undefined;
  /** The id that the answer has to echo; none where the caller sent none. */
  requestId: string | undefined;
}

const MISDIRECTED = 421;
const SUCCESS = 200;
const REDIRECT = 300;

/** Owns the sending of one request. */
export class RunnerAttempt {
  readonly runner: Runner;

  /** When it was given to the runner's connection, monotonic ms. */
  readonly startedAt: number;

  private readonly options: RunnerAttemptOptions;

  private request: ClientRequest | undefined;

  private connectTimer: NodeJS.Timeout | undefined;

  private connected = false;

  private wasReset = false;

  private settled = false;

  private probing = false;

  /**
   * @param options - what is sent where, and who hears of it.
   */
  constructor(options: RunnerAttemptOptions) {
    this.options = options;
    this.runner = options.runner;
    this.startedAt = options.clock.monotonicMilliseconds();
  }

  /** Sends the request. */
  start(): void {
    const { agent, method, target, headers, body } = this.options;
    const { host, port } = this.runner.entry;
    this.runner.inFlight += 1;
    this.runner.health.sent();
    const request = sendRequest({
      host,
      port,
      method,
      path: target,
      agent,
      headers: headers as unknown as Record<string, string>,
    });
    this.request = request;
    request.once('socket', (socket) => this.watchSocket(socket));
    request.once('response', (answer) => this.takeAnswer(answer));
    request.on('error', (error: NodeJS.ErrnoException) => this.fail(this.failureOf(error)));
    request.end(body);
  }

  /** Breaks the request off; nothing more is heard of it. */
  cancel(): void {
    if (this.settled) return;
    this.settle();
    this.runner.health.abandoned();
    this.request?.destroy();
  }

  /**
   * Gives the attempt up if its runner, which says nothing, accepts no connection although others do.
   *
   * @param silence - asks again how the request stands, each time something is known.
   */
  probe(silence: SilenceQuestion): void {
    // Before there is a connection its own timeout decides, and the request has not run.
    if (this.probing || !this.connected) return;
    this.probing = true;
    probeRunner(this.runner, (result) => this.judge(result, silence));
  }

  private judge(result: ProbeResult, silence: SilenceQuestion): void {
    const { link, clock } = this.options;
    if (result === 'no_answer') {
      link.ask(this.runner, (isDark) => this.judgeDark(isDark, silence));
      return;
    }
    this.probing = false;
    const isOver = result === 'refused' || silence() === 'give_up';
    if (isOver && silence() !== 'not_silent') this.fail('silent');
    else this.runner.lastHeardAt = clock.monotonicMilliseconds();
  }

  private judgeDark(isDark: boolean, silence: SilenceQuestion): void {
    this.probing = false;
    if (isDark && silence() !== 'not_silent') this.fail('silent');
  }

  private watchSocket(socket: Socket): void {
    if (!socket.connecting) {
      this.connected = true;
    } else {
      const { connectMilliseconds } = this.options;
      this.connectTimer = setTimeout(() => this.giveUpConnecting(), connectMilliseconds);
      socket.once('connect', () => this.onConnect());
    }
    this.watchReset(socket);
  }

  /**
   * An answer without a length ends with its connection, and half of one must not look whole.
   *
   * What goes wrong: the runner resets the connection. The HTTP library takes that for the answer's end too;
   * and where the reset arrives together with bytes, the event loop reports an ordinary end and no error at
   * all. One would see short bodies under success. A connection that has been reset has no peer any more,
   * one that was closed in order still has; these listeners stand before the library's own.
   */
  private watchReset(socket: Socket): void {
    const onError = () => {
      this.wasReset = true;
    };
    const onEnd = () => {
      this.wasReset ||= socket.remoteAddress === undefined;
    };
    socket.prependListener('error', onError);
    socket.prependListener('end', onEnd);
    this.request?.once('close', () => {
      socket.off('error', onError);
      socket.off('end', onEnd);
    });
  }

  /** An error of this instance's own must not count against the runner, or each runner looks dark in turn. */
  private failureOf({ code }: NodeJS.ErrnoException): AttemptFailure {
    if (this.connected) return 'broken';
    return isRunnersError(code) ? 'not_connected' : 'connect_timeout';
  }

  private onConnect(): void {
    clearTimeout(this.connectTimer);
    this.connected = true;
    this.options.link.accepted(this.runner);
  }

  /** After a pause of the whole process the timer comes first although the connection has been accepted. */
  private giveUpConnecting(): void {
    setImmediate(() => {
      if (!this.connected) this.fail('connect_timeout');
    });
  }

  private takeAnswer(answer: IncomingMessage): void {
    if (this.settled) return;
    const { protocol, observer, statements } = this.options;
    this.runner.lastHeardAt = this.options.clock.monotonicMilliseconds();
    const status = answer.statusCode ?? 0;
    if (this.isStray(answer, status)) {
      this.fail('stray_answer');
      return;
    }
    statements.take(this.runner, answer);
    if (status === MISDIRECTED || protocol.didNotRun(status, answer.headers)) {
      // The refusal is whole: its connection can carry the next request.
      answer.resume();
      this.fail('refused', false);
      return;
    }
    answer.on('data', (chunk: Buffer) => this.takeChunk(chunk));
    answer.once('end', () => this.end(answer));
    answer.once('error', () => this.fail('broken'));
    answer.once('close', () => this.fail('broken'));
    observer.answered(this, answer);
  }

  private isStray({ headers }: IncomingMessage, status: number): boolean {
    const { protocol, requestId } = this.options;
    const echoed = headers[protocol.names.requestId];
    if (requestId !== undefined && echoed !== undefined && echoed !== requestId) return true;
    const isSuccess = status >= SUCCESS && status < REDIRECT;
    return isSuccess && headers[protocol.names.signature] === undefined;
  }

  private takeChunk(chunk: Buffer): void {
    if (this.settled) return;
    this.runner.lastHeardAt = this.options.clock.monotonicMilliseconds();
    this.options.observer.received(this, chunk);
  }

  private end(answer: IncomingMessage): void {
    if (this.settled) return;
    if (!answer.complete || this.wasReset) {
      this.fail('broken');
      return;
    }
    this.settle();
    this.options.observer.ended(this);
  }

  private fail(failure: AttemptFailure, destroys = true): void {
    if (this.settled) return;
    this.settle();
    if (destroys) this.request?.destroy();
    this.options.observer.failed(this, failure);
  }

  private settle(): void {
    this.settled = true;
    this.runner.inFlight -= 1;
    clearTimeout(this.connectTimer);
  }
}
