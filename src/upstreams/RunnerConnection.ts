/**
 * Keep-alive connections to one runner over `node:http`. For each failed request it determines whether a byte of it can
 * have been sent, because a request may be reported as "not run" only if none was.
 */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import { pipeline, Readable } from 'node:stream';

import { isFinalStatus } from '../http/isFinalStatus.js';
import { onceUnanswered } from '../http/onceUnanswered.js';
import { parseAddress } from '../http/parseAddress.js';
import { MAXIMUM_TIMER_MILLISECONDS } from './StopSignal.js';
import type { StopSignal, StopReason } from './StopSignal.js';

/** Options of a {@link RunnerConnection}. */
export interface RunnerConnectionOptions {
  /** `address:port` with an IP address; IPv6 addresses are in brackets. */
  address: string;
  /** Maximum number of concurrent connections. */
  maximumSockets?: number;
  /** Timeout for opening a connection in milliseconds. */
  connectTimeoutMilliseconds?: number;
  /** Maximum size of all headers of an answer in bytes. */
  maximumHeaderBytes?: number;
  /** Milliseconds after which this side closes an idle connection. */
  idleSocketMilliseconds?: number;
}

/** One request to a runner. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** The body; an iterable has no known length and is sent as it arrives. */
  readonly body?: Uint8Array | AsyncIterable<Uint8Array>;
  /**
   * Whether to open a new connection for the request. The runner may just have closed a keep-alive connection, and then
   * it is unknown whether it read the request; if a new connection cannot be opened, the request was certainly not
   * read.
   */
  readonly freshConnection?: boolean;
  /**
   * Timeout for the status and headers of the answer in milliseconds; without it, only the stop signal limits the wait.
   */
  readonly headTimeoutMilliseconds?: number;
}

/** Result of sending a request. */
export type ExchangeResult =
  | { readonly kind: 'response'; readonly response: IncomingMessage }
  /** The exchange failed, and no byte of the request can have reached the runner. */
  | { readonly kind: 'unreached'; readonly reason: StopReason | 'cut'; readonly message: string }
  /** The exchange failed, and the request may have reached the runner. */
  | { readonly kind: 'broken'; readonly reason: StopReason | 'cut'; readonly message: string };

const DEFAULT_MAXIMUM_SOCKETS = 512;
const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const DEFAULT_MAXIMUM_HEADER_BYTES = 16_384;
const DEFAULT_IDLE_SOCKET_MILLISECONDS = 4_000;

function lengthHeader(body: ExchangeRequest['body']): Record<string, string> {
  if (body === undefined) return { 'content-length': '0' };
  return body instanceof Uint8Array ? { 'content-length': String(body.byteLength) } : {};
}

/** Sends requests to one runner over a pool of connections. */
export class RunnerConnection {
  private readonly host: string;

  private readonly port: number;

  private readonly agent: http.Agent;

  private readonly connectTimeoutMilliseconds: number;

  private readonly maximumHeaderBytes: number;

  /**
   * @param options - the address and the limits.
   * @throws {@link VError} if the address is not an IP address with a port.
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
    // `timeout` closes idle connections before the runner does, so that no request is written to a connection that the
    // runner is just closing.
    this.agent = new http.Agent({
      keepAlive: true,
      maxSockets: maximumSockets,
      maxFreeSockets: maximumSockets,
      timeout: idleSocketMilliseconds,
    });
  }

  /**
   * Sends a request and waits for the status and headers of its answer. Never throws.
   *
   * @param request - the request.
   * @param stopSignal - signal that stops the exchange.
   * @returns The answer, whose body is not read yet, or whether the request can have reached the runner.
   */
  exchange(request: ExchangeRequest, stopSignal: StopSignal): Promise<ExchangeResult> {
    const stopReason = stopSignal.reason();
    if (stopReason) {
      return Promise.resolve({
        kind: 'unreached',
        reason: stopReason,
        message: 'stopped before it',
      });
    }
    return new Promise((resolve) => {
      this.start(request, stopSignal, resolve);
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
    stopSignal: StopSignal,
    resolve: (result: ExchangeResult) => void,
  ): void {
    // A byte can be sent only after the request was given a connected socket. Node.js emits `socket` before it writes
    // to a keep-alive connection and `connect` before it writes to a new one. As long as this is false, nothing was
    // written, and nothing will be written if the request is destroyed now.
    let mayHaveBeenSent = false;
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
      settle({ kind: mayHaveBeenSent ? 'broken' : 'unreached', reason, message });
      request.destroy();
    };
    connectTimer = setTimeout(
      () => fail('timeout', 'no connection in time'),
      this.connectTimeoutMilliseconds,
    );
    headTimer = setTimeout(() => fail('timeout', 'no answer in time'), headTimeoutMilliseconds);
    removeListener = stopSignal.onStop((reason) => fail(reason, `${reason} before the answer`));
    const connected = (): void => {
      mayHaveBeenSent = true;
      clearTimeout(connectTimer);
    };
    request.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', connected);
      // A connection that could not be opened at all has failed by now, and nothing was sent.
      else if (!socket.destroyed) connected();
    });
    request.on('response', (response) => {
      const { statusCode = 0 } = response;
      if (isFinalStatus(statusCode)) settle({ kind: 'response', response });
      else fail('cut', `an answer with status ${statusCode}`);
    });
    onceUnanswered(request, () => fail('cut', 'the connection was closed without an answer'));
    // Stays attached after the headers arrived; an error of the connection then also reaches the reader of the body.
    request.on('error', (error) => fail('cut', error.message));
    if (body === undefined || body instanceof Uint8Array) request.end(body);
    // If the source fails, the pipeline destroys the request, so that the runner never takes half a body for a whole
    // one.
    else pipeline(Readable.from(body, { objectMode: false }), request, () => {});
  }
}
