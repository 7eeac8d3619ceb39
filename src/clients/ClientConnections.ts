/**
 * Keeps all connections of clients within the limits of the process, at all ports together.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { BurstLog } from '../logging/BurstLog.js';
import type { Log } from '../logging/Log.js';
import { SilentLog } from '../logging/Log.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Clock } from '../time/Clock.js';
import { SystemClock } from '../time/SystemClock.js';
import { BufferGarbage } from './BufferGarbage.js';
import { ClientConnection, HEAD_COST } from './ClientConnection.js';
import type { ClientLimits } from './clientLimits.js';
import { deriveClientLimits } from './clientLimits.js';
import type { ClientsSettings } from './clientsFeature.js';
import { clientsLogEvents, clientsSettings } from './clientsFeature.js';
import type { MemoryReservation } from './MemoryBudget.js';
import { MemoryBudget, STALLED_MILLISECONDS } from './MemoryBudget.js';
import { ReadTurns } from './ReadTurns.js';

/**
 * Why a client was stopped. `connections`: a connection made room for another; `no_connection`: none could make room, so
 * a new one was closed; `memory`: its bytes made room for others; `no_memory`: none could make room; `unread`: it did not
 * read its answer; `late`: its body did not arrive in time; `unwanted`: it went on with a body after its refusal.
 */
export type StopReason =
  'connections' | 'no_connection' | 'memory' | 'no_memory' | 'unread' | 'late' | 'unwanted';

/** Options of {@link ClientConnections}. */
export interface ClientConnectionsOptions {
  settings?: ClientsSettings;
  clock?: Clock;
  log?: Log;
  registry?: MetricRegistry;
}

/** Interval between looks at all connections, in ms. */
const CHECK_MILLISECONDS = 250;

/** How long a client may read nothing of its answer, as long as no configuration says it; in ms. */
const DEFAULT_UNREAD_MILLISECONDS = 15_000;

/** Interval in which servers of clients look for heads that are late, in ms. */
export const HEAD_CHECK_MILLISECONDS = 500;

/** A request in progress, with an attempt at a runner, besides its head; in bytes. */
const REQUEST_BYTES = 8_192;

/** Share of the memory that the requests of one connection may take while they wait for earlier answers. */
const WAITING_SHARE = 1 / 16;

function headBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, url.length);
}

function longestIdle(all: readonly ClientConnection[]): ClientConnection | undefined {
  const idle = all.filter(({ phase }) => phase === 'idle');
  return idle.sort((one, other) => one.since - other.since)[0];
}

/** Tracks the connections, and begins their requests. */
export class ClientConnections {
  /** Memory for all clients together. */
  readonly budget: MemoryBudget;

  /** Shares the event loop between the connections. */
  readonly turns: ReadTurns;

  /** Watches the garbage of bodies. */
  readonly garbage: BufferGarbage;

  /** How long a client may read nothing of its answer, in ms. */
  unreadMilliseconds = DEFAULT_UNREAD_MILLISECONDS;

  private readonly limits: ClientLimits;

  private readonly clock: Clock;

  private readonly log: Log;

  private readonly stops;

  private readonly connections = new Map<Duplex, ClientConnection>();

  private readonly timer: NodeJS.Timeout;

  /**
   * @param options - the settings; without a log and a registry, what is stopped is not reported.
   */
  constructor({
    settings = clientsSettings.parse({}),
    clock = new SystemClock(),
    log = new SilentLog(),
    registry = new MetricRegistry({ clock }),
  }: ClientConnectionsOptions) {
    const limits = deriveClientLimits(settings);
    this.limits = limits;
    this.clock = clock;
    this.log = new BurstLog({ log, clock });
    this.budget = new MemoryBudget({ maximumBytes: limits.maximumBytes, clock });
    this.garbage = new BufferGarbage({ memoryBytes: limits.memoryBytes, clock });
    this.turns = new ReadTurns({
      connections: () => this.connections.values(),
      onRead: (bytes) => this.garbage.recordReceived(bytes),
    });
    this.stops = registry.counter({
      name: 'client_stops',
      help: 'Clients refused or cut off for a limit of the process, by reason.',
      labels: ['reason'] as const,
    });
    registry
      .gauge({ name: 'client_connections', help: 'Open connections of clients.' })
      .readFrom(() => this.connections.size);
    registry
      .gauge({ name: 'client_bytes', help: 'Memory that is reserved for clients.', unit: 'bytes' })
      .readFrom(() => this.budget.reservedBytes);
    log.write(clientsLogEvents.limits, { ...limits });
    this.timer = setInterval(() => this.check(), CHECK_MILLISECONDS).unref();
  }

