/**
 * HTTP server for callers: accepts their requests and forwards each admitted one to a runner.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Server as PortServer, Socket } from 'node:net';

import { discardBody, receiveBody } from '../clients/BodyReception.js';
import type { BodyRefusal } from '../clients/BodyReception.js';
import { ClientConnections, HEAD_CHECK_MILLISECONDS } from '../clients/ClientConnections.js';
import type { MemoryReservation } from '../clients/MemoryBudget.js';
import { listen, takeOverPort } from '../http/listen.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { CallerLimits } from '../routes/routeTypes.js';
import { storePositionOf } from '../sync/orderedRevision.js';
import { admitRequest, STOPPING } from './admitRequest.js';
import { AnswerRelay } from './AnswerRelay.js';
import type { DaemonAnswer } from './AnswerRelay.js';
import { forwardingLogEvents } from './forwardingFeature.js';
import { ForwardedRequest } from './ForwardedRequest.js';
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';
import { RequestsInProgress } from './RequestsInProgress.js';

/** Header limit of the HTTP parser before the first configuration, in bytes. */
const PARSER_HEADER_BYTES = 65_536;

/** The parser also counts the request line, which the configured limit does not. */
const PARSER_MARGIN = 2;

/** Status lines for requests that the HTTP parser rejects, by its error code; all others get 400. */
const PARSER_ANSWERS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/**
 * Length of the listen queue, in connections: after an outage of all daemons every caller reconnects within a second.
 * The operating system caps it at its own limit.
 */
const LISTEN_BACKLOG = 1_024;

/**
 * How long a request that arrives while the daemon starts waits for the first configuration, in ms. A responsive store
 * supplies it within 30 to 60 ms. After this time, or at once if the store is known to be unresponsive, the caller gets
 * a `Retry-After` instead.
 */
const CONFIGURATION_WAIT_MILLISECONDS = 200;

/** `Retry-After` of a request whose body found no memory, in seconds; clients that stall lose theirs within a second. */
const NO_MEMORY_RETRY_SECONDS = 1;

/** How long the body of a rejected request is read on before the first configuration, in ms. */
const DISCARD_MILLISECONDS = 3_000;

const REFUSED_BODIES: Readonly<Record<BodyRefusal, DaemonAnswer>> = {
  too_large: { status: 413, reason: 'body_too_large' },
  no_memory: { status: 503, reason: 'no_memory', retryAfterSeconds: NO_MEMORY_RETRY_SECONDS },
  late: { status: 408, reason: 'body_late' },
};

const BAD_REQUEST = '400 Bad Request';

/** HTTP server with all connections from callers. */
export class ForwardingServer {
  /** Number of requests whose answers are not complete. */
  inFlight = 0;

  private readonly context: ForwardingContext;

  private readonly remaining = new RequestsInProgress();

  private readonly clients: ClientConnections;

  private readonly server: Server;

  /** Callbacks of the requests that wait for the first configuration. */
  private readonly awaitingConfiguration = new Set<() => void>();

