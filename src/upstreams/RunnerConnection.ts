/**
 * Kept connections to one runner over `node:http`, and the one fact that "not run" rests on: whether a
 * byte of a request can have left.
 */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import { pipeline, Readable } from 'node:stream';

import { parseAddress } from '../http/parseAddress.js';
import { MAXIMUM_TIMER_MILLISECONDS } from './AttemptGuard.js';
import type { AttemptGuard, StopReason } from './AttemptGuard.js';

/** Options of a {@link RunnerConnection}. */
export interface RunnerConnectionOptions {
  /** `address:port` by IP number, version 6 in brackets. */
  address: string;
  /** Connections at once. */
  maximumSockets?: number;
  /** Milliseconds until a connection must stand. */
  connectTimeoutMilliseconds?: number;
  /** Bytes of all headers of an answer. */
  maximumHeaderBytes?: number;
  /** Milliseconds after which an idle connection is closed from this side. */
  idleSocketMilliseconds?: number;
}

/** One request to a runner. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Parts of unknown length are sent as they come. */
  readonly body?: Uint8Array | AsyncIterable<Uint8Array>;
  /**
   * Do not reuse a connection. A kept one may just have been closed by the other side, and then nobody
   * can tell whether the request was read; on a fresh one a failure to connect proves that it was not.
   */
  readonly freshConnection?: boolean;
  /** Milliseconds until the answer's head; missing where only the guard limits it. */
  readonly headTimeoutMilliseconds?: number;
}

/** How far a request came. */
export type ExchangeResult =
  | { readonly kind: 'response'; readonly response: IncomingMessage }
  /** No byte of it can have reached the runner. */
  | { readonly kind: 'unreached'; readonly reason: StopReason | 'cut'; readonly message: string }
  /** It may have reached the runner. */
  | { readonly kind: 'broken'; readonly reason: StopReason | 'cut'; readonly message: string };

const DEFAULT_MAXIMUM_SOCKETS = 512;
const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const DEFAULT_MAXIMUM_HEADER_BYTES = 16_384;
const DEFAULT_IDLE_SOCKET_MILLISECONDS = 4_000;

function lengthHeader(body: ExchangeRequest['body']): Record<string, string> {
  if (body === undefined) return { 'content-length': '0' };
  return body instanceof Uint8Array ? { 'content-length': String(body.byteLength) } : {};
}

/** Sends requests to one runner. */
export class RunnerConnection {
  private readonly host: string;

  private readonly port: number;

  private readonly agent: http.Agent;

  private readonly connectTimeoutMilliseconds: number;

  private readonly maximumHeaderBytes: number;

  /**
   * @param options - where to connect, and limits.
   * @throws {@link VError} when the address is not an IP number with a port.
   */
  constructor({
    address,
    maximumSockets = DEFAULT_MAXIMUM_SOCKETS,
    connectTimeoutMilliseconds = DEFAULT_CONNECT_TIMEOUT_MILLISECONDS,
    maximumHeaderBytes = DEFAULT_MAXIMUM_HEADER_BYTES,
    idleSocketMilliseconds = DEFAULT_IDLE_SOCKET_MILLISECONDS,
  }: RunnerConnectionOptions) {
    ({ host: this.host, port: this.port } = parseAddress(address));
    this.connectTimeoutMilliseconds = connectTimeoutMilliseconds;
    this.maximumHeaderBytes = maximumHeaderBytes;
    // `timeout` closes idle connections before the runner does, which keeps a request from being
    // written into a connection that the other side is just closing.
    this.agent = new http.Agent({
      keepAlive: true,
      maxSockets: maximumSockets,
      maxFreeSockets: maximumSockets,
      timeout: idleSocketMilliseconds,
    });
  }

  /**
   * Sends a request and waits for the head of its answer. Never throws.
   *
   * @param request - what to send.
   * @param guard - when to stop.
   * @returns The answer's head, or how far the request came.
   */
  exchange(request: ExchangeRequest, guard: AttemptGuard): Promise<ExchangeResult> {
    const stopped = guard.reason();
    if (stopped) {
      return Promise.resolve({ kind: 'unreached', reason: stopped, message: 'stopped before it' });
    }
    return new Promise((resolve) => {
      this.start(request, guard, resolve);
    });
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private start(
    {
      method,
      path,
      headers,
      body,
      freshConnection = false,
      headTimeoutMilliseconds = MAXIMUM_TIMER_MILLISECONDS,
    }: ExchangeRequest,
    guard: AttemptGuard,
    resolve: (result: ExchangeResult) => void,
  ): void {
    // A byte can leave only once a connected socket is given to the request. Node.js emits `socket`
    // before it writes to a kept connection, and `connect` before it writes to a new one; so while
    // this is false nothing was written, and a request that is destroyed now never will be.
    let mayHaveLeft = false;
    const request = http.request({
      host: this.host,
      port: this.port,
      method,
      path,
      headers: { ...headers, ...lengthHeader(body) },
      agent: freshConnection ? false : this.agent,
      maxHeaderSize: this.maximumHeaderBytes,
    });
    let connectTimer: NodeJS.Timeout | undefined;
    let headTimer: NodeJS.Timeout | undefined;
    let removeListener = (): void => {};
    const settle = (result: ExchangeResult): void => {
      clearTimeout(connectTimer);
      clearTimeout(headTimer);
      removeListener();
      resolve(result);
    };
    const fail = (reason: StopReason | 'cut', message: string): void => {
      settle({ kind: mayHaveLeft ? 'broken' : 'unreached', reason, message });
      request.destroy();
    };
    connectTimer = setTimeout(
      () => fail('timeout', 'no connection in time'),
      this.connectTimeoutMilliseconds,
    );
    headTimer = setTimeout(() => fail('timeout', 'no answer in time'), headTimeoutMilliseconds);
    removeListener = guard.onStop((reason) => fail(reason, `${reason} before the answer`));
    const connected = (): void => {
      mayHaveLeft = true;
      clearTimeout(connectTimer);
    };
    request.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', connected);
      else connected();
    });
    request.on('response', (response) => settle({ kind: 'response', response }));
    // Stays attached after the answer's head: an error of the connection then also reaches the body's reader.
    request.on('error', (error) => fail('cut', error.message));
    if (body === undefined || body instanceof Uint8Array) request.end(body);
    // A source that breaks destroys the request, so that half a body never passes for a whole one.
    else pipeline(Readable.from(body, { objectMode: false }), request, () => {});
  }
}
