/**
 * Starts a callers' interface on a free loopback port for specs, and sends requests to it by `fetch` and over raw
 * sockets.
 */
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { performance } from 'node:perf_hooks';
import { text } from 'node:stream/consumers';

import type { CallersSettings } from './callersFeature.js';
import { callersSettings } from './callersFeature.js';
import { CallerServer } from './CallerServer.js';
import { FakeBindings, FakeFleet, FakeRequests, LITORAL_KEY, MemoryLog } from './testFakes.js';

/** A server with fake parts, and a client for it. */
export class TestServer {
  readonly fleet = new FakeFleet();

  readonly requests = new FakeRequests();

  readonly log = new MemoryLog();

  readonly server: CallerServer;

  private port = 0;

  private readonly sockets: Socket[] = [];

  /**
   * @param settings - the settings that differ from the defaults.
   */
  constructor(settings: Partial<CallersSettings> = {}) {
    this.server = new CallerServer({
      fleet: this.fleet,
      requests: this.requests,
      bindings: new FakeBindings(),
      log: this.log,
      settings: callersSettings.parse(settings),
    });
  }

  async start(): Promise<this> {
    this.port = (await this.server.start()).port;
    return this;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await this.server.stop();
  }

  /** Sends a request with the key of a valid account, unless `init` has an `authorization` header. */
  fetch(path: string, init: RequestInit = {}): Promise<Response> {
    const headers = { authorization: `Bearer ${LITORAL_KEY.key}`, ...Object(init.headers) };
    return fetch(`http://127.0.0.1:${this.port}${path}`, { ...init, headers });
  }

  /** Sends a chat request. */
  chat(body: object, headers: Record<string, string> = {}): Promise<Response> {
    return this.fetch('/v1/chat/completions', {
      method: 'POST',
      body: JSON.stringify(body),
      headers: { 'content-type': 'application/json', ...headers },
    });
  }

  /** Opens a raw TCP connection, which is closed when the server stops. */
  connect(): Socket {
    const socket = connect(this.port, '127.0.0.1');
    this.sockets.push(socket);
    socket.on('error', () => socket.destroy());
    return socket;
  }

  /** Sends bytes over a new connection and reads until the server ends it. */
  async exchangeBytes(bytes: string | Uint8Array): Promise<string> {
    const socket = this.connect();
    socket.write(bytes);
    return text(socket);
  }
}

/** Fields of an error answer that specs compare. */
export interface ErrorDocument {
  readonly error: {
    readonly code: string;
    readonly not_run: boolean;
    readonly request_id: string;
    readonly findings: readonly { field?: string; line?: number; column?: number }[];
  };
}

/**
 * Reads the error document of an answer.
 *
 * @param response - the error answer.
 * @returns The content of its `error` field.
 */
export async function readError(response: Response): Promise<ErrorDocument['error']> {
  return ((await response.json()) as ErrorDocument).error;
}

/** Timeout of {@link waitUntil}, so that a defect fails the spec instead of blocking it. */
const WAIT_TIMEOUT_MILLISECONDS = 20_000;

/**
 * Waits until a condition is true.
 *
 * @param condition - the condition, checked in every turn of the event loop.
 * @throws When the condition is still false after the timeout of 20 seconds.
 */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const end = performance.now() + WAIT_TIMEOUT_MILLISECONDS;
  while (!condition()) {
    if (performance.now() > end)
      throw new Error(`timed out waiting for the condition ${String(condition)}`);
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  }
}
