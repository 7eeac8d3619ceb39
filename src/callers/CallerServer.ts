/**
 * HTTP server for callers: owns the listening socket, the connections and the requests on them.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { ClientConnections } from '../clients/ClientConnections.js';
import type { FleetView } from '../fleet/FleetView.js';
import type { HomePort } from '../homes/HomePort.js';
import { listen } from '../http/listen.js';
import type { Log } from '../logging/Log.js';
import { SilentLog } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { BindingIssuer } from '../requests/BindingIssuer.js';
import type { RequestPort } from '../requests/RequestPort.js';
import type { Clock } from '../time/Clock.js';
import { SystemClock } from '../time/SystemClock.js';
import { AccountAuthentication } from './AccountAuthentication.js';
import { BodyBudget } from './BodyBudget.js';
import { CallerError } from './CallerError.js';
import type { CallerMetrics } from './CallerMetrics.js';
import { NoCallerMetrics } from './CallerMetrics.js';
import { createCallerRoutes } from './callerRoutes.js';
import type { CallersSettings } from './callersFeature.js';
import { CALLER_EVENTS, callersSettings } from './callersFeature.js';
import type { CallerContext } from './callersTypes.js';
import { Exchange } from './Exchange.js';
import { malformedError, writeRawAnswer } from './rawAnswer.js';
import { reportExchange } from './reportExchange.js';
import { RequestDispatcher } from './RequestDispatcher.js';

const LOOPBACK = '127.0.0.1';
/** Idle time of a connection before the first TCP keep-alive probe. */
const TCP_KEEP_ALIVE_DELAY_MILLISECONDS = 30_000;
/** Upper limit of the interval in which Node.js checks connections for timeouts. */
const MAXIMUM_CONNECTION_CHECK_INTERVAL_MILLISECONDS = 1000;

/** Connections above the limit whose requests still get an error answer; further ones are closed at once. */
const ANSWERED_EXCESS_CONNECTIONS = 64;

/** Options of a {@link CallerServer}. */
export interface CallerServerOptions {
  fleet: FleetView;
  requests: RequestPort;
  bindings: BindingIssuer;
  /** Finds the runners where a chat is warm, so that locate can return the daemon with the gate of one. */
  homes?: HomePort;
  /** IP address to listen on. */
  host?: string;
  /** TCP port to listen on; 0 selects a free one. */
  port?: number;
  log?: Log;
  clock?: Clock;
  metrics?: CallerMetrics;
  /** Gets the metrics of the limits for all callers. */
  registry?: MetricRegistry;
  settings?: CallersSettings;
}

/** Address and port that a server listens on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Accepts connections of callers, dispatches their requests, and drains before a planned stop. */
export class CallerServer {
  private readonly address: ListenAddress;

  private readonly context: CallerContext;

  private readonly dispatcher: RequestDispatcher;

  private readonly server: Server;

  private readonly exchangesBySocket = new Map<Duplex, Set<Exchange>>();

  /** Errors for malformed input behind a request in progress; each is sent after the answer to that request. */
  private readonly malformed = new WeakMap<Duplex, CallerError>();

  private readonly excessSockets = new WeakSet<Duplex>();

  private connections = 0;

  private inProgress = 0;

  private draining = false;

  private drainWaiters: (() => void)[] = [];

  /**
   * @param options - the parts that the server works with, its address and its settings.
   */
  constructor({
    fleet,
    requests,
    bindings,
    homes,
    host = LOOPBACK,
    port = 0,
    log = new SilentLog(),
    clock = new SystemClock(),
    metrics = new NoCallerMetrics(),
    registry,
    settings = callersSettings.parse({}),
  }: CallerServerOptions) {
    this.address = { host, port };
    const clients = new ClientConnections({
      ...{ settings: settings.clients, clock, log },
      ...(registry && { registry }),
    });
    clients.unreadMilliseconds = settings.stallTimeoutMilliseconds;
    this.context = {
      fleet,
      requests,
      bindings,
      homes,
      log,
      clock,
      metrics,
      settings,
      bodyBudget: new BodyBudget({ maximumBytes: settings.maximumBufferedBodyBytes }),
      clients,
      isDraining: () => this.draining,
    };
    this.dispatcher = new RequestDispatcher({
      routes: createCallerRoutes(settings),
      authentication: new AccountAuthentication({ fleet, log }),
      hasCapacity: () => this.inProgress <= settings.maximumRequestsInProgress,
    });
    this.server = this.createServer();
  }

  /**
   * Starts to listen.
   *
   * @returns The address, with the actual port.
   * @throws When the server cannot listen on the address.
   */
  async start(): Promise<ListenAddress> {
    const { address, port } = await listen(this.server, this.address);
    this.context.log.write(CALLER_EVENTS.listening, { host: address, port });
    return { host: address, port };
  }

  /**
   * Rejects new requests and lets those in progress finish. The socket stays open, so that a caller with an
   * outdated locate answer is told immediately to locate again, instead of waiting for a connection.
   *
   * @returns A promise that resolves when no request is in progress.
   */
  async drain(): Promise<void> {
    if (!this.draining) {
      this.draining = true;
      this.context.log.write(CALLER_EVENTS.draining, { inProgress: this.inProgress });
    }
    if (this.inProgress > 0) {
      await new Promise<void>((resolve) => {
        this.drainWaiters.push(resolve);
      });
    }
    this.context.log.write(CALLER_EVENTS.drained);
  }

