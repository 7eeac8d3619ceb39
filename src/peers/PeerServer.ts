/**
 * Serves the peer service to authenticated daemons and refuses all other callers.
 */
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';

import type { Interceptor, ServiceImpl } from '@connectrpc/connect';
import { Code, ConnectError, createContextValues } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import { PeerService } from '../generated/baobabdock/v1/peers_pb.js';
import { listen } from '../http/listen.js';
import type { Log } from '../logging/Log.js';
import { SilentLog } from '../logging/Log.js';
import { gzipCompression } from './gzipCompression.js';
import type { PeerCredentials } from './PeerCredentials.js';
import { ANSWER_HEADER, TOKEN_HEADER } from './peerHeaders.js';
import { peerIdentityKey } from './peerIdentity.js';
import { callOfPath, CONNECTION_CALL, PeerTraffic } from './PeerTraffic.js';
import type { PeersSettings } from './peersFeature.js';
import { peersLogEvents } from './peersFeature.js';

/** The methods of the peer service that one feature implements. */
export type PeerHandlers = Partial<ServiceImpl<typeof PeerService>>;

/** Settings that the serving side uses. */
export type PeerServerSettings = Pick<
  PeersSettings,
  | 'idleConnectionMilliseconds'
  | 'maximumServedConnections'
  | 'maximumMessageBytes'
  | 'stopTimeoutMilliseconds'
>;

/** Options of a {@link PeerServer}. */
export interface PeerServerOptions {
  credentials: PeerCredentials;
  settings: PeerServerSettings;
  traffic?: PeerTraffic;
  log?: Log;
}

/** Maximum size of a request's headers, which limits what an unauthenticated caller can send. */
const MAXIMUM_HEADER_BYTES = 8 * 1024;

/** Time within which a request's headers have to arrive. */
const HEADERS_TIMEOUT_MILLISECONDS = 5_000;

/** Time within which a whole request has to arrive. */
const REQUEST_TIMEOUT_MILLISECONDS = 60_000;

/** Minimum size of an answer for compression, as on the calling side. */
const COMPRESSION_THRESHOLD_BYTES = 256;

/**
 * Additional time for which the server keeps an idle connection, so that the caller closes it first. Otherwise a call
 * could be sent on a connection that the server has just closed.
 */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 30_000;

/** Sends every unauthenticated caller the same answer, so that it learns no names, methods or reasons. */
function refuseRequest(_request: IncomingMessage, response: ServerResponse): void {
  response.sendDate = false;
  response.writeHead(401, { 'content-length': 0, connection: 'close' }).end();
}

/** HTTP server of the peer service. All handlers have to be mounted before it listens. */
export class PeerServer {
  /** Number of served calls and bytes by kind of call. */
  readonly traffic: PeerTraffic;

  private readonly credentials: PeerCredentials;

  private readonly settings: PeerServerSettings;

  private readonly log: Log;

  private readonly server: Server;

  private readonly handlers: PeerHandlers = { authenticate: () => ({}) };

  private readonly identities = new WeakMap<IncomingMessage, string>();

  private readonly sockets = new Set<Socket>();

  private listener: RequestListener = refuseRequest;

  /**
   * @param options - the credentials, the limits, the traffic counter and the log.
   */
  constructor({
    credentials,
    settings,
    traffic = new PeerTraffic(),
    log = new SilentLog(),
  }: PeerServerOptions) {
    this.credentials = credentials;
    this.settings = settings;
    this.traffic = traffic;
    this.log = log;
    this.server = createServer(
      {
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
        requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
        keepAliveTimeout: settings.idleConnectionMilliseconds + KEEP_ALIVE_MARGIN_MILLISECONDS,
        noDelay: true,
      },
      (request, response) => this.serve(request, response),
    );
    this.server.maxConnections = settings.maximumServedConnections;
    // Daemons never send `Expect: 100-continue`; by default, Node.js would ask an unauthenticated caller for its body.
    this.server.on('checkContinue', refuseRequest);
    this.server.on('connection', (socket: Socket) => this.track(socket));
    this.server.on('clientError', (_error, socket) => socket.destroy());
  }

