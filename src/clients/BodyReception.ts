/**
 * Receives the body of a client's request: limited in size, in time and by the memory for all clients together.
 */
import type { IncomingMessage } from 'node:http';

import type { StopReason } from './ClientConnections.js';
import { HeldBody } from './HeldBody.js';
import type { BodyLimits } from './HeldBody.js';
import type { MemoryReservation } from './MemoryBudget.js';

/**
 * Why a body is not received. `too_large`: beyond the limit of one body; `no_memory`: the bodies of all requests take
 * too much; `late`: it has not arrived in time.
 */
export type BodyRefusal = 'too_large' | 'no_memory' | 'late';

/** Options of {@link receiveBody}. */
export interface ReceiveBodyOptions {
  request: IncomingMessage;
  /** Of the request; holds the body from now on. */
  memory: MemoryReservation;
  clients: BodyLimits;
  /** Largest body, in bytes. */
  maximumBytes: number;
  /** Time within which the body has to arrive, in ms. */
  milliseconds: number;
  /** How long the client may send none of it, in ms. */
  idleMilliseconds?: number;
  /** Called once with the body. */
  onReceived: (body: Buffer) => void;
  /** Called once if the body is not received; the rest of it is not read any more. */
  onRefused: (refusal: BodyRefusal) => void;
}

/** Longest time that a timer of the runtime can have, in ms. */
const LONGEST_TIMER_MILLISECONDS = 2_147_483_647;

/** Receives one body; nothing is called if the client leaves before its end. */
class BodyReception {
  private readonly options: ReceiveBodyOptions;

  private readonly body: HeldBody;

  private readonly endsAt: number;

  private timer: NodeJS.Timeout | undefined;

  private readonly take = (chunk: Buffer) => this.takeChunk(chunk);

  private readonly finish = () => this.handleEnd();

  private readonly stop = () => this.stopReading();

  constructor(options: ReceiveBodyOptions) {
    const { request, memory, clients, milliseconds } = options;
    this.options = options;
    this.body = new HeldBody({ socket: request.socket, memory, clients });
    memory.makeEvictable(() => this.refuse('no_memory', 'memory'));
    this.endsAt = performance.now() + milliseconds;
    request.on('data', this.take);
    request.once('end', this.finish);
    request.once('close', this.stop);
    this.checkTime();
  }

  private checkTime(): void {
    const { memory, idleMilliseconds = LONGEST_TIMER_MILLISECONDS } = this.options;
    const left = this.endsAt - performance.now();
    const idleLeft = idleMilliseconds - memory.quietMilliseconds;
    if (left <= 0 || idleLeft <= 0) {
      this.refuse('late', 'late');
      return;
    }
    const pause = Math.min(Math.max(1, left), idleLeft, LONGEST_TIMER_MILLISECONDS);
    this.timer = setTimeout(() => this.checkTime(), pause);
  }

  private takeChunk(chunk: Buffer): void {
    const { body, options } = this;
    if (body.length + chunk.length > options.maximumBytes) this.refuse('too_large');
    else if (!body.append(chunk)) this.refuse('no_memory', 'no_memory');
  }

  private handleEnd(): void {
    this.stopReading();
    this.options.onReceived(this.body.take());
  }

  private refuse(refusal: BodyRefusal, reason?: StopReason): void {
    this.stopReading();
    this.body.drop();
    if (reason) this.options.clients.report(reason);
    this.options.onRefused(refusal);
  }

  private stopReading(): void {
    const { request, memory } = this.options;
    clearTimeout(this.timer);
    memory.pin();
    request.off('data', this.take);
    request.off('end', this.finish);
    request.off('close', this.stop);
  }
}

/**
 * Receives the body of a request.
 *
 * @param options - the request and its limits.
 */
export function receiveBody(options: ReceiveBodyOptions): void {
  // eslint-disable-next-line no-new -- it lives as long as it listens to the request
  new BodyReception(options);
}

/** Options of {@link discardBody}. */
export type DiscardBodyOptions = Pick<
  ReceiveBodyOptions,
  'request' | 'clients' | 'maximumBytes' | 'milliseconds'
>;

/**
 * Reads the rest of a body whose request has been refused, so that its connection can carry the next one; closes the
 * connection of a client that goes on with it for too long.
 *
 * @param options - the request and its limits.
 */
export function discardBody({
  request,
  clients,
  maximumBytes,
  milliseconds,
}: DiscardBodyOptions): void {
  const connection = clients.of(request.socket);
  let discardedBytes = 0;
  const close = () => {
    clients.report('unwanted');
    request.socket.destroy();
  };
  const timer = setTimeout(close, milliseconds);
  request.once('close', () => clearTimeout(timer));
  request.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    clients.garbage.recordReceived(chunk.length);
    if (connection) clients.turns.countChunk(connection);
    if (discardedBytes > maximumBytes) close();
  });
}