  /** Closes the listening socket and all connections; requests still in progress are aborted. */
  async stop(): Promise<void> {
    this.context.clients.stop();
    if (!this.server.listening) return;
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeAllConnections();
    await closed;
    this.context.log.write(CALLER_EVENTS.stopped, { cut: this.inProgress });
  }

  private createServer(): Server {
    const { settings } = this.context;
    const server = createServer({
      maxHeaderSize: settings.maximumHeaderBytes,
      headersTimeout: settings.headerTimeoutMilliseconds,
      // Bodies that are read have their own, more exact limit; this one covers bodies that no route reads.
      requestTimeout: settings.headerTimeoutMilliseconds + settings.bodyTimeoutMilliseconds,
      connectionsCheckingInterval: Math.min(
        settings.headerTimeoutMilliseconds,
        MAXIMUM_CONNECTION_CHECK_INTERVAL_MILLISECONDS,
      ),
      keepAliveTimeout: settings.keepAliveMilliseconds,
      // A caller whose instance died sends no FIN; without keep-alive probes its connection would seem open.
      keepAlive: true,
      keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MILLISECONDS,
      // The dispatcher checks the header, so that its absence is answered in the documented format.
      requireHostHeader: false,
    });
    // One header more than allowed is read, so that an excess is detected; Node.js drops further ones silently.
    server.maxHeadersCount = settings.maximumHeaderCount + 1;
    server.maxConnections = settings.maximumConnections + ANSWERED_EXCESS_CONNECTIONS;
    this.context.clients.watch(server);
    server.on('connection', (socket) => this.trackConnection(socket));
    server.on('drop', () => this.context.log.write(CALLER_EVENTS.connectionLimit));
    server.on('request', (request, response) => {
      void this.serve(request, response, false);
    });
    server.on('checkContinue', (request, response) => {
      void this.serve(request, response, true);
    });
    server.on('checkExpectation', (request, response) => {
      void this.serve(request, response, false);
    });
    server.on('clientError', (error, socket) => this.handleParserError(error, socket));
    server.on('connect', (_request, socket) => this.rejectTunnel(socket));
    return server;
  }

  private trackConnection(socket: Socket): void {
    this.connections += 1;
    socket.once('close', () => {
      this.connections -= 1;
    });
    if (this.connections <= this.context.settings.maximumConnections) return;
    this.excessSockets.add(socket);
    this.context.log.write(CALLER_EVENTS.connectionLimit);
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const { context } = this;
    const { socket } = request;
    const memory = context.clients.begin(request, response);
    if (!memory) return;
    const exchange = new Exchange({ request, response, context, memory, expectsContinue });
    const onSocket = this.exchangesBySocket.get(socket) ?? new Set();
    this.exchangesBySocket.set(socket, onSocket.add(exchange));
    this.inProgress += 1;
    // A body is read at once, since the HTTP library keeps each chunk of one that nobody reads.
    const mayBegin = exchange.reader.bodyPending || (await context.clients.untilTurn(response));
    if (mayBegin) await this.dispatcher.dispatch(exchange, this.excessSockets.has(socket));
    exchange.reader.releaseBudget();
    this.inProgress -= 1;
    onSocket.delete(exchange);
    if (onSocket.size === 0) this.handleIdleSocket(socket);
    reportExchange(exchange);
    if (this.inProgress > 0 || !this.draining) return;
    for (const resolve of this.drainWaiters.splice(0)) resolve();
  }

  /**
   * Handles input that the HTTP parser rejects. If a body being read is malformed, the error becomes the
   * answer to its request. Otherwise the error is sent after the answers in progress on the connection: if it
   * were written earlier, the caller would read it as part of such an answer.
   */
  private handleParserError(error: Error, socket: Duplex): void {
    const callerError = malformedError(error);
    const onSocket = [...(this.exchangesBySocket.get(socket) ?? [])];
    if (this.malformed.has(socket)) return;
    this.context.log.write(CALLER_EVENTS.malformed, { error: error.message });
    if (onSocket.at(-1)?.reader.failRead(callerError)) return;
    this.malformed.set(socket, callerError);
    if (onSocket.length === 0) this.writeRawError(socket, callerError);
  }

  private handleIdleSocket(socket: Duplex): void {
    this.exchangesBySocket.delete(socket);
    const malformed = this.malformed.get(socket);
    if (malformed) this.writeRawError(socket, malformed);
  }

  private rejectTunnel(socket: Duplex): void {
    this.writeRawError(
      socket,
      new CallerError({ code: 'invalid_request', status: 405, message: 'no tunnels here' }),
    );
  }

  private writeRawError(socket: Duplex, error: CallerError): void {
    const { lingerMilliseconds } = this.context.settings;
    writeRawAnswer(socket, error, { requestId: randomUUID(), lingerMilliseconds });
  }
}
