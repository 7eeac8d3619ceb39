/**
 * Takes requests that other daemons hand over, and forwards them to runners as if their callers had connected here. They
 * are never handed on.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { UNLIMITED_MEMORY } from '../clients/MemoryBudget.js';
import type { MemoryBudget, MemoryReservation } from '../clients/MemoryBudget.js';
import { ByteBuffer } from '../http/ByteBuffer.js';
import { ForwardedRequest } from '../forwarding/ForwardedRequest.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import type { ForwardingContext } from '../forwarding/forwardingTypes.js';
import { RequestsInProgress } from '../forwarding/RequestsInProgress.js';
import { TriedRunners } from '../forwarding/TriedRunners.js';
import { REFUSED_HEADER } from './handOverHeaders.js';
import { decodeHandOver, HandOverError } from './handOverMessage.js';
import type { ReceivedHandOver } from './handOverMessage.js';
import { receivedPrompt } from './receivedPrompt.js';
import type { RunnerPath } from './RunnerPath.js';
import { TakenOverRelay } from './TakenOverRelay.js';

/**
 * Maximum number of requests of other daemons in progress. With their bodies and buffered answers, they stay a small part
 * of a daemon's memory.
 */
const MAXIMUM_IN_PROGRESS = 512;

/** Largest message, in bytes; callers' bodies are smaller. */
const MAXIMUM_MESSAGE_BYTES = 16_777_216;

const NO_CONTENT = 204;

const UNAVAILABLE = 503;

const FORBIDDEN = 403;

/** Why a request is not taken. */
export type HandOverRefusal = 'no_path' | 'stopping' | 'busy' | 'not_started';

/** Options of a {@link HandOverServer}. */
export interface HandOverServerOptions {
  context: ForwardingContext;
  path: RunnerPath;
  secret: () => string | undefined;
  /** Whether a host is one of the fleet's. */
  isAllowedHost: (host: string) => boolean;
  /** Memory for all clients, whose requests other daemons hand over; without a limit by default. */
  budget?: MemoryBudget;
}

/** Serves the path for handed over requests. */
export class HandOverServer {
  /** Number of requests whose answers are not complete. */
  inProgress = 0;

  private readonly remaining = new RequestsInProgress();

  private readonly options: Required<HandOverServerOptions>;

  /** The context without a task that hands requests over, so that no request goes on to a third daemon. */
  private readonly context: ForwardingContext;

  /**
   * @param options - what requests need, and who may send them.
   */
  constructor(options: HandOverServerOptions) {
    this.options = { budget: UNLIMITED_MEMORY, ...options };
    this.context = { ...options.context, handOver: undefined };
  }

  /**
   * Answers a daemon that wants to hand a request over, before it has sent the request.
   *
   * @param request - head of its message.
   * @param response - answer to the daemon.
   */
  take(request: IncomingMessage, response: ServerResponse): void {
    if (!this.options.isAllowedHost(request.socket.remoteAddress ?? '')) {
      response.writeHead(FORBIDDEN, { 'Content-Length': 0, Connection: 'close' }).end();
      return;
    }
    const { refusal } = this;
    if (refusal) {
      request.resume();
      this.refuse(response, refusal);
      return;
    }
    this.inProgress += 1;
    response.once('close', () => {
      this.inProgress -= 1;
    });
    const memory = this.options.budget.open();
    response.once('close', () => memory.release());
    this.read(request, response, memory);
    response.writeContinue();
  }

  /** Ends the requests in progress, as this daemon stops. */
  endRemaining(): void {
    this.remaining.end();
  }

  private get refusal(): HandOverRefusal | undefined {
    const { path, secret, context } = this.options;
    if (context.stopPhase() !== 'serving') return 'stopping';
    if (secret() === undefined || context.routes() === undefined) return 'not_started';
    if (path.isLost) return 'no_path';
    return this.inProgress >= MAXIMUM_IN_PROGRESS ? 'busy' : undefined;
  }

  private refuse(response: ServerResponse, reason: HandOverRefusal): void {
    response.writeHead(UNAVAILABLE, { [REFUSED_HEADER]: reason, 'Content-Length': 0 }).end();
  }

  private read(
    request: IncomingMessage,
    response: ServerResponse,
    memory: MemoryReservation,
  ): void {
    const message = new ByteBuffer({ maximumBytes: MAXIMUM_MESSAGE_BYTES });
    request.on('data', (chunk: Buffer) => {
      const before = message.capacity;
      const isHeld = message.append(chunk) && memory.grow(message.capacity - before);
      if (!isHeld) request.destroy();
    });
    request.once('end', () => {
      if (!response.destroyed) this.decode(message.take(), response, memory);
    });
  }

  private decode(message: Buffer, response: ServerResponse, memory: MemoryReservation): void {
    if (message.length === 0) {
      // Another daemon has taken the request.
      response.writeHead(NO_CONTENT).end();
      return;
    }
    try {
      this.forward(decodeHandOver(message, this.options.secret() ?? ''), response, memory);
    } catch (error) {
      if (!(error instanceof HandOverError)) throw error;
      const { log } = this.context;
      log.write(forwardingLogEvents.handOverRejected, { error: error.message });
      response.writeHead(FORBIDDEN, { 'Content-Length': 0 }).end();
    }
  }

  private forward(
    { handOver, body }: ReceivedHandOver,
    response: ServerResponse,
    memory: MemoryReservation,
  ): void {
    const { context } = this;
    const { sender, remainingMilliseconds, isCounted, mayHaveRun, softwareVersion } = handOver;
    const tried = new TriedRunners({ mayHaveRun, lives: handOver.tried ?? [] });
    const arrivedAt = context.clock.monotonicMilliseconds();
    const deadlineAt = arrivedAt + remainingMilliseconds;
    const prompt = receivedPrompt(handOver.request, context.protocol);
    const request = { ...handOver.request, ...prompt, arrivedAt, deadlineAt };
    const relay = new TakenOverRelay(
      response,
      () => context.stopPhase() !== 'serving',
      tried,
      memory,
    );
    context.log.write(forwardingLogEvents.takenOver, { request: request.id, from: sender });
    const before = { isCounted, tried, softwareVersion };
    const forwarded = new ForwardedRequest({ request, body, relay, context, before });
    this.remaining.add(forwarded, response);
    forwarded.start();
  }
}
