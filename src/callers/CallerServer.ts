/**
 * Serves callers over HTTP: owns the listening socket, the connections and the requests on them.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import type { FleetView } from '../fleet/FleetView.js';
import type { HomePort } from '../homes/HomePort.js';
import { listen } from '../http/listen.js';
import type { Log } from '../logging/Log.js';
import { SilentLog } from '../logging/Log.js';
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
const TCP_PROBE_DELAY_MILLISECONDS = 30_000;
const LONGEST_CONNECTION_CHECK_MILLISECONDS = 1000;

/** Connections beyond the limit that are still told so; further ones are closed at once. */
const TOLD_EXCESS_CONNECTIONS = 64;

/** Options of a {@link CallerServer}. */
export interface CallerServerOptions {
  fleet: FleetView;
  requests: RequestPort;
  bindings: BindingIssuer;
  /** Lets locate name the gate of a runner where the chat is warm. */
  homes?: HomePort;
  /** IP number to listen on. */
  host?: string;
  /** TCP port to listen on; 0 takes a free one. */
  port?: number;
  log?: Log;
  clock?: Clock;
  metrics?: CallerMetrics;
  settings?: CallersSettings;
}

/** Where a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** The task that serves callers. */
export class CallerServer {
  private readonly address: ListenAddress;

  private readonly context: CallerContext;

  private readonly dispatcher: RequestDispatcher;

  private readonly server: Server;

  private readonly exchanges = new Map<Duplex, Set<Exchange>>();

  /** Errors for input that came behind a request in progress. */
  private readonly malformed = new WeakMap<Duplex, CallerError>();

  private readonly excess = new WeakSet<Duplex>();

  private connections = 0;

  private inProgress = 0;

  private draining = false;

  private onDrained: (() => void)[] = [];

  /**
   * @param options - what it serves from, and its limits.
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
    settings = callersSettings.parse({}),
  }: CallerServerOptions) {
    this.address = { host, port };
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
      isDraining: () => this.draining,
    };
    this.dispatcher = new RequestDispatcher({
      routes: createCallerRoutes(settings),
      authentication: new AccountAuthentication({ fleet, log }),
      hasRoom: () => this.inProgress <= settings.maximumRequestsInProgress,
    });
    this.server = this.createServer();
  }

  /**
   * Starts to listen.
   *
   * @returns The address, with the port that was taken.
   * @throws When the address cannot be taken.
   */
  async start(): Promise<ListenAddress> {
    const { address, port } = await listen(this.server, this.address);
    this.context.log.write(CALLER_EVENTS.listening, { host: address, port });
    return { host: address, port };
  }

  /**
   * Refuses new requests and lets those in progress finish. The socket stays open, so that a caller with
   * an old answer of locate is told at once to locate again instead of waiting for a connection.
   *
   * @returns When no request is in progress any more.
   */
  async drain(): Promise<void> {
    if (!this.draining) {
      this.draining = true;
      this.context.log.write(CALLER_EVENTS.draining, { inProgress: this.inProgress });
    }
    if (this.inProgress > 0) {
      await new Promise<void>((resolve) => {
        this.onDrained.push(resolve);
      });
    }
    this.context.log.write(CALLER_EVENTS.drained);
  }

  /** Closes the socket and all connections; requests still in progress are cut. */
  async stop(): Promise<void> {
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
      // The body has its own, more exact limit; this one is for bodies that nobody reads.
      requestTimeout: settings.headerTimeoutMilliseconds + settings.bodyTimeoutMilliseconds,
      connectionsCheckingInterval: Math.min(
        settings.headerTimeoutMilliseconds,
        LONGEST_CONNECTION_CHECK_MILLISECONDS,
      ),
      keepAliveTimeout: settings.keepAliveMilliseconds,
      // A caller whose instance died sends no FIN; without probes its requests would look alive.
      keepAlive: true,
      keepAliveInitialDelay: TCP_PROBE_DELAY_MILLISECONDS,
      // Checked by the dispatcher, which answers in the documented form.
      requireHostHeader: false,
    });
    // One more than allowed is read, so that too many show; Node.js would drop them without a word.
    server.maxHeadersCount = settings.maximumHeaderCount + 1;
    server.maxConnections = settings.maximumConnections + TOLD_EXCESS_CONNECTIONS;
    server.on('connection', (socket) => this.admit(socket));
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
    server.on('clientError', (error, socket) => this.answerMalformed(error, socket));
    server.on('connect', (_request, socket) => this.refuseTunnel(socket));
    return server;
  }

  private admit(socket: Socket): void {
    this.connections += 1;
    socket.once('close', () => {
      this.connections -= 1;
    });
    if (this.connections <= this.context.settings.maximumConnections) return;
    this.excess.add(socket);
    this.context.log.write(CALLER_EVENTS.connectionLimit);
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const { socket } = request;
    const exchange = new Exchange({ request, response, context: this.context, expectsContinue });
    const onSocket = this.exchanges.get(socket) ?? new Set();
    this.exchanges.set(socket, onSocket.add(exchange));
    this.inProgress += 1;
    await this.dispatcher.dispatch(exchange, this.excess.has(socket));
    exchange.reader.release();
    this.inProgress -= 1;
    onSocket.delete(exchange);
    if (onSocket.size === 0) this.quietSocket(socket);
    reportExchange(exchange);
    if (this.inProgress > 0 || !this.draining) return;
    for (const resolve of this.onDrained.splice(0)) resolve();
  }

  /**
   * Input that is no HTTP. It is answered in its turn: an answer written beside one in progress would be
   * taken for a part of it. Where it is the body of a request that is malformed, the answer is the request's.
   */
  private answerMalformed(error: Error, socket: Duplex): void {
    const callerError = malformedError(error);
    const onSocket = [...(this.exchanges.get(socket) ?? [])];
    if (this.malformed.has(socket)) return;
    this.context.log.write(CALLER_EVENTS.malformed, { error: error.message });
    if (onSocket.at(-1)?.reader.abandon(callerError)) return;
    this.malformed.set(socket, callerError);
    if (onSocket.length === 0) this.writeRaw(socket, callerError);
  }

  private quietSocket(socket: Duplex): void {
    this.exchanges.delete(socket);
    const malformed = this.malformed.get(socket);
    if (malformed) this.writeRaw(socket, malformed);
  }

  private refuseTunnel(socket: Duplex): void {
    this.writeRaw(
      socket,
      new CallerError({ code: 'invalid_request', status: 405, message: 'no tunnels here' }),
    );
  }

  private writeRaw(socket: Duplex, error: CallerError): void {
    const { lingerMilliseconds } = this.context.settings;
    writeRawAnswer(socket, error, { requestId: randomUUID(), lingerMilliseconds });
  }
}
