/**
 * An exchange: one request of a caller and its answer.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { MemoryReservation } from '../clients/MemoryBudget.js';
import { Findings } from '../findings/Findings.js';
import type { ClientAccount } from '../generated/baobabdock/v1/configuration_pb.js';
import { CallerError, errorDocument, retryHeaders } from './CallerError.js';
import type { CallerHeaders } from './callerHeaders.js';
import { CALLER_HEADERS, readCallerHeaders, singleHeader } from './callerHeaders.js';
import { CallerDisconnected } from './CallerDisconnected.js';
import { CALLER_EVENTS } from './callersFeature.js';
import type { CallerContext, ExchangeNotes } from './callersTypes.js';
import type { BodyTimeLimit } from './RequestReader.js';
import { RequestReader } from './RequestReader.js';
import { ResponseWriter } from './ResponseWriter.js';

/** Options of an {@link Exchange}. */
export interface ExchangeOptions {
  request: IncomingMessage;
  response: ServerResponse;
  context: CallerContext;
  /** Memory of the request, among that of all callers. */
  memory: MemoryReservation;
  /** Whether the caller sends its body only after `100 Continue`. */
  expectsContinue?: boolean;
}

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const REQUEST_TIMEOUT = 408;

/** Parses a request target. Only its path and query are used; a host in it is ignored. */
function parseTarget(target: string): URL | undefined {
  const path = target.startsWith('/') ? `http://target${target}` : target;
  return URL.canParse(path) ? new URL(path) : undefined;
}

/** Holds the state of one request and ensures that it is answered exactly once, also after errors. */
export class Exchange {
  readonly request: IncomingMessage;

  readonly response: ServerResponse;

  readonly context: CallerContext;

  readonly requestId: string;

  readonly headers: CallerHeaders;

  /** Mistakes found in the request so far; routes add theirs, so that all are reported in one answer. */
  readonly findings = new Findings();

  readonly url: URL | undefined;

  readonly writer: ResponseWriter;

  readonly reader: RequestReader;

  readonly startedAt: number;

  /** Details of the request for logs and metrics. */
  notes: ExchangeNotes = {};

  /** Whether the request carries a binding token. */
  readonly bound: boolean;

  private account: ClientAccount | undefined;

  /**
   * Whether the work may have run through an earlier attempt: the request carries a binding, or it refers to
   * another request. Answering "not run" could then be false, and the caller would get a new binding and run
   * a non-idempotent request twice.
   */
  private mayHaveRun: boolean;

  private readonly abortController = new AbortController();

  /**
   * @param options - the HTTP request and response, and the context shared by all exchanges.
   */
  constructor({ request, response, context, memory, expectsContinue = false }: ExchangeOptions) {
    this.request = request;
    this.response = response;
    this.context = context;
    this.startedAt = context.clock.monotonicMilliseconds();
    this.headers = readCallerHeaders(request.headers, this.findings);
    this.requestId = this.headers.requestId ?? randomUUID();
    this.bound = singleHeader(request.headers, CALLER_HEADERS.binding) !== undefined;
    this.mayHaveRun = this.bound;
    this.url = parseTarget(request.url ?? '');
    this.writer = new ResponseWriter({
      response,
      stallTimeoutMilliseconds: context.settings.stallTimeoutMilliseconds,
      onStall: () => this.logStall(),
    });
    this.reader = new RequestReader({
      request,
      response,
      expectsContinue,
      maximumBytes: context.settings.maximumBodyBytes,
      budget: context.bodyBudget,
      ...{ memory, clients: context.clients },
      overloadRetryAfterMilliseconds: context.settings.overloadRetryAfterMilliseconds,
      lingerMilliseconds: context.settings.lingerMilliseconds,
    });
    response.once('close', () => {
      if (!response.writableFinished) this.abortController.abort();
    });
  }

  /** @returns A signal that is aborted when the caller disconnects before it has its complete answer. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** @returns The HTTP method, in upper case. */
  get method(): string {
    return this.request.method ?? 'GET';
  }

  /**
   * Adds details for logs and metrics.
   *
   * @param notes - the details; a field that is already set is replaced.
   */
  note(notes: ExchangeNotes): void {
    this.notes = { ...this.notes, ...notes };
  }

  /** @returns The account that the request is authenticated for; `undefined` before authentication. */
  get clientAccount(): ClientAccount | undefined {
    return this.account;
  }

  /**
   * Sets the account after the key of the request was checked.
   *
   * @param account - the account that the key belongs to.
   */
  setClientAccount(account: ClientAccount): void {
    this.account = account;
  }

  /** Marks that the request refers to an earlier one, so that errors do not claim that nothing ran. */
  markMayHaveRun(): void {
    this.mayHaveRun = true;
  }

