/**
 * The server that callers connect to.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Server as PortServer, Socket } from 'node:net';

import { listen, takeOver } from '../http/listen.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { CallerLimits } from '../routes/routeTypes.js';
import { admitRequest } from './admitRequest.js';
import { AnswerRelay } from './AnswerRelay.js';
import type { OwnAnswer } from './AnswerRelay.js';
import { forwardingLogEvents } from './forwardingFeature.js';
import { ForwardedRequest } from './ForwardedRequest.js';
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';

/** The parser's own limit, in bytes; the configured one is checked once a request has been read. */
const PARSER_HEADER_BYTES = 131_072;

/** Answers to what the parser refuses, by its error code. */
const PARSER_ANSWERS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** After a loss of all daemons every caller connects anew within a second; the system caps it at its own limit. */
const WAITING_CONNECTIONS = 1_024;

/**
 * A request that comes while a daemon starts waits this long for the first configuration, in ms: a store that answers
 * gives one within 30 to 60 ms. Where the store is known to be silent, and after this time, the caller is told when to
 * come back instead.
 */
const STARTING_MILLISECONDS = 200;

const BODY_TOO_LARGE: OwnAnswer = { status: 413, reason: 'body_too_large' };

const BAD_REQUEST = '400 Bad Request';

/** Owns the callers' connections. */
export class CallerFront {
  /** Requests whose answers are not complete. */
  inFlight = 0;

  private readonly context: ForwardingContext;

  private readonly server: Server;

  /** Requests that wait for the first configuration. */
  private readonly starting = new Set<() => void>();

  /**
   * @param context - what requests work with.
   */
  constructor(context: ForwardingContext) {
    this.context = context;
    this.server = createServer({ maxHeaderSize: PARSER_HEADER_BYTES, noDelay: true }, (...both) =>
      this.take(...both),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      const status = PARSER_ANSWERS[error.code ?? ''] ?? BAD_REQUEST;
      if (!socket.writable) socket.destroy();
      else socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    });
  }

  /**
   * @param address - of this daemon for callers.
   * @param listener - that has opened the port already; it must not be closed by itself.
   * @returns Once connections are taken.
   */
  listen(address: HostAndPort, listener?: PortServer): Promise<unknown> {
    if (listener) return takeOver(this.server, listener);
    return listen(this.server, { ...address, backlog: WAITING_CONNECTIONS });
  }

  /**
   * @param limits - of the configuration that came into force.
   */
  applyLimits({ headerTimeoutMilliseconds, idleTimeoutMilliseconds }: CallerLimits): void {
    this.server.headersTimeout = headerTimeoutMilliseconds;
    this.server.keepAliveTimeout = idleTimeoutMilliseconds;
  }

  /** Requests can be served from now on; those that wait for it are. */
  configured(): void {
    for (const serve of [...this.starting]) serve();
  }

  /** Takes no more connections and closes idle ones; requests in progress finish. */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const { clock, routes, isStoreSilent } = this.context;
    const arrivedAt = clock.monotonicMilliseconds();
    if (routes() || isStoreSilent()) this.serve(request, response, arrivedAt);
    else this.holdBack(response, () => this.serve(request, response, arrivedAt));
  }

  private holdBack(response: ServerResponse, serve: () => void): void {
    const once = () => {
      const isWaiting = this.starting.delete(once);
      if (isWaiting && !response.destroyed) serve();
    };
    this.starting.add(once);
    setTimeout(once, STARTING_MILLISECONDS);
  }

  private serve(request: IncomingMessage, response: ServerResponse, arrivedAt: number): void {
    const relay = new AnswerRelay(response, () => this.context.stopPhase() !== 'serving');
    const admission = admitRequest(request, this.context, arrivedAt);
    if (admission.kind === 'rejected') {
      this.reject(request, response, relay, admission.own);
      return;
    }
    this.inFlight += 1;
    response.once('close', () => {
      this.inFlight -= 1;
    });
    this.readBody(request, admission.request, relay, (body) => {
      this.forward(admission.request, body, relay, response);
    });
  }

  /** A rejected body is read and dropped, so that the connection can carry the next request. */
  private reject(
    request: IncomingMessage,
    response: ServerResponse,
    relay: AnswerRelay,
    own: OwnAnswer,
  ): void {
    if (own.status === 413) response.shouldKeepAlive = false;
    request.resume();
    this.refuse(request, relay, own);
  }

  private refuse({ headers }: IncomingMessage, relay: AnswerRelay, own: OwnAnswer): void {
    const { status, reason } = own;
    relay.answerOwn(own);
    const { metrics, log, protocol, routes } = this.context;
    metrics.requests.increment({ route: 'none', outcome: reason });
    log.write(forwardingLogEvents.rejected, {
      request: String(headers[protocol.names.requestId] ?? ''),
      outcome: reason,
      status,
      configurationVersion: routes()?.configuration.version,
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
    response.once('close', () => forwarded.callerLeft());
    forwarded.start();
  }

  private readBody(
    request: IncomingMessage,
    { method }: AdmittedRequest,
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
    const limit = this.context.routes()?.configuration.limits.maximumBodyBytes ?? 0;
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= limit) chunks.push(chunk);
      else if (!relay.isDone) this.refuse(request, relay, BODY_TOO_LARGE);
    });
    request.once('end', () => {
      if (!relay.isDone) done(Buffer.concat(chunks, bytes));
    });
  }
}