  /**
   * Keeps the connections of a server within the limits.
   *
   * @param server - a server that clients reach.
   */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => this.add(socket));
  }

  /**
   * Counts a request whose head has arrived; closes its connection if there is no memory for it.
   *
   * @param request - its head.
   * @param response - its answer.
   * @returns Its part of the memory, which is released at the end of the answer; `undefined` if there is none.
   */
  begin(request: IncomingMessage, response: ServerResponse): MemoryReservation | undefined {
    const { socket } = request;
    const connection = this.connections.get(socket);
    if (!connection || socket.destroyed) return undefined;
    const memory = this.budget.open();
    const hasShare = connection.waitingBytes < WAITING_SHARE * this.limits.maximumBytes;
    if (!hasShare || !memory.grow(REQUEST_BYTES + HEAD_COST * headBytes(request))) {
      this.report('no_memory');
      socket.destroy();
      return undefined;
    }
    response.once('close', () => memory.release());
    connection.add(response, memory);
    if (connection.hasReadAhead) this.turns.slice(connection);
    return memory;
  }

  /**
   * Runs a request once all earlier ones of its connection are answered.
   *
   * @param response - its answer.
   * @param run - runs it; not called if the client leaves before.
   */
  runInTurn(response: ServerResponse, run: () => void): void {
    this.connections.get(response.req.socket)?.runInTurn(response, run);
  }

  /**
   * Waits until all earlier requests of a connection are answered.
   *
   * @param response - answer to a request.
   * @returns Whether it is its turn; `false` if the client has left.
   */
  untilTurn(response: ServerResponse): Promise<boolean> {
    return new Promise((done) => {
      response.once('close', () => done(false));
      this.runInTurn(response, () => done(true));
    });
  }

  /**
   * @param socket - connection of a client.
   * @returns Its state; `undefined` once it is closed.
   */
  of(socket: Duplex): ClientConnection | undefined {
    return this.connections.get(socket);
  }

  /**
   * Counts and logs that a client was stopped.
   *
   * @param reason - the limit that it has reached.
   */
  report(reason: StopReason): void {
    this.stops.increment({ reason });
    this.log.write(clientsLogEvents.stopped, {
      reason,
      connections: this.connections.size,
      bytes: this.budget.reservedBytes,
    });
  }

  /** Ends the looks at the connections. */
  stop(): void {
    clearInterval(this.timer);
  }

  private add(socket: Socket): void {
    const memory = this.budget.open();
    const now = () => this.clock.monotonicMilliseconds();
    const connection = new ClientConnection({ socket, memory, now });
    const isFull = this.connections.size >= this.limits.maximumConnections;
    if ((isFull && !this.makeRoom()) || !connection.reserve()) {
      this.report('no_connection');
      memory.release();
      socket.destroy();
      return;
    }
    this.connections.set(socket, connection);
    socket.once('close', () => this.remove(socket, connection));
  }

  private remove(socket: Socket, connection: ClientConnection): void {
    this.connections.delete(socket);
    this.turns.forget(connection);
    connection.closed();
  }

  /** Closes the connection that is furthest from being of use. */
  private makeRoom(): boolean {
    const all = [...this.connections.values()];
    const now = this.clock.monotonicMilliseconds();
    const victim =
      all.find(({ phase }) => phase === 'new') ??
      all.find(({ hasStalled }) => hasStalled) ??
      longestIdle(all) ??
      all.find(({ isEvictable, since }) => isEvictable && now - since >= STALLED_MILLISECONDS);
    if (!victim) return false;
    this.report('connections');
    victim.evict();
    this.connections.delete(victim.socket);
    return true;
  }

  private check(): void {
    for (const connection of this.connections.values()) {
      if (!connection.check()) {
        this.report('no_memory');
        connection.socket.destroy();
      }
    }
    this.checkAnswers();
  }

  /** Breaks off answers that clients do not read, since they keep runners from others. */
  private checkAnswers(): void {
    const now = this.clock.monotonicMilliseconds();
    const unread = [...this.connections.values()]
      .flatMap((connection) => {
        const { answerUnreadSince: since = now } = connection;
        return now - since >= STALLED_MILLISECONDS ? [{ connection, since }] : [];
      })
      .sort((one, other) => one.since - other.since);
    const excess = unread.length - this.limits.maximumUnreadAnswers;
    for (const [index, { connection, since }] of unread.entries()) {
      if (index < excess || now - since >= this.unreadMilliseconds) {
        this.report('unread');
        connection.socket.destroy();
      }
    }
  }
}