  /**
   * Adds methods; calls of methods that no feature adds fail with `unimplemented`.
   *
   * @param handlers - the methods of one feature.
   * @throws {@link Error} when two features implement the same method.
   */
  mount(handlers: PeerHandlers): void {
    for (const name of Object.keys(handlers)) {
      if (name in this.handlers) throw new Error(`Two features implement the peer method ${name}.`);
    }
    Object.assign(this.handlers, handlers);
  }

  /**
   * Starts to serve.
   *
   * @param host - IP address to listen on.
   * @param port - TCP port; 0 selects a free one.
   * @returns The actual port.
   */
  async listen(host: string, port: number): Promise<number> {
    this.listener = connectNodeAdapter({
      routes: (router) => router.service(PeerService, this.handlers),
      grpc: false,
      grpcWeb: false,
      readMaxBytes: this.settings.maximumMessageBytes,
      writeMaxBytes: this.settings.maximumMessageBytes,
      acceptCompression: [gzipCompression],
      compressMinBytes: COMPRESSION_THRESHOLD_BYTES,
      interceptors: [this.hideInternalErrors()],
      contextValues: (request) =>
        createContextValues().set(
          peerIdentityKey,
          this.identities.get(request as IncomingMessage) ?? '',
        ),
    });
    const { port: actualPort } = await listen(this.server, { host, port });
    this.log.write(peersLogEvents.serverListening, { host, port: actualPort });
    return actualPort;
  }

  /**
   * Stops accepting connections, waits for calls in progress, and closes the remaining connections after the stop
   * timeout.
   */
  async close(): Promise<void> {
    let cutCalls = 0;
    const timer = setTimeout(() => {
      cutCalls = this.sockets.size;
      for (const socket of this.sockets) socket.destroy();
    }, this.settings.stopTimeoutMilliseconds);
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
    clearTimeout(timer);
    this.log.write(peersLogEvents.serverStopped, { cutCalls });
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    this.traffic.startCall(socket, 'served', CONNECTION_CALL);
    socket.once('close', () => {
      this.traffic.countBytes(socket);
      this.sockets.delete(socket);
    });
  }

  /** Authenticates the caller by its headers; the body of an unauthenticated caller is not read. */
  private serve(request: IncomingMessage, response: ServerResponse): void {
    const call = callOfPath(request.url);
    const verification = this.credentials.verifyCaller(
      String(request.headers[TOKEN_HEADER] ?? ''),
      call,
    );
    if (verification.kind === 'refused') {
      this.log.write(peersLogEvents.callerRefused, {
        reason: verification.reason,
        from: verification.from,
        address: request.socket.remoteAddress,
      });
      refuseRequest(request, response);
      return;
    }
    this.identities.set(request, verification.from);
    // Daemons keep connections open by default and read neither header; together they take 86 bytes of each answer.
    response.sendDate = false;
    response.removeHeader('connection');
    // Set before the call is handled, so that errors of every kind carry it as well.
    response.setHeader(ANSWER_HEADER, verification.answer);
    this.traffic.startCall(request.socket, 'served', call);
    response.once('close', () => this.traffic.countBytes(request.socket));
    this.listener(request, response);
  }

  /** Logs unexpected errors of handlers and reports them to the caller as "internal", without their text. */
  private hideInternalErrors(): Interceptor {
    return (next) => async (request) => {
      try {
        return await next(request);
      } catch (error) {
        if (error instanceof ConnectError) throw error;
        this.log.write(peersLogEvents.handlerFailed, {
          call: request.method.name,
          error: String(error),
        });
        throw new ConnectError('internal', Code.Internal);
      }
    };
  }
}
