/**
 * One request that was handed over to another daemon: finds a daemon that takes it, sends it there, and passes the answer
 * on to the caller.
 *
 * The other daemon confirms before the request is sent, so that one that is dead, frozen or without a path of its own
 * has certainly not run it.
 */
import { request as sendRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';

import type { AnswerRelay } from '../forwarding/AnswerRelay.js';
import type { BufferedAnswers } from '../forwarding/BufferedAnswers.js';
import { replaceHeader } from '../forwarding/forwardedHeaders.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import type { AdmittedRequest } from '../forwarding/forwardingTypes.js';
import type { HeaderNames } from '../forwarding/RunnerProtocol.js';
import { isEventStream } from '../forwarding/StreamedAnswer.js';
import type { StreamedAnswer } from '../forwarding/StreamedAnswer.js';
import { parseAddress } from '../http/parseAddress.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import {
  BROKEN_HEADER,
  HAND_OVER_PATH,
  REFUSED_HEADER,
  runnerVersionIn,
  UNREACHED_HEADER,
} from './handOverHeaders.js';
import { encodeHandOver } from './handOverMessage.js';
import type { HandOverTask } from './HandOverTask.js';

/**
 * How a hand-over ended. `answered`: the caller got a runner's answer, `not_served`: an error of the other daemon;
 * `unreached`: no daemon took the request, or none reached a runner; `unanswered`: several daemons
 * did not even answer, so this daemon's own link may be saturated; `lost`: a daemon took it and broke off, so that it may
 * have run.
 */
export type HandOverEnd = 'answered' | 'not_served' | 'unreached' | 'unanswered' | 'lost';

/** Number of daemons that are asked for one request. */
const MAXIMUM_ASKED = 16;

/** Number of daemons that may fail to reach a runner before the service counts as unreachable. */
const MAXIMUM_UNREACHED = 2;

/** Number of daemons that may leave a question unanswered. */
const MAXIMUM_UNANSWERED = 3;

/** How long a daemon may take to confirm, in ms: a round trip and its queue, a share of the shortest deadlines. */
const CONFIRMATION_MILLISECONDS = 150;

/** Options of a {@link HandedOverRequest}. */
export interface HandedOverRequestOptions {
  task: HandOverTask;
  request: AdmittedRequest;
  body: Buffer | undefined;
  clock: Clock;
  relay: AnswerRelay;
  bufferedAnswers: BufferedAnswers;
  stream: StreamedAnswer;
  /** Returns the id of the last event that the caller has received of a stream that is being resumed. */
  resumesAfter: () => string | undefined;
  names: Pick<HeaderNames, 'lastEventId' | 'signature'>;
  /** Whether this daemon has counted the request in its retry budget. */
  isCounted: boolean;
  /** Returns the number of attempts that may have run. */
  mayHaveRun: () => number;
  /** Called when a daemon would take the request; returns whether it still has to be handed over. */
  isWanted: () => boolean;
  /** Called once, unless the request is cancelled. */
  onEnd: (end: HandOverEnd) => void;
}

/** Asks daemons one after the other until one takes the request. */
export class HandedOverRequest {
  private readonly options: HandedOverRequestOptions;

  private readonly asked = new Set<string>();

  private unreached = 0;

  private unanswered = 0;

  private outgoing: ClientRequest | undefined;

  private timer: NodeJS.Timeout | undefined;

  private isOver = false;

  /**
   * @param options - the request, the shared state, and where the answer goes.
   */
  constructor(options: HandedOverRequestOptions) {
    this.options = options;
  }

  /** Asks the first daemon. */
  start(): void {
    this.askNext();
  }

  /** Ends the request without an event; a daemon that has taken it stops its work. */
  cancel(): void {
    this.isOver = true;
    clearTimeout(this.timer);
    this.outgoing?.destroy();
  }

  private askNext(): void {
    const { task } = this.options;
    const { secret } = task;
    const peer = this.asked.size < MAXIMUM_ASKED ? task.choosePeer(this.asked) : undefined;
    if (!peer || secret === undefined) {
      this.end(this.asked.size === 0 && task.isAlone ? 'unanswered' : 'unreached');
      return;
    }
    this.asked.add(peer.name);
    this.ask(peer, secret);
  }

  private messageFor(secret: string): Buffer {
    const { task, request, body, clock, names, isCounted } = this.options;
    const resumesAfter = this.options.resumesAfter();
    const { arrivedAt, deadlineAt, ...admitted } = request;
    const headers =
      resumesAfter === undefined
        ? admitted.headers
        : replaceHeader(admitted.headers, names.lastEventId, resumesAfter);
    const handOver = {
      sender: task.sender,
      request: { ...admitted, headers },
      remainingMilliseconds: deadlineAt - clock.monotonicMilliseconds(),
      isCounted,
      mayHaveRun: this.options.mayHaveRun(),
      softwareVersion: this.options.stream.softwareVersion,
      hasBody: body !== undefined,
    };
    return encodeHandOver(handOver, body, secret);
  }

