/**
 * One request that was handed over to another daemon: finds a daemon that takes it, sends it there, and passes the answer
 * on to the caller.
 *
 * A daemon confirms before it gets the request, so that one that is dead, frozen or without a path of its own has
 * certainly not run it. One that is late is not given up: others are asked as well, and the first to confirm gets it.
 */
import type { IncomingMessage } from 'node:http';

import type { AnswerSource } from '../forwarding/AnswerOwnership.js';
import type { AnswerRelay, BufferedAnswer } from '../forwarding/AnswerRelay.js';
import type { BufferedAnswers } from '../forwarding/BufferedAnswers.js';
import { replaceHeader } from '../forwarding/forwardedHeaders.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import type { AdmittedRequest } from '../forwarding/forwardingTypes.js';
import type { HeaderNames } from '../forwarding/RunnerProtocol.js';
import type { TriedRunners } from '../forwarding/TriedRunners.js';
import { isEventStream } from '../forwarding/StreamedAnswer.js';
import type { StreamedAnswer } from '../forwarding/StreamedAnswer.js';
import { isFinalStatus } from '../http/isFinalStatus.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import {
  BROKEN_HEADER,
  FULL_HEADER,
  REFUSED_HEADER,
  runnerVersionIn,
  triedRunnersIn,
  UNREACHED_HEADER,
} from './handOverHeaders.js';
import { encodeHandOver } from './handOverMessage.js';
import { HandOverObserver, HandOverOffer } from './HandOverOffer.js';
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

/** Number of daemons that may have no room for a request before it is refused. */
const MAXIMUM_FULL = 2;

/** Number of daemons that a request is offered to at the same time; the first one that confirms gets it. */
const MAXIMUM_OFFERS = 3;

/** Bounds of the time until a daemon has to have confirmed, in ms; within them it is a share of what the request has left. */
const SHORTEST_PATIENCE_MILLISECONDS = 450;
const LONGEST_PATIENCE_MILLISECONDS = 900;
const PATIENCE_SHARE = 0.5;

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
  /** Runners that the request was sent to. */
  tried: Pick<TriedRunners, 'lives' | 'mayHaveRun' | 'recordElsewhere'>;
  /** Called when a daemon would take the request; returns whether it still has to be handed over. */
  isWanted: () => boolean;
  /** Called once, unless the request is cancelled. */
  onEnd: (end: HandOverEnd) => void;
}

/** Offers the request to daemons until one takes it. */
export class HandedOverRequest extends HandOverObserver implements AnswerSource {
  private readonly options: HandedOverRequestOptions;

  private readonly asked = new Set<string>();

  private unreached = 0;

  private full = 0;

  /** Offers that no daemon has answered yet. */
  private readonly offers = new Map<HandOverOffer, { readonly madeAt: number }>();

  /** The offer whose daemon has got the request. */
  private taken: HandOverOffer | undefined;

  /** Ends the wait for confirmations. */
  private timer: NodeJS.Timeout | undefined;

  private isOver = false;

  /**
   * @param options - the request, the shared state, and where the answer goes.
   */
  constructor(options: HandedOverRequestOptions) {
    super();
    this.options = options;
  }

  /** @returns Name of the daemon that has got the request; empty before. */
  get sourceName(): string {
    return this.taken?.peer.name ?? '';
  }

  /** Asks the first daemon. */
  start(): void {
    this.askNext();
  }

  /** Ends the request without an event; a daemon that has taken it stops its work. */
  cancel(): void {
    this.isOver = true;
    clearTimeout(this.timer);
    this.taken?.cancel();
    this.withdrawOffers();
  }

  override accepted(offer: HandOverOffer): void {
    const { task } = this.options;
    const { peer } = offer;
    task.recordAccepted(peer.name, this.now - (this.offers.get(offer)?.madeAt ?? this.now));
    const { secret } = task;
    this.offers.delete(offer);
    clearTimeout(this.timer);
    if (secret === undefined || !this.options.isWanted()) {
      offer.cancel();
      this.end('unanswered');
      return;
    }
    this.withdrawOffers();
    this.taken = offer;
    this.report(peer);
    offer.give(this.messageFor(secret));
  }

  override refused(offer: HandOverOffer): void {
    this.offers.delete(offer);
    this.options.task.recordRefused(offer.peer.name);
    this.askNext();
  }

  override missed(offer: HandOverOffer): void {
    this.offers.delete(offer);
    if (!this.isOver && !this.taken) this.offerTo(offer.peer);
  }

  override delayed({ peer }: HandOverOffer): void {
    this.options.task.recordUnanswered(peer.name);
    this.askNext();
  }

