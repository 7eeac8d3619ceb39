/**
 * One connection of a client: its requests, which are answered one after another, and what it holds of the process.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { MemoryReservation } from './MemoryBudget.js';
import { STALLED_MILLISECONDS } from './MemoryBudget.js';
import { SlicedReading } from './SlicedReading.js';

/**
 * What a connection does. `new`: no whole head of a request has come yet; `idle`: between two requests; `busy`: a
 * request is in progress.
 */
export type ConnectionPhase = 'new' | 'idle' | 'busy';

/** A request whose answer is not complete. */
interface OpenRequest {
  readonly response: ServerResponse;
  readonly memory: MemoryReservation;
  /** Runs the request, which waits for the answers before its own. */
  run?: (() => void) | undefined;
}

/** Options of a {@link ClientConnection}. */
export interface ClientConnectionOptions {
  socket: Socket;
  /** Of the connection itself and of heads that are not whole. */
  memory: MemoryReservation;
  /** Returns monotonic ms. */
  now: () => number;
}

/** A connection takes some kB of objects, besides the buffers of the operating system. */
const CONNECTION_BYTES = 8_192;

/** Memory for each byte of a head: headers are kept as they came, by name, and as they go on. */
export const HEAD_COST = 3;

/** Open requests of one connection beyond which the rest is left in the operating system's buffer. */
const READ_AHEAD = 16;

/** Time for a refusal to be sent before its connection is closed, in ms. */
const EVICTION_MILLISECONDS = 1_000;

/** Tracks the state of one connection. */
export class ClientConnection {
  readonly socket: Socket;

  /** Of the connection itself and of heads that are not whole. */
  readonly memory: MemoryReservation;

  private readonly now: () => number;

  /** In the order of their answers. */
  private readonly requests: OpenRequest[] = [];

  private idleSince: number;

  private hasHadRequest = false;

  /** Bytes that had been read when the last request began or ended. */
  private bytesBefore = 0;

  /** Bytes of a head that is not whole. */
  private headBytes = 0;

  private unreadBytes = 0;

  private unreadSince: number | undefined;

  /** Chunks of bodies in the current interval. */
  private chunks = 0;

  /** When that interval began, monotonic ms. */
  private chunksSince = 0;

  private reading: SlicedReading | undefined;

  private onPending: (bytes: number) => void = () => undefined;

  /** Whether so many requests are open that no more are read. */
  private isReadingAhead = false;

  /**
   * @param options - the socket and its part of the memory.
   */
  constructor({ socket, memory, now }: ClientConnectionOptions) {
    this.socket = socket;
    this.memory = memory;
    this.now = now;
    this.idleSince = now();
    this.closeOnEviction(memory);
  }

  /** @returns What the connection does. */
  get phase(): ConnectionPhase {
    if (this.requests.length > 0) return 'busy';
    return this.hasHadRequest ? 'idle' : 'new';
  }

  /** @returns Since when the connection has been new, idle or in its current request; monotonic ms. */
  get since(): number {
    return this.idleSince;
  }

  /** @returns Whether a request in progress can still be given up. */
  get isEvictable(): boolean {
    return this.evictableRequest !== undefined;
  }

  /** @returns Whether a request in progress can be given up, and its client has sent or taken nothing for a while. */
  get hasStalled(): boolean {
    const { evictableRequest: request } = this;
    return request !== undefined && request.memory.quietMilliseconds >= STALLED_MILLISECONDS;
  }

  /** @returns Since when the client has read nothing of an answer that waits for it, monotonic ms. */
  get answerUnreadSince(): number | undefined {
    return this.unreadSince;
  }

  /** @returns Whether the memory of the connection itself is reserved. */
  reserve(): boolean {
    return this.memory.grow(CONNECTION_BYTES);
  }

  /**
   * @param response - answer to a request whose head has arrived.
   * @param memory - of the request.
   */
  add(response: ServerResponse, memory: MemoryReservation): void {
    this.hasHadRequest = true;
    if (this.requests.length === 0) this.idleSince = this.now();
    this.memory.pin();
    if (this.requests.length > 0) this.closeOnEviction(memory);
    this.requests.push({ response, memory });
    response.once('close', () => this.ended(response));
    this.isReadingAhead = this.requests.length >= READ_AHEAD;
  }

  /** @returns Whether so many requests are open that no more should be read. */
  get hasReadAhead(): boolean {
    return this.isReadingAhead;
  }