  private ask(peer: DaemonEntry, secret: string): void {
    const { task } = this.options;
    const { host, port } = parseAddress(peer.peerAddress);
    const outgoing = sendRequest({
      host,
      port,
      method: 'POST',
      path: HAND_OVER_PATH,
      agent: task.agent,
      headers: { 'Transfer-Encoding': 'chunked', Expect: '100-continue' },
    });
    this.outgoing = outgoing;
    let isTaken = false;
    const refuse = (hasAnswered = true) => {
      if (this.outgoing === outgoing) this.handleRefusal(peer, hasAnswered);
    };
    this.timer = setTimeout(() => {
      this.unanswered += 1;
      refuse(false);
      outgoing.destroy();
    }, CONFIRMATION_MILLISECONDS);
    outgoing.once('continue', () => {
      if (this.isOver || this.outgoing !== outgoing) return;
      clearTimeout(this.timer);
      task.recordAccepted(peer.name);
      if (!this.options.isWanted()) {
        outgoing.destroy();
        this.end('unanswered');
        return;
      }
      isTaken = true;
      this.report(peer);
      outgoing.end(this.messageFor(secret));
    });
    outgoing.once('response', (answer) => {
      if (isTaken) {
        this.handleAnswer(answer, peer);
        return;
      }
      refuse();
      outgoing.destroy();
    });
    outgoing.on('error', () => {
      if (isTaken) this.lose(outgoing);
      else refuse();
    });
  }

  private handleRefusal({ name }: DaemonEntry, hasAnswered: boolean): void {
    clearTimeout(this.timer);
    if (this.isOver) return;
    this.outgoing = undefined;
    this.options.task.recordRefused(name, hasAnswered);
    if (this.unanswered < MAXIMUM_UNANSWERED) this.askNext();
    else this.end('unanswered');
  }

  private report({ name }: DaemonEntry): void {
    const { task, request, mayHaveRun } = this.options;
    const fields = {
      request: request.id,
      to: name,
      asked: this.asked.size,
      mayHaveRun: mayHaveRun(),
    };
    task.log.write(forwardingLogEvents.handedOver, fields);
  }

  private handleAnswer(answer: IncomingMessage, peer: DaemonEntry): void {
    const { outgoing } = this;
    if (this.isOver || !outgoing) return;
    answer.once('close', () => {
      if (!answer.complete) this.lose(outgoing);
    });
    answer.on('error', () => this.lose(outgoing));
    const hasReason = answer.headers[REFUSED_HEADER] ?? answer.headers[UNREACHED_HEADER];
    if (hasReason !== undefined) {
      this.handleUnreached(answer, peer);
      return;
    }
    if (answer.headers[BROKEN_HEADER] !== undefined) {
      answer.resume();
      this.lose(outgoing);
      return;
    }
    const { bufferedAnswers, stream, request } = this.options;
    bufferedAnswers.begin(this, answer);
    if (request.route.kind === 'stream' && isEventStream(answer)) {
      stream.take(this, answer, () => runnerVersionIn(answer.headers));
    }
    answer.on('data', (chunk: Buffer) => this.handleChunk(chunk));
    answer.once('end', () => this.handleEnd(answer));
  }

  /** The other daemon took the request and reached no runner; it has not run. */
  private handleUnreached(answer: IncomingMessage, peer: DaemonEntry): void {
    const { task, request } = this.options;
    answer.resume();
    this.outgoing = undefined;
    this.unreached += 1;
    task.recordRefused(peer.name);
    if (this.unreached < MAXIMUM_UNREACHED) {
      this.askNext();
      return;
    }
    task.recordUnreached(request.service);
    this.end('unreached');
  }

  private handleChunk(chunk: Buffer): void {
    if (this.isOver) return;
    const { stream, bufferedAnswers } = this.options;
    if (stream.isFrom(this)) stream.pass(chunk);
    else bufferedAnswers.take(this, chunk);
  }

  private handleEnd(answer: IncomingMessage): void {
    if (this.isOver || !answer.complete) return;
    const { stream, bufferedAnswers, relay, names } = this.options;
    if (stream.isFrom(this) && stream.isBrokenOff) {
      this.lose();
      return;
    }
    const held = bufferedAnswers.of(this);
    if (stream.isFrom(this)) stream.end();
    else if (bufferedAnswers.isPassing(this)) relay.finish();
    else if (relay.hasHead || !held) {
      // A stream that was to be resumed got another answer; the caller must notice that its stream broke off.
      this.end('lost');
      return;
    } else relay.sendBuffered(held);
    this.end(answer.headers[names.signature] === undefined ? 'not_served' : 'answered');
  }

  /** The other daemon, or the connection to it, broke off after it had taken the request. */
  private lose(outgoing: ClientRequest | undefined = this.outgoing): void {
    if (this.isOver || this.outgoing !== outgoing) return;
    const { bufferedAnswers, stream } = this.options;
    bufferedAnswers.drop(this);
    if (stream.isFrom(this)) stream.breakOff();
    this.end('lost');
  }

  private end(end: HandOverEnd): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.timer);
    this.options.onEnd(end);
  }
}