  override answered(offer: HandOverOffer, answer: IncomingMessage): void {
    if (this.isOver || this.taken !== offer) return;
    answer.once('close', () => {
      if (!answer.complete) this.lose(offer);
    });
    answer.on('error', () => this.lose(offer));
    if (!isFinalStatus(answer.statusCode ?? 0)) {
      this.breakOff();
      return;
    }
    const hasReason = answer.headers[REFUSED_HEADER] ?? answer.headers[UNREACHED_HEADER];
    if (hasReason !== undefined) {
      this.handleUnreached(answer, offer.peer);
      return;
    }
    this.options.tried.recordElsewhere(triedRunnersIn(answer.headers));
    if (answer.headers[BROKEN_HEADER] !== undefined) {
      answer.resume();
      this.lose(offer);
      return;
    }
    const isFull = answer.headers[FULL_HEADER] !== undefined;
    if (isFull) this.options.task.recordFull(offer.peer.name);
    if (isFull && this.mayAskAfterFull()) {
      answer.resume();
      this.taken = undefined;
      this.askNext();
      return;
    }
    const { bufferedAnswers, stream, request, relay } = this.options;
    const isStream = request.route.kind === 'stream' && isEventStream(answer);
    if (relay.hasHead && !isStream) {
      // No other answer can go on with the stream of which the caller has the beginning.
      this.breakOff();
      return;
    }
    bufferedAnswers.begin(this, answer);
    if (isStream) {
      stream.take(this, answer, () => runnerVersionIn(answer.headers));
    }
    answer.on('data', (chunk: Buffer) => this.handleChunk(chunk));
    answer.once('end', () => this.handleEnd(answer));
  }

  override broken(offer: HandOverOffer): void {
    this.lose(offer);
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private askNext(): void {
    if (this.isOver || this.taken) return;
    const { task } = this.options;
    const mayAsk = this.asked.size < MAXIMUM_ASKED && this.offers.size < MAXIMUM_OFFERS;
    const peer = mayAsk && task.secret !== undefined ? task.choosePeer(this.asked) : undefined;
    if (peer) this.offerTo(peer);
    else if (this.offers.size === 0)
      this.end(this.asked.size === 0 && task.isAlone ? 'unanswered' : 'unreached');
  }

  private offerTo(peer: DaemonEntry): void {
    const { task } = this.options;
    this.asked.add(peer.name);
    if (this.offers.size === 0) this.waitForConfirmation();
    const { agent, delayMilliseconds } = task;
    const offer = new HandOverOffer({ peer, agent, delayMilliseconds, observer: this });
    this.offers.set(offer, { madeAt: this.now });
  }

  /** Whether another daemon may have room, of which this one knows; if not, the caller gets the refusal. */
  private mayAskAfterFull(): boolean {
    this.full += 1;
    return this.full < MAXIMUM_FULL && this.options.task.choosePeer(this.asked) !== undefined;
  }

  private waitForConfirmation(): void {
    const remaining = this.options.request.deadlineAt - this.now;
    const share = Math.min(LONGEST_PATIENCE_MILLISECONDS, remaining * PATIENCE_SHARE);
    clearTimeout(this.timer);
    this.timer = setTimeout(
      () => setImmediate(() => this.giveUpWaiting()),
      Math.max(SHORTEST_PATIENCE_MILLISECONDS, share),
    );
  }

  private giveUpWaiting(): void {
    if (this.isOver || this.taken) return;
    this.withdrawOffers();
    this.end('unanswered');
  }

  private withdrawOffers(): void {
    for (const offer of this.offers.keys()) offer.cancel();
    this.offers.clear();
  }

  private messageFor(secret: string): Buffer {
    const { task, request, body, clock, names, isCounted, tried } = this.options;
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
      mayHaveRun: tried.mayHaveRun,
      tried: tried.lives,
      softwareVersion: this.options.stream.softwareVersion,
      hasBody: body !== undefined,
    };
    return encodeHandOver(handOver, body, secret);
  }

  private report({ name }: DaemonEntry): void {
    const { task, request, tried } = this.options;
    const fields = {
      request: request.id,
      to: name,
      asked: this.asked.size,
      mayHaveRun: tried.mayHaveRun,
    };
    task.log.write(forwardingLogEvents.handedOver, fields);
  }

  /** The other daemon took the request and reached no runner; it has not run. */
  private handleUnreached(answer: IncomingMessage, peer: DaemonEntry): void {
    const { task, request } = this.options;
    answer.resume();
    this.taken = undefined;
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
    const result = stream.isFrom(this) ? stream.pass(chunk) : bufferedAnswers.take(this, chunk);
    if (result === 'excess' || result === 'rejected') this.breakOff();
  }

  private handleEnd(answer: IncomingMessage): void {
    if (this.isOver || !answer.complete) return;
    const { stream, bufferedAnswers, names } = this.options;
    if (stream.isFrom(this) && stream.isBrokenOff) {
      this.lose();
      return;
    }
    const held = bufferedAnswers.of(this);
    if (!this.finish(held)) {
      // The answer belongs to another source; the caller must notice that its stream broke off.
      this.end('lost');
      return;
    }
    this.end(answer.headers[names.signature] === undefined ? 'not_served' : 'answered');
  }

  /** @returns Whether the caller has this answer, as a whole. */
  private finish(held: BufferedAnswer | undefined): boolean {
    const { stream, bufferedAnswers, relay } = this.options;
    if (stream.isFrom(this)) return stream.end();
    if (bufferedAnswers.isPassing(this)) return relay.finish(this);
    return held !== undefined && relay.sendBuffered(held);
  }

  /** Ends the request at the other daemon, whose answer is of no use. */
  private breakOff(): void {
    this.taken?.cancel();
    this.lose();
  }

  /** The other daemon, or the connection to it, broke off after it had taken the request. */
  private lose(offer: HandOverOffer | undefined = this.taken): void {
    if (this.isOver || this.taken !== offer) return;
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
