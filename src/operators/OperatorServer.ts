/**
 * The server of the operators' interface: connect-es over Node's `http`, on its own port.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as timeout } from 'node:timers/promises';

import type { ConnectRouter, Interceptor } from '@connectrpc/connect';
import { Code, ConnectError, createContextValues } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import VError from 'verror';

import type { FleetView } from '../fleet/FleetView.js';
import {
  FleetService,
  KeyService,
  ResourceService,
  RolloutService,
} from '../generated/baobabdock/v1/operators_pb.js';
import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import { ChangeSubmitter } from './ChangeSubmitter.js';
import type { ConfigurationChanges } from './ConfigurationChanges.js';
import { FleetHandlers } from './FleetHandlers.js';
import type { GateStatusSource } from './GateStatusSource.js';
import { KeyHandlers } from './KeyHandlers.js';
import { operatorContextKey } from './operatorContext.js';
import type { OperatorsSettings } from './operatorsFeature.js';
import { operatorsFeature } from './operatorsFeature.js';
import { OperatorTokens } from './OperatorTokens.js';
import { ResourceHandlers } from './ResourceHandlers.js';
import { RolloutHandlers } from './RolloutHandlers.js';

const HTTP_UNAUTHORIZED = 401;

const events = operatorsFeature.logEvents;

const LOOPBACK = '127.0.0.1';

/** Options of an {@link OperatorServer}. */
export interface OperatorServerOptions {
  /** IP number to listen on. */
  host?: string;
  /** TCP port; 0 takes any free port. */
  port?: number;
  settings: OperatorsSettings;
  fleet: FleetView;
  gates: GateStatusSource;
  /** Returns this daemon's metrics page; by default an empty one. */
  metricsPage?: () => string;
  changes: ConfigurationChanges;
  clock: Clock;
  log: Log;
}

async function pause(milliseconds: number, signal: AbortSignal): Promise<void> {
  await timeout(milliseconds, undefined, { signal }).catch(() => {});
}

/** Logs an unexpected exception and answers with a general error, so that no internals reach the operator. */
function hideInternalErrors(log: Log): Interceptor {
  return (next) => async (request) => {
    try {
      return await next(request);
    } catch (error) {
      if (error instanceof ConnectError) throw error;
      const message = error instanceof Error ? VError.fullStack(error) : String(error);
      log.write(events.internal, { method: request.method.name, message });
      throw new ConnectError('The daemon failed by a fault of its own.', Code.Internal);
    }
  };
}

function addServices(router: ConnectRouter, options: OperatorServerOptions): void {
  const { settings, fleet, gates, changes, clock, log, metricsPage = () => '' } = options;
  const submitter = new ChangeSubmitter({ changes, log });
  const { maximumWaitMilliseconds } = settings;
  router.service(ResourceService, new ResourceHandlers({ changes, submitter }));
  router.service(KeyService, new KeyHandlers({ submitter, log }));
  router.service(
    FleetService,
    new FleetHandlers({
      fleet,
      gates,
      metricsPage,
      submitter,
      clock,
      pause,
      maximumWaitMilliseconds,
    }),
  );
  router.service(RolloutService, new RolloutHandlers({ changes, submitter, fleet }));
}

/** Listens for operators, authenticates their calls and passes them to the handlers. */
export class OperatorServer {
  private readonly host: string;

  private readonly port: number;

  private readonly settings: OperatorsSettings;

  private readonly log: Log;

  private readonly tokens: OperatorTokens;

  private readonly server: Server;

  /**
   * @param options - address, settings, the view of the fleet, the configuration, clock and log.
   */
  constructor(options: OperatorServerOptions) {
    const { settings, log, host = LOOPBACK, port = 0 } = options;
    this.host = host;
    this.port = port;
    this.settings = settings;
    this.log = log;
    this.tokens = new OperatorTokens({ tokens: settings.tokens });
    const handle = connectNodeAdapter({
      routes: (router) => addServices(router, options),
      contextValues: ({ headers }) =>
        createContextValues().set(
          operatorContextKey,
          this.tokens.operatorOf(headers.authorization),
        ),
      interceptors: [hideInternalErrors(log)],
      readMaxBytes: settings.maximumBodyBytes,
      grpc: false,
      grpcWeb: false,
    });
    this.server = createServer(
      {
        maxHeaderSize: settings.maximumHeaderBytes,
        headersTimeout: settings.headerTimeoutMilliseconds,
        requestTimeout: settings.requestTimeoutMilliseconds,
      },
      (request, response) => {
        if (this.authenticate(request, response)) handle(request, response);
      },
    );
    this.server.maxConnections = settings.maximumConnections;
  }

  /**
   * Opens the port.
   *
   * @returns The port; if the options name port 0, the one that the system chose.
   * @throws VError if the port cannot be opened.
   */
  async listen(): Promise<number> {
    const { host, port } = this;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', (cause) =>
        reject(new VError(cause, 'cannot listen for operators on %s:%d', host, port)),
      );
      this.server.listen({ host, port }, resolve);
    });
    const { port: chosen } = this.server.address() as AddressInfo;
    this.log.write(events.listening, { host, port: chosen });
    if (this.settings.tokens.length === 0) this.log.write(events.noTokens);
    return chosen;
  }

  /** Closes the port and all connections. Calls in progress are cut off; a change is safe to repeat with the same change id. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
    this.log.write(events.stopped);
  }

  /** Answers 401 to a request without a valid token, before any of its body is read. */
  private authenticate(request: IncomingMessage, response: ServerResponse): boolean {
    if (this.tokens.operatorOf(request.headers.authorization)) return true;
    this.log.write(events.unauthenticated, { from: request.socket.remoteAddress ?? '' });
    const body = JSON.stringify({
      code: 'unauthenticated',
      message: 'A valid token is needed: Authorization: Bearer <token>.',
    });
    response.writeHead(HTTP_UNAUTHORIZED, {
      'content-type': 'application/json',
      'www-authenticate': 'Bearer',
      connection: 'close',
    });
    response.end(body);
    return false;
  }
}