  /**
   * @param context - dependencies that all requests share.
   * @param clients - keeps the clients of the process within its limits.
   */
  constructor(context: ForwardingContext, clients = new ClientConnections({})) {
    this.context = context;
    this.clients = clients;
    this.server = createServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES,
        noDelay: true,
        connectionsCheckingInterval: HEAD_CHECK_MILLISECONDS,
      },
      (...both) => this.handle(...both),
    );
    clients.watch(this.server);
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      const status = PARSER_ANSWERS[error.code ?? ''] ?? BAD_REQUEST;
      if (!socket.writable) socket.destroy();
      else socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
      // A client that does not close its side would keep the connection for good.
      socket.destroySoon();
    });
  }

  /**
   * @param address - host and port on which callers connect.
   * @param listener - server that has opened the port already and is taken over; must not be closed separately.
   * @returns Resolves once connections are accepted.
   */
  listen(address: HostAndPort, listener?: PortServer): Promise<unknown> {
    if (listener) return takeOverPort(this.server, listener);
    return listen(this.server, { ...address, backlog: LISTEN_BACKLOG });
  }

  /**
   * @param limits - limits for callers of the configuration that came into force.
   */
  applyLimits({
    maximumHeaderBytes,
    headerTimeoutMilliseconds,
    idleTimeoutMilliseconds,
  }: CallerLimits): void {
    // The library reads the limit at each new connection.
    Object.assign(this.server, { maxHeaderSize: Math.ceil(PARSER_MARGIN * maximumHeaderBytes) });
    this.server.headersTimeout = headerTimeoutMilliseconds;
    this.server.keepAliveTimeout = idleTimeoutMilliseconds;
    this.clients.unreadMilliseconds = idleTimeoutMilliseconds;
  }

  /** The first configuration is in force: serves the requests that wait for it. */
  configured(): void {
    for (const serve of [...this.awaitingConfiguration]) serve();
  }

  /** Answers the requests that are still being forwarded, as there is no time left for their runners. */
  endRemaining(): void {
    this.remaining.end();
  }

  /** Accepts no more connections and closes idle ones; requests in progress finish. */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const memory = this.clients.begin(request, response);
    if (!memory) return;
    const { clock, routes, isStoreSilent } = this.context;
    const arrivedAt = clock.monotonicMilliseconds();
    const serve = () => this.serve(request, response, memory, arrivedAt);
    if (routes() || isStoreSilent()) serve();
    else this.waitForConfiguration(response, serve);
  }

  private waitForConfiguration(response: ServerResponse, serve: () => void): void {
    const resume = () => {
      const isWaiting = this.awaitingConfiguration.delete(resume);
      if (isWaiting && !response.destroyed) serve();
    };
    this.awaitingConfiguration.add(resume);
    setTimeout(resume, CONFIGURATION_WAIT_MILLISECONDS);
  }

  private serve(
    request: IncomingMessage,
    response: ServerResponse,
    memory: MemoryReservation,
    arrivedAt: number,
  ): void {
    const closes = () => this.context.stopPhase() !== 'serving';
    const relay = new AnswerRelay(response, closes, memory);
    const admission = admitRequest(request, this.context, arrivedAt);
    if (admission.kind === 'rejected') {
      this.reject(request, response, relay, admission.own);
      return;
    }
    this.inFlight += 1;
    response.once('close', () => {
      this.inFlight -= 1;
    });
    const { request: admitted } = admission;
    this.readBody(request, admitted, relay, (body) => {
      this.clients.runInTurn(response, () => {
        // The daemon may have begun to refuse requests while the body arrived, or earlier ones were answered.
        if (this.context.stopPhase() === 'closing') this.answerRejection(request, relay, STOPPING);
        else this.forward(admitted, body, relay, response);
      });
    });
  }

  /** Rejects a request. Its body is read and dropped, so that the connection can carry the next request. */
  private reject(
    request: IncomingMessage,
    response: ServerResponse,
    relay: AnswerRelay,
    own: DaemonAnswer,
  ): void {
    if (own.status === 413 || own.status === 431) response.shouldKeepAlive = false;
    const { maximumBodyBytes = 0, idleTimeoutMilliseconds = 0 } =
      this.context.routes()?.configuration.limits ?? {};
    discardBody({
      ...{ request, clients: this.clients },
      maximumBytes: maximumBodyBytes,
      milliseconds: idleTimeoutMilliseconds || DISCARD_MILLISECONDS,
    });
    this.answerRejection(request, relay, own);
  }

  private answerRejection(
    { headers }: IncomingMessage,
    relay: AnswerRelay,
    own: DaemonAnswer,
  ): void {
    const { status, reason } = own;
    relay.sendDaemonAnswer(own);
    const { metrics, log, protocol, routes, unreachedAnnouncement, clock } = this.context;
    const newer = unreachedAnnouncement();
    metrics.requests.increment({ route: 'none', outcome: reason });
    log.write(forwardingLogEvents.rejected, {
      request: String(headers[protocol.names.requestId] ?? ''),
      outcome: reason,
      status,
      configurationVersion: routes()?.configuration.version,
      ...(newer && {
        newerRevision: storePositionOf(newer.revision).revision,
        newerAt: newer.daemon,
        newerMilliseconds: Math.round(clock.monotonicMilliseconds() - newer.at),
      }),
    });
  }

  private forward(
    request: AdmittedRequest,
    body: Buffer | undefined,
    relay: AnswerRelay,
    response: ServerResponse,
  ): void {
    if (response.destroyed) return;
    const forwarded = new ForwardedRequest({ request, body, relay, context: this.context });
    this.remaining.add(forwarded, response);
    forwarded.start();
  }

  private readBody(
    request: IncomingMessage,
    { method, deadlineAt }: AdmittedRequest,
    relay: AnswerRelay,
    done: (body: Buffer | undefined) => void,
  ): void {
    const { headers } = request;
    const hasBody =
      headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
    if (!hasBody) {
      request.resume();
      done(method === 'POST' ? Buffer.alloc(0) : undefined);
      return;
    }
    const { clients } = this;
    const { routes, clock } = this.context;
    const { maximumBodyBytes: maximumBytes = 0, idleTimeoutMilliseconds: idleMilliseconds } =
      routes()?.configuration.limits ?? {};
    receiveBody({
      ...{ request, clients, memory: relay.memory, maximumBytes },
      ...(idleMilliseconds !== undefined && { idleMilliseconds }),
      milliseconds: deadlineAt - clock.monotonicMilliseconds(),
      onReceived: done,
      onRefused: (refusal) => {
        relay.closeAfterAnswer();
        this.answerRejection(request, relay, REFUSED_BODIES[refusal]);
      },
    });
  }
}
