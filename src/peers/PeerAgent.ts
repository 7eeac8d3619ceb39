/**
 * HTTP agent for the connections to one daemon. It limits and authenticates them, counts their bytes, and marks
 * failures that occurred before any byte of a call was sent.
 */
import { Agent } from 'node:http';
import type { AgentOptions, ClientRequest, ClientRequestArgs } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { Duplex } from 'node:stream';

import { Code, ConnectError } from '@connectrpc/connect';

import { PeerNotReachedError } from './PeerNotReachedError.js';
import type { PeerTraffic } from './PeerTraffic.js';
import { AUTHENTICATE_CALL, callOfPath } from './PeerTraffic.js';

/** Options of a {@link PeerAgent}. */
export interface PeerAgentOptions extends AgentOptions {
  traffic: PeerTraffic;
  connectTimeoutMilliseconds: number;
  /**
   * Sends an empty call over a new connection. Calls with content follow only after it succeeded, so that a process
   * that took over the address of a former daemon never receives a prompt.
   */
  authenticate: (createConnection: () => Socket) => Promise<unknown>;
}

/** Declares a method of `http.Agent` that Node's typings leave out. */
const agentPrototype = Agent.prototype as Agent & {
  addRequest(clientRequest: ClientRequest, options: ClientRequestArgs): void;
};

function notReachedError(message: string, code: Code, cause?: unknown): ConnectError {
  const reason = new PeerNotReachedError(message, { cause });
  return new ConnectError(message, code, undefined, undefined, reason);
}

/** Waits until the call on a connection has ended and the connection can carry the next one. */
function waitUntilFree(socket: Socket): Promise<void> {
  return new Promise((resolve, reject) => {
    socket.once('free', resolve);
    socket.once('close', () =>
      reject(new Error('The connection was closed before its authentication ended.')),
    );
  });
}

/**
 * An `http.Agent` that authenticates each connection before its first call and counts bytes by kind of call. Failures
 * to open a connection have a {@link PeerNotReachedError} as their cause.
 */
export class PeerAgent extends Agent {
  private readonly traffic: PeerTraffic;

  private readonly connectTimeoutMilliseconds: number;

  private readonly authenticate: PeerAgentOptions['authenticate'];

  private authenticatedSockets = new WeakSet<Duplex>();

  /**
   * @param options - the limits, the traffic counter, and how to authenticate a connection.
   */
  constructor({ traffic, connectTimeoutMilliseconds, authenticate, ...options }: PeerAgentOptions) {
    super(options);
    this.traffic = traffic;
    this.connectTimeoutMilliseconds = connectTimeoutMilliseconds;
    this.authenticate = authenticate;
  }

  override createConnection(
    options: ClientRequestArgs,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): undefined {
    this.openAuthenticated(options).then(
      (socket) => callback?.(null, socket),
      (error: Error) => callback?.(error, undefined as unknown as Duplex),
    );
  }

  override keepSocketAlive(socket: Duplex): boolean {
    this.traffic.countBytes(socket);
    super.keepSocketAlive(socket);
    return this.authenticatedSockets.has(socket);
  }

  /**
   * Called by `http.request` for each call, and counts the call. The agent's hooks for reused connections do not
   * suffice for that: a queued call gets the next free connection without these hooks.
   *
   * @param clientRequest - the call.
   * @param options - the target of the call.
   */
  addRequest(clientRequest: ClientRequest, options: ClientRequestArgs): void {
    // HTTP/1.1 keeps connections open by default; the header would add 24 bytes to each call.
    clientRequest.removeHeader('connection');
    clientRequest.once('socket', (socket) =>
      this.traffic.startCall(socket, 'called', callOfPath(clientRequest.path)),
    );
    agentPrototype.addRequest.call(this, clientRequest, options);
  }

  /** @returns Whether no call is in progress or queued. */
  get idle(): boolean {
    return Object.keys(this.sockets).length === 0 && Object.keys(this.requests).length === 0;
  }

  /** Closes idle connections, and each busy one after its current call, so that further calls authenticate anew. */
  discardConnections(): void {
    this.authenticatedSockets = new WeakSet();
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  private async openAuthenticated(options: ClientRequestArgs): Promise<Socket> {
    const socket = await this.connect(options);
    this.traffic.startCall(socket, 'called', AUTHENTICATE_CALL);
    socket.once('close', () => this.traffic.countBytes(socket));
    try {
      await Promise.all([this.authenticate(() => socket), waitUntilFree(socket)]);
    } catch (error) {
      socket.destroy();
      const { code } = ConnectError.from(error);
      throw notReachedError(
        `${options.host}:${options.port}: the daemon could not be authenticated`,
        code === Code.Unauthenticated ? code : Code.Unavailable,
        error,
      );
    }
    this.authenticatedSockets.add(socket);
    return socket;
  }

  private connect({ host, port }: ClientRequestArgs): Promise<Socket> {
    const socket = connect({ host: String(host), port: Number(port), noDelay: true });
    return new Promise((resolve, reject) => {
      const fail = (reason: string, cause?: Error) => {
        socket.destroy();
        reject(notReachedError(`${host}:${port}: ${reason}`, Code.Unavailable, cause));
      };
      const timer = setTimeout(
        () => fail('no connection within the connect timeout'),
        this.connectTimeoutMilliseconds,
      );
      // This listener stays attached: between two calls there is no other one, and an `error` event without a
      // listener would end the process.
      socket.on('error', (error) => fail('the connection failed', error));
      socket.once('connect', () => resolve(socket));
      for (const event of ['connect', 'close']) socket.once(event, () => clearTimeout(timer));
    });
  }
}
