/**
 * One attempt: a request sent to one runner, from the connection to the last byte of the answer.
 */
import { request as sendRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import type { AttemptWork } from '../capacity/AttemptWork.js';
import { isFinalStatus } from '../http/isFinalStatus.js';
import { isSuccess } from '../http/isSuccess.js';
import { onceUnanswered } from '../http/onceUnanswered.js';
import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';
import { AnswerByteLimit } from './AnswerByteLimit.js';
import { framingOf } from './answerFraming.js';
import type { AnswerSource } from './AnswerOwnership.js';
import type { LinkCheck } from './LinkCheck.js';
import { mayBeCutOff } from './mayBeCutOff.js';
import { isRemoteError, probeRunner } from './probeRunner.js';
import type { ProbeResult } from './probeRunner.js';
import { ResetDetector } from './ResetDetector.js';
import type { RunnerAgent } from './RunnerAgent.js';
import type { RunnerProtocol } from './RunnerProtocol.js';
import type { RunnerNotices } from './RunnerNotices.js';

/**
 * How an attempt failed.
 *
 * The runner has not run the request after `not_connected` (the runner's instance refused the connection),
 * `connect_timeout` (the connection was not accepted in time, or this instance could not open one) and `refused` (the
 * runner declared that it did not run the request). It may have run the request after `broken` (the connection failed
 * before the answer was complete, or the runner sent too many bytes that are no answer), `silent` (the runner was unresponsive) and `stray_answer` (the answer belongs to
 * another request or has no signature).
 */
export type AttemptFailure =
  'not_connected' | 'connect_timeout' | 'refused' | 'broken' | 'silent' | 'stray_answer';

/**
 * Re-evaluates a request whose runner has sent nothing for a while. `not_silent`: data has arrived since, or no other
 * runner may take over; `wait`: give up only if the runner accepts no connection; `give_up`: the request has waited too
 * long, even if the runner accepts connections.
 */
export type StallCheck = () => 'not_silent' | 'wait' | 'give_up';

/** Receives the events of an attempt. `ended` or `failed` is the last one. */
export abstract class AttemptObserver {
  /** The head of the answer has arrived. */
  abstract answered(attempt: RunnerAttempt, answer: IncomingMessage): void;

  /** Bytes of the body have arrived. */
  abstract received(attempt: RunnerAttempt, chunk: Buffer): void;

  /** The answer is complete. */
  abstract ended(attempt: RunnerAttempt): void;

  /** The attempt failed; there will be no complete answer. */
  abstract failed(attempt: RunnerAttempt, failure: AttemptFailure): void;
}

/** Options of a {@link RunnerAttempt}. */
export interface RunnerAttemptOptions {
  runner: Runner;
  /** Pool of keep-alive connections; `false` for a new connection that is closed after the answer. */
  agent: RunnerAgent | false;
  protocol: RunnerProtocol;
  clock: Clock;
  /** Receives the head of each answer, which may contain the runner's shutdown notice or `Retry-After`. */
  statements: Pick<RunnerNotices, 'take'>;
  /** Distinguishes an unresponsive runner from a saturated network link of this daemon. */
  link: Pick<LinkCheck, 'ask' | 'accepted' | 'isPathLost'>;
  /** Timeout for opening a new connection, in ms. */
  connectMilliseconds: number;
  observer: AttemptObserver;
  method: string;
  /** Path and query. */
  target: string;
  /** Flat list of alternating names and values; the complete headers that are sent to the runner. */
  headers: readonly string[];
  body: Buffer | undefined;
  /** Id that the answer has to echo; `undefined` if the caller sent none. */
  requestId: string | undefined;
  /** Work of the request at the runner; missing if it is unknown. */
  work?: AttemptWork | undefined;
}

/** Maximum time for reading the rest of a refusal, in ms, after which its connection is closed instead of reused. */
const REFUSAL_READ_MILLISECONDS = 1_000;

const MISDIRECTED = 421;

/** Length from which a runner may answer and end the connection with much of a body unread; in bytes. */
const UPLOAD_BYTES = 65_536;

/** Prefix of the codes of errors in bytes that are no answer. */
const PARSE_ERROR = 'HPE_';

/** Sends a request to one runner and reports the result to its observer. */
export class RunnerAttempt implements AnswerSource {
  readonly runner: Runner;

  /** When the attempt was created, immediately before it is sent; monotonic ms. */
  readonly startedAt: number;

  /** When its connection was opened, or the attempt was created if that is later; monotonic ms. */
  connectedAt: number;

  /** Whether the head of an answer has arrived. */
  isAnswered = false;

  private readonly options: RunnerAttemptOptions;

  private request: ClientRequest | undefined;

  private readonly byteLimit = new AnswerByteLimit({ onExceeded: () => this.breakOff() });

  private connectTimer: NodeJS.Timeout | undefined;

  private connected = false;

  private resets: ResetDetector | undefined;

  /** Whether reading has ever been paused. */
  private wasPaused = false;

  /** Whether any byte of the body has arrived. */
  private hasBytes = false;

  private settled = false;

  private answer: IncomingMessage | undefined;

  private probing = false;

  /**
   * @param options - the request, its runner and the observer.
   */
  constructor(options: RunnerAttemptOptions) {
    this.options = options;
    this.runner = options.runner;
    this.startedAt = options.clock.monotonicMilliseconds();
    this.connectedAt = this.startedAt;
  }

  /** Sends the request. */
  start(): void {
    const { agent, method, target, headers, body } = this.options;
    const { host, port } = this.runner.entry;
    this.runner.inFlight += 1;
    this.options.work?.start(this.startedAt);
    this.runner.health.recordSent();
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
    request.once('response', (answer) => this.handleAnswer(answer));
    request.on('error', (error: NodeJS.ErrnoException) => this.handleError(error));
    onceUnanswered(request, () => this.fail('broken'));
    request.end(body);
  }

  /** @returns Id of the runner. */
  get sourceName(): string {
    return this.runner.entry.id;
  }

  /** Aborts the request; its observer gets no more events. */
  cancel(): void {
    if (this.settled) return;
    this.runner.health.recordAbandoned();
    this.dismiss();
  }

  /** Closes the connection, since the rest of the answer is of no use; the observer gets no more events. */
  dismiss(): void {
    if (this.settled) return;
    this.markSettled();
    this.destroy();
  }

  /** Fails the attempt and closes its connection, since the runner sends bytes that are no answer. */
  breakOff(): void {
    this.fail('broken');
    this.request?.destroy();
  }

  /**
   * Probes the runner with a new connection because it has sent nothing for a while. Fails the attempt if the runner
   * accepts none although other runners do, or if it has kept the request too long.
   *
   * @param checkStall - re-evaluates the request when the result of a probe is known, since data may have arrived.
   */
  probe(checkStall: StallCheck): void {
    // Until the attempt is connected, the connect timeout applies and the request has not run.
    if (this.probing || !this.connected) return;
    this.probing = true;
    probeRunner(this.runner, (result) => this.handleProbeResult(result, checkStall));
  }

  private handleProbeResult(result: ProbeResult, checkStall: StallCheck): void {
    const { link, clock } = this.options;
    if (result === 'no_answer') {
      link.ask(this.runner, (isUnresponsive) =>
        this.handleLinkCheckResult(isUnresponsive, checkStall),
      );
      return;
    }
    this.probing = false;
    const shouldFail = result === 'refused' || checkStall() === 'give_up';
    if (shouldFail && checkStall() !== 'not_silent') this.fail('silent');
    else this.runner.lastHeardAt = clock.monotonicMilliseconds();
  }

  private handleLinkCheckResult(isUnresponsive: boolean, checkStall: StallCheck): void {
    this.probing = false;
    if (isUnresponsive && checkStall() !== 'not_silent') this.fail('silent');
  }

  private watchSocket(socket: Socket): void {
    if (socket.connecting) {
      const { connectMilliseconds } = this.options;
      this.connectTimer = setTimeout(() => this.onConnectTimeout(), connectMilliseconds);
      socket.once('connect', () => this.onConnect());
    } else {
      // A connection that could not be opened at all has failed by now, and was never connected.
      this.connected = !socket.destroyed;
    }
    const { request } = this;
    if (!request) return;
    this.resets = new ResetDetector(request, socket);
    request.once('close', this.byteLimit.watch(socket));
  }

  private handleError(error: NodeJS.ErrnoException): void {
    const isBehindAnswer = this.answer?.complete === true && error.code?.startsWith(PARSE_ERROR);
    // Bytes behind a whole answer belong to no request; the answer still comes to its end.
    if (!isBehindAnswer) this.fail(this.failureOf(error));
  }

  /** A local error of this instance must not count against the runner, or every runner would look unresponsive in turn. */
  private failureOf({ code }: NodeJS.ErrnoException): AttemptFailure {
    if (this.connected) return 'broken';
    return isRemoteError(code) ? 'not_connected' : 'connect_timeout';
  }

  private onConnect(): void {
    clearTimeout(this.connectTimer);
    this.connected = true;
    this.connectedAt = this.options.clock.monotonicMilliseconds();
    this.options.link.accepted(this.runner);
  }

  /** After a pause of the whole process, the timer fires before the event of an accepted connection; so events go first. */
  private onConnectTimeout(): void {
    setImmediate(() => {
      if (!this.connected) this.fail('connect_timeout');
    });
  }

  private handleAnswer(answer: IncomingMessage): void {
    if (this.settled) return;
    const { protocol, observer, statements } = this.options;
    this.hear();
    const status = answer.statusCode ?? 0;
    if (!isFinalStatus(status)) {
      this.fail('broken');
      return;
    }
    if (this.isStray(answer, status)) {
      this.fail('stray_answer');
      return;
    }
    statements.take(this.runner, answer);
    if (status === MISDIRECTED || protocol.didNotRun(status, answer.headers)) {
      this.discard(answer);
      this.fail('refused', false);
      return;
    }
    this.isAnswered = true;
    this.answer = answer;
    this.runner.backlog.recordAnswered();
    this.byteLimit.readBody(answer);
    const isUpload = (this.options.body?.length ?? 0) >= UPLOAD_BYTES;
    if (isUpload && framingOf(answer) === 'until_close') this.resets?.delayEnd();
    answer.once('pause', () => {
      this.wasPaused = true;
    });
    answer.on('data', (chunk: Buffer) => this.handleChunk(chunk));
    answer.once('end', () => this.handleEnd(answer));
    answer.once('error', () => this.fail('broken'));
    answer.once('close', () => this.fail('broken'));
    observer.answered(this, answer);
  }

  /** The connection of a refusal that is read to its end can carry the next request. */
  private discard(answer: IncomingMessage): void {
    const timer = setTimeout(() => this.request?.destroy(), REFUSAL_READ_MILLISECONDS).unref();
    this.request?.once('close', () => clearTimeout(timer));
    answer.resume();
  }

  private isStray({ headers }: IncomingMessage, status: number): boolean {
    const { protocol, requestId } = this.options;
    const echoed = headers[protocol.names.requestId];
    if (requestId !== undefined && echoed !== undefined && echoed !== requestId) return true;
    return isSuccess(status) && headers[protocol.names.signature] === undefined;
  }

  /** Records that data has arrived, and returns the time. What is read after a pause may have arrived long before. */
  private hear(): number {
    const now = this.options.clock.monotonicMilliseconds();
    this.runner.lastHeardAt = now;
    if (!this.wasPaused) this.runner.restart.takeData(this.connectedAt, now);
    return now;
  }

  private handleChunk(chunk: Buffer): void {
    if (this.settled) return;
    const now = this.hear();
    this.hasBytes = true;
    this.options.work?.receive(now);
    this.options.observer.received(this, chunk);
  }

  private handleEnd(answer: IncomingMessage): void {
    if (this.settled) return;
    const { method } = this.options;
    const { hasBytes } = this;
    const isRequestWritten = this.request?.writableFinished === true;
    if (this.resets?.wasReset || mayBeCutOff(answer, { method, hasBytes, isRequestWritten })) {
      this.fail('broken');
      return;
    }
    this.markSettled();
    this.options.observer.ended(this);
  }

  private fail(failure: AttemptFailure, destroys = true): void {
    if (this.settled) return;
    this.markSettled();
    if (destroys) this.destroy();
    this.options.observer.failed(this, failure);
  }

  /**
   * Closes the connection. While the path to the runners is lost, what was sent on it is still in transit, and would run,
   * together with everything else that was given up meanwhile, once the path is back; a reset drops it.
   */
  private destroy(): void {
    const socket = this.request?.socket;
    if (this.options.link.isPathLost && socket?.connecting === false) socket.resetAndDestroy();
    this.request?.destroy();
  }

  private markSettled(): void {
    this.settled = true;
    this.runner.inFlight -= 1;
    this.options.work?.end();
    clearTimeout(this.connectTimer);
  }
}
