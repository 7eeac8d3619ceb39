/**
 * One request of a caller and its one answer.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { Findings } from '../findings/Findings.js';
import type { ClientAccount } from '../generated/baobabdock/v1/configuration_pb.js';
import { CallerError, errorDocument, retryHeaders } from './CallerError.js';
import type { CallerHeaders } from './callerHeaders.js';
import { CALLER_HEADERS, readCallerHeaders, singleHeader } from './callerHeaders.js';
import { CALLER_EVENTS } from './callersFeature.js';
import type { CallerContext, ExchangeNotes } from './callersTypes.js';
import type { BodyTime } from './RequestReader.js';
import { RequestReader } from './RequestReader.js';
import { ResponseWriter } from './ResponseWriter.js';

/** Options of an {@link Exchange}. */
export interface ExchangeOptions {
  request: IncomingMessage;
  response: ServerResponse;
  context: CallerContext;
  /** Whether the caller sends its body only after `100 Continue`. */
  expectsContinue?: boolean;
}

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const REQUEST_TIMEOUT = 408;

/** Only the path and the query of a request target count; the host is ours whatever it says. */
function parseTarget(target: string): URL | undefined {
  const path = target.startsWith('/') ? `http://target${target}` : target;
  return URL.canParse(path) ? new URL(path) : undefined;
}

/** Owns the answer: it leaves once, whatever goes wrong. */
export class Exchange {
  readonly request: IncomingMessage;

  readonly response: ServerResponse;

  readonly context: CallerContext;

  readonly requestId: string;

  readonly headers: CallerHeaders;

  /** Mistakes so far; routes add theirs and report all together. */
  readonly findings = new Findings();

  readonly url: URL | undefined;

  readonly writer: ResponseWriter;

  readonly reader: RequestReader;

  readonly startedAt: number;

  /** For logs and metrics. */
  notes: ExchangeNotes = {};

  /** Whether the request carries a binding token. */
  readonly bound: boolean;

  private account: ClientAccount | undefined;

  /**
   * Whether this request may have run through an earlier sending: it is bound, or it asks about another
   * request. "Not run" would then be a guess, and a caller that believes it binds anew and runs twice.
   */
  private mayHaveRun: boolean;

  private readonly abortController = new AbortController();

  /**
   * @param options - both ends of the request and what the exchange works with.
   */
  constructor({ request, response, context, expectsContinue = false }: ExchangeOptions) {
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
      overloadRetryAfterMilliseconds: context.settings.overloadRetryAfterMilliseconds,
      lingerMilliseconds: context.settings.lingerMilliseconds,
    });
    response.once('close', () => {
      if (!response.writableFinished) this.abortController.abort();
    });
  }

  /** @returns Aborted when the caller is gone before its whole answer. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** @returns The method, in upper case as HTTP has it. */
  get method(): string {
    return this.request.method ?? 'GET';
  }

  /**
   * @param notes - what was learnt, for logs and metrics.
   */
  note(notes: ExchangeNotes): void {
    this.notes = { ...this.notes, ...notes };
  }

  /** @returns The account whose key the request carries, once that is checked. */
  get clientAccount(): ClientAccount | undefined {
    return this.account;
  }

  /**
   * @param account - to which the request belongs by its key.
   */
  authenticated(account: ClientAccount): void {
    this.account = account;
  }

  /** Notes that the request is about one that was sent before. */
  concernsEarlierRequest(): void {
    this.mayHaveRun = true;
  }

  /**
   * Says what is left of the deadline: the time that a body took counts.
   *
   * @returns Milliseconds, zero or less when it has passed.
   */
  deadlineLeft(): number {
    const { clock, settings } = this.context;
    const asked = this.headers.deadlineMilliseconds ?? settings.defaultDeadlineMilliseconds;
    const granted = Math.min(asked, settings.maximumDeadlineMilliseconds);
    return Math.ceil(granted - (clock.monotonicMilliseconds() - this.startedAt));
  }

  /**
   * Reads the body within all limits.
   *
   * @returns The whole body.
   * @throws {@link CallerError} for a limit, `CallerGone` when the connection ended.
   */
  async body(): Promise<Buffer> {
    return this.reader.read(this.bodyTime());
  }

  /**
   * Throws when there is any finding.
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
   * Sends the status and the headers. On a draining daemon the connection ends with this answer, so that
   * the caller locates again instead of coming back here.
   *
   * @param status - the HTTP status.
   * @param headers - of the answer; several values stay apart.
   */
  writeHead(
    status: number,
    headers: Iterable<readonly [string, string | readonly string[]]>,
  ): void {
    const { response } = this;
    for (const [name, value] of headers) response.setHeader(name, value);
    response.setHeader(CALLER_HEADERS.requestId, this.requestId);
    if (this.context.isDraining() || this.reader.pending) response.setHeader('connection', 'close');
    response.writeHead(status);
    this.note({ firstByteAt: this.context.clock.monotonicMilliseconds() });
  }

  /**
   * Sends a whole JSON answer.
   *
   * @param status - the HTTP status.
   * @param document - the body.
   * @param headers - further headers.
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
   * Sends a whole answer.
   *
   * @param status - the HTTP status.
   * @param body - all of it.
   * @param headers - headers without the length.
   */
  async send(
    status: number,
    body: Uint8Array,
    headers: Readonly<Record<string, string | readonly string[]>>,
  ): Promise<void> {
    const bodyless = status === NO_CONTENT || status === NOT_MODIFIED;
    // An answer to HEAD says the length that GET would have, which only a body tells.
    const unknown = bodyless || (this.method === 'HEAD' && body.byteLength === 0);
    const length = unknown ? {} : { 'content-length': String(body.byteLength) };
    this.writeHead(status, Object.entries({ ...headers, ...length }));
    if (!bodyless && this.method !== 'HEAD') await this.writer.write(body);
    await this.reader.discard();
    await this.writer.end();
  }

  /**
   * Answers with an error, or cuts the connection when an answer has begun: what follows the head of
   * another answer would be taken for its body.
   *
   * @param error - what went wrong.
   */
  async fail(error: CallerError): Promise<void> {
    this.note({ code: error.options.code });
    if (this.response.headersSent) {
      this.writer.cut();
      return;
    }
    await this.sendJson(error.status, this.document(error), {
      'cache-control': 'no-store',
      ...retryHeaders(error),
      ...error.options.headers,
    });
  }

  /**
   * @param error - what went wrong.
   * @returns The JSON document that says so.
   */
  document(error: CallerError): object {
    return errorDocument(error, this.requestId, error.options.notRun ?? !this.mayHaveRun);
  }

  /** The deadline ends the wait for a body as well: what then arrives is of no use any more. */
  private bodyTime(): BodyTime {
    const { bodyTimeoutMilliseconds } = this.context.settings;
    const left = Math.max(0, this.deadlineLeft());
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
