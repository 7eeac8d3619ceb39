/**
 * What all runner stand-ins share: an HTTP server on the loopback, faults, and counts of executions.
 */
import http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { listen } from '../../src/http/listen.js';
import { ATTEMPT_ID_HEADER, NOT_STARTED_HEADER } from '../../src/upstreams/runnerProtocol.js';
import { FaultSwitch } from './runnerFaults.js';
import type { RunnerFaults, RunnerFaultsInput } from './runnerFaults.js';

/** Largest request body that a stand-in takes, in bytes. */
const MAXIMUM_BODY_BYTES = 33_554_432;

/** Options of a {@link RunnerServer}. */
export interface RunnerServerOptions {
  host?: string;
  /** 0 takes any free port. */
  port?: number;
}

/** A request that was read whole. */
export interface ReceivedRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
  readonly attemptId: string;
}

async function readAll(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of request as AsyncIterable<Buffer>) {
    bytes += part.byteLength;
    if (bytes > MAXIMUM_BODY_BYTES) throw new RangeError('the body is too large');
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/**
 * @param response - the answer to write.
 * @param status - its status.
 * @param value - its body, as JSON.
 * @param headers - more headers.
 */
export function answerJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.byteLength,
    ...headers,
  });
  response.end(body);
}

/**
 * @param body - bytes of JSON.
 * @returns Its value, `undefined` for no body.
 * @throws SyntaxError when it is not JSON.
 */
export function parseBody(body: Buffer): unknown {
  return body.byteLength === 0 ? undefined : JSON.parse(body.toString('utf8'));
}

/** Serves requests until it is closed; subclasses answer them. */
export abstract class RunnerServer {
  private readonly server: http.Server;

  private readonly host: string;

  private readonly port: number;

  private readonly faultSwitch = new FaultSwitch();

  private readonly executionsByAttempt = new Map<string, number>();

  private readonly executionsByBusinessKey = new Map<string, number>();

  private readonly timers = new Set<NodeJS.Timeout>();

  private readonly frozenAnswers: (() => void)[] = [];

  /**
   * @param options - where to listen.
   */
  constructor({ host = '127.0.0.1', port = 0 }: RunnerServerOptions = {}) {
    this.host = host;
    this.port = port;
    this.server = http.createServer((request, response) => {
      void this.receive(request, response);
    });
  }

  /**
   * Answers a request that is no administration.
   *
   * @param request - read whole.
   * @param response - to be written.
   * @param faults - what strikes it.
   */
  protected abstract answer(
    request: ReceivedRequest,
    response: ServerResponse,
    faults: RunnerFaults,
  ): void;

  /**
   * @param request - read whole.
   * @returns Whether faults of attempts strike it, rather than only those of everything.
   */
  protected abstract isAttempt(request: ReceivedRequest): boolean;

  /** Starts listening. */
  async listen(): Promise<void> {
    await listen(this.server, { host: this.host, port: this.port });
  }

  /** @returns `address:port` while it listens. */
  address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Cuts all connections and stops listening, as a killed process would. */
  async close(): Promise<void> {
    for (const timer of this.timers) clearTimeout(timer);
    this.server.closeAllConnections();
    if (!this.server.listening) return;
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  /**
   * @param faults - replaces what was switched on; `{}` switches all off and thaws.
   */
  setFaults(faults: RunnerFaultsInput): void {
    this.faultSwitch.set(faults);
    if (this.faults().frozen) return;
    for (const thaw of this.frozenAnswers.splice(0)) thaw();
    this.faultsChanged();
  }

  /**
   * @param attemptId - an attempt.
   * @returns How often it was executed.
   */
  executionsOf(attemptId: string): number {
    return this.executionsByAttempt.get(attemptId) ?? 0;
  }

  /**
   * @param businessKey - what the caller wanted done once.
   * @returns How often that was done.
   */
  executionsOfKey(businessKey: string): number {
    return this.executionsByBusinessKey.get(businessKey) ?? 0;
  }

  /** Called when faults were changed; for what was standing still. */
  protected faultsChanged(): void {}

  /** @returns The faults that strike everything. */
  protected faults(): RunnerFaults {
    return this.faultSwitch.now();
  }

  /**
   * @param attemptId - the attempt that is executed now.
   * @param businessKey - what it does.
   */
  protected countExecution(attemptId: string, businessKey: string): void {
    this.executionsByAttempt.set(attemptId, this.executionsOf(attemptId) + 1);
    this.executionsByBusinessKey.set(businessKey, this.executionsOfKey(businessKey) + 1);
  }

  /**
   * @param milliseconds - from now; 0 acts at once.
   * @param action - what to do unless the server was closed.
   */
  protected after(milliseconds: number, action: () => void): void {
    if (milliseconds <= 0) {
      action();
      return;
    }
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, milliseconds);
    this.timers.add(timer);
  }

  private async receive(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const body = await readAll(incoming);
      const attemptId = incoming.headers[ATTEMPT_ID_HEADER];
      const request: ReceivedRequest = {
        method: incoming.method ?? 'GET',
        url: new URL(incoming.url ?? '/', 'http://runner'),
        headers: incoming.headers,
        body,
        attemptId: typeof attemptId === 'string' ? attemptId : '',
      };
      this.dispatch(request, response);
    } catch (error) {
      if (response.headersSent || response.destroyed) return;
      answerJson(response, 400, {
        message: error instanceof Error ? error.message : 'bad request',
      });
    }
  }

  private dispatch(request: ReceivedRequest, response: ServerResponse): void {
    if (this.administer(request, response)) return;
    if (this.faults().frozen) {
      this.frozenAnswers.push(() => this.dispatch(request, response));
      return;
    }
    if (!this.isAttempt(request)) {
      this.answer(request, response, this.faults());
      return;
    }
    const faults = this.faultSwitch.strike();
    if (faults.refusing === 'before_start') {
      const headers = { [NOT_STARTED_HEADER]: 'true', [ATTEMPT_ID_HEADER]: request.attemptId };
      answerJson(response, 503, { message: 'refusing' }, headers);
      return;
    }
    this.answer(request, response, faults);
  }

  private administer({ method, url, body }: ReceivedRequest, response: ServerResponse): boolean {
    if (url.pathname === '/faults' && method === 'POST') {
      this.setFaults(parseBody(body) as RunnerFaultsInput);
      answerJson(response, 200, this.faults());
      return true;
    }
    if (url.pathname === '/executions' && method === 'GET') {
      answerJson(response, 200, {
        attempts: Object.fromEntries(this.executionsByAttempt),
        business_keys: Object.fromEntries(this.executionsByBusinessKey),
      });
      return true;
    }
    return false;
  }
}