  /**
   * Computes the time left until the deadline. The time spent on reading the body is subtracted.
   *
   * @returns Milliseconds; zero or less when the deadline has passed.
   */
  remainingMilliseconds(): number {
    const { clock, settings } = this.context;
    const requestedMilliseconds =
      this.headers.deadlineMilliseconds ?? settings.defaultDeadlineMilliseconds;
    const allowedMilliseconds = Math.min(
      requestedMilliseconds,
      settings.maximumDeadlineMilliseconds,
    );
    return Math.ceil(allowedMilliseconds - (clock.monotonicMilliseconds() - this.startedAt));
  }

  /**
   * Reads the body of the request, limited in size and time.
   *
   * @returns The complete body.
   * @throws {@link CallerError} when a limit is exceeded, `CallerDisconnected` when the connection ended.
   */
  async readBody(): Promise<Buffer> {
    const body = await this.reader.read(this.bodyTimeLimit());
    if (!(await this.context.clients.untilTurn(this.response))) throw new CallerDisconnected();
    return body;
  }

  /**
   * Rejects the request when any mistake was found in it.
   *
   * @throws {@link CallerError} with all findings.
   */
  checkFindings(): void {
    if (!this.findings.hasAny) return;
    throw new CallerError({
      code: 'invalid_request',
      message: 'the request has mistakes, see findings',
      findings: this.findings.list(),
    });
  }

  /**
   * Sends the status and the headers. On a draining daemon the connection is closed after this answer, so that
   * the caller locates another daemon instead of reusing the connection.
   *
   * @param status - the HTTP status.
   * @param headers - headers of the answer; several values of a header are sent as separate lines.
   */
  writeHead(
    status: number,
    headers: Iterable<readonly [string, string | readonly string[]]>,
  ): void {
    const { response } = this;
    for (const [name, value] of headers) response.setHeader(name, value);
    response.setHeader(CALLER_HEADERS.requestId, this.requestId);
    if (this.context.isDraining() || this.reader.bodyPending)
      response.setHeader('connection', 'close');
    response.writeHead(status);
    this.note({ firstByteAt: this.context.clock.monotonicMilliseconds() });
  }

  /**
   * Sends a complete JSON answer.
   *
   * @param status - the HTTP status.
   * @param document - the value to send as the body.
   * @param headers - additional headers.
   */
  async sendJson(
    status: number,
    document: object,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<void> {
    const body = Buffer.from(JSON.stringify(document));
    await this.send(status, body, { 'content-type': 'application/json', ...headers });
  }

  /**
   * Sends a complete answer.
   *
   * @param status - the HTTP status.
   * @param body - the complete body.
   * @param headers - headers without `content-length`.
   */
  async send(
    status: number,
    body: Uint8Array,
    headers: Readonly<Record<string, string | readonly string[]>>,
  ): Promise<void> {
    const bodyless = status === NO_CONTENT || status === NOT_MODIFIED;
    // An answer to HEAD has the length that GET would have, which is unknown without a body.
    const unknown = bodyless || (this.method === 'HEAD' && body.byteLength === 0);
    const length = unknown ? {} : { 'content-length': String(body.byteLength) };
    this.writeHead(status, Object.entries({ ...headers, ...length }));
    if (!bodyless && this.method !== 'HEAD') await this.writer.write(body);
    await this.reader.discardBody();
    await this.writer.end();
  }

  /**
   * Answers with an error. If the headers of another answer are already sent, the connection is closed instead,
   * because the caller would read the error as part of that answer's body.
   *
   * @param error - the error to send.
   */
  async sendError(error: CallerError): Promise<void> {
    this.note({ code: error.options.code });
    if (this.response.headersSent) {
      this.writer.closeConnection();
      return;
    }
    await this.sendJson(error.status, this.document(error), {
      'cache-control': 'no-store',
      ...retryHeaders(error),
      ...error.options.headers,
    });
  }

  /**
   * Creates the JSON document of an error.
   *
   * @param error - the error to describe.
   * @returns The document, with the id of this request.
   */
  document(error: CallerError): object {
    return errorDocument(error, this.requestId, error.options.notRun ?? !this.mayHaveRun);
  }

  /**
   * Limits the reading of the body to the body timeout or the deadline, whichever is earlier. A body that
   * arrives after the deadline is of no use.
   */
  private bodyTimeLimit(): BodyTimeLimit {
    const { bodyTimeoutMilliseconds } = this.context.settings;
    const left = Math.max(0, this.remainingMilliseconds());
    if (left <= bodyTimeoutMilliseconds) {
      const message = 'the deadline passed before the body had arrived';
      return {
        milliseconds: left,
        error: () => new CallerError({ code: 'deadline_exceeded', message }),
      };
    }
    const message = `the body did not arrive within ${bodyTimeoutMilliseconds} ms`;
    return {
      milliseconds: bodyTimeoutMilliseconds,
      error: () => new CallerError({ code: 'invalid_request', status: REQUEST_TIMEOUT, message }),
    };
  }

  private logStall(): void {
    this.context.log.write(CALLER_EVENTS.callerStalled, {
      requestId: this.requestId,
      clientAccount: this.account?.name,
    });
  }
}