  /**
   * Runs a request once all earlier ones of the connection are answered.
   *
   * @param response - its answer.
   * @param run - runs it.
   */
  runInTurn(response: ServerResponse, run: () => void): void {
    const request = this.requests.find((one) => one.response === response);
    if (!request) return;
    if (request === this.requests[0]) {
      run();
      return;
    }
    request.run = run;
    this.closeOnEviction(request.memory);
  }

  /** @returns Memory of the requests that wait for answers before their own, in bytes. */
  get waitingBytes(): number {
    return this.requests.slice(1).reduce((sum, { memory }) => sum + memory.bytes, 0);
  }

  /**
   * Counts a chunk of a body.
   *
   * @param milliseconds - length of an interval.
   * @returns Number of chunks in the current interval.
   */
  countChunk(milliseconds: number): number {
    const now = this.now();
    if (now - this.chunksSince > milliseconds) {
      this.chunks = 0;
      this.chunksSince = now;
    }
    this.chunks += 1;
    return this.chunks;
  }

  /**
   * Reads from the connection in slices from now on.
   *
   * @param onPending - called when bytes wait that {@link passSlice} may pass on, with the number of those that have
   *   just arrived.
   */
  slice(onPending: (bytes: number) => void): void {
    this.onPending = onPending;
    this.reading ??= new SlicedReading(this.socket, (bytes) => {
      if (!this.check()) this.socket.destroy();
      else if (!this.isReadingAhead) this.onPending(bytes);
    });
  }

  /**
   * Reads what has arrived.
   *
   * @param bytes - how many bytes at most.
   * @returns Whether more of them wait and may be read.
   */
  passSlice(bytes: number): boolean {
    if (this.isReadingAhead) return false;
    return (this.reading?.passSlice(bytes) ?? false) && !this.isReadingAhead;
  }

  /** Gives the request in progress up, if one can be given up, and closes the connection. */
  evict(): void {
    const { evictableRequest: request } = this;
    if (!request) {
      this.socket.destroy();
      return;
    }
    request.memory.evict();
    // The refusal may wait behind answers that the client does not read.
    setTimeout(() => this.socket.destroy(), EVICTION_MILLISECONDS).unref();
  }

  /** Ends what is in progress because the connection is closed. */
  closed(): void {
    this.memory.release();
    // The HTTP library closes the answer that is being written, and none that waits behind it.
    setImmediate(() => {
      for (const { response } of [...this.requests]) {
        response.destroy();
        response.emit('close');
      }
    });
  }

  /**
   * Looks at what has happened since the last time.
   *
   * @returns Whether there is memory for what has arrived of a head.
   */
  check(): boolean {
    this.checkAnswer();
    const headBytes = this.phase === 'busy' ? 0 : this.socket.bytesRead - this.bytesBefore;
    if (headBytes !== this.headBytes) this.memory.recordProgress();
    this.headBytes = headBytes;
    const pendingBytes = this.reading?.pendingBytes ?? 0;
    const wanted = CONNECTION_BYTES + HEAD_COST * headBytes + pendingBytes;
    const needed = wanted - this.memory.bytes;
    if (needed < 0) this.memory.shrink(-needed);
    return needed <= 0 || this.memory.grow(needed);
  }

  private checkAnswer(): void {
    const { writableLength: unread } = this.socket;
    if (unread === 0) this.unreadSince = undefined;
    else if (unread !== this.unreadBytes) this.unreadSince = this.now();
    if (unread !== this.unreadBytes) this.requests[0]?.memory.recordProgress();
    this.unreadBytes = unread;
  }

  /** A connection without a request, or with one that waits and so has not run, can be closed at any time. */
  private closeOnEviction(memory: MemoryReservation): void {
    memory.makeEvictable(() => this.socket.destroy());
  }

  private get evictableRequest(): OpenRequest | undefined {
    return this.requests.find(({ memory }) => memory.isEvictable);
  }

  private ended(response: ServerResponse): void {
    const index = this.requests.findIndex((one) => one.response === response);
    if (index < 0) return;
    this.requests.splice(index, 1);
    this.idleSince = this.now();
    this.bytesBefore = this.socket.bytesRead;
    if (this.requests.length === 0 && !this.socket.destroyed) this.closeOnEviction(this.memory);
    if (this.isReadingAhead && this.requests.length < READ_AHEAD) {
      this.isReadingAhead = false;
      this.onPending(0);
    }
    const [next] = this.requests;
    const run = next?.run;
    // The answer that ends a connection may have been the last one; what follows it gets none and must not run.
    if (!next || !run || this.socket.destroyed || this.socket.writableEnded) return;
    next.run = undefined;
    next.memory.pin();
    run();
  }
}
