/**
 * Stand-in for a runner on the platform: answers with its own id and signature, streams events, and fails as
 * configured. Records what it ran, so that tests can count.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { listen } from '../../src/http/listen.js';
import { parseAddress } from '../../src/http/parseAddress.js';
import { CACHED_PARTS_PATH, CachedParts } from './CachedParts.js';
import { readBody } from './readBody.js';
import { RUNNER_DEFAULTS } from './siteRunnerTypes.js';
import type {
  Brittleness,
  ReceivedRequest,
  RunnerBehaviour,
  SiteRunnerOptions,
} from './siteRunnerTypes.js';

/** A runner that says that it is brittle keeps its queue for this long, in ms. */
const BRITTLE_NOTICE_MILLISECONDS = 3_000;

const SECOND_MILLISECONDS = 1_000;

const DEFAULT_SLOTS = 8;

const EVENTS_BEFORE_CUT = 2;

function halfEvent(id: number): string {
  return `id: ${id}\ndata: ha`;
}

const REPORT_PATH = '/v1/report';

const SHARE_BEFORE_CUT = 0.9;

const PERCENT = 100;

/** Serves requests on a loopback port. */
export class SiteRunner {
  readonly id: string;

  /** All requests that it ran, in order. */
  readonly ran: ReceivedRequest[] = [];

  behaviour: RunnerBehaviour = 'answers';

  /** Whether its answers announce that it leaves, whatever its entry says. */
  saysLeaving = false;

  /** Version of its software; another one takes effect with the next start. */
  version: string;

  /** Value of `Retry-After` in its refusals. */
  retryAfter: string | undefined;

  /** Times of its rejections for want of room, monotonic ms. */
  rejections: number[] = [];

  private brittleness: Brittleness | undefined;

  private brittleSince = 0;

  private readonly cachedParts = new CachedParts();

  private running = 0;

  private readonly queue: (() => void)[] = [];

  /** Arrival time of each request, including refused ones; monotonic ms. */
  readonly arrivals: number[] = [];

  /** Number of requests for its report so far. */
  reports = 0;

  /** Number of crashes so far. */
  crashes = 0;

  private readonly options: Required<SiteRunnerOptions>;

  /** Streams without a length or chunks that are in progress. */
  private readonly unframedStreams = new Set<ServerResponse>();

  private server: Server;

  private address = '';

  private restartTimer: NodeJS.Timeout | undefined;

  /** Start time, Unix ms. */
  private born = Date.now();

  private sequence = 0;

  /**
   * @param options - id, service, speed and faults.
   */
  constructor(options: SiteRunnerOptions) {
    this.options = {
      ...RUNNER_DEFAULTS,
      plainBody: `answer of ${options.id}`,
      ...options,
    };
    this.id = options.id;
    this.version = this.options.version;
    this.server = this.createServer();
  }

  /** @returns IP address and port; empty before the start. */
  get ownAddress(): string {
    return this.address;
  }

  /** @returns Whether it accepts connections. */
  get isUp(): boolean {
    return this.server.listening;
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    const { address, port } = await listen(this.server, { host: '127.0.0.1', port: 0 });
    this.address = `${address}:${port}`;
  }

  /** Restarts with the same id and address but without state; its entry in the store has to be written again. */
  restart(): void {
    this.closeConnections();
    this.born += 1;
    this.sequence = 0;
    this.ran.length = 0;
    this.cachedParts.clear();
  }

  /**
   * @param brittleness - what it says in all answers from now on, and does some seconds later; `undefined` ends it.
   */
  becomeBrittle(brittleness: Brittleness | undefined): void {
    if (!this.brittleness || !brittleness) this.brittleSince = performance.now();
    this.brittleness = brittleness;
    this.rejections = [];
  }

  /** Ends without notice and refuses connections; starts again later at the same address, with a new start time. */
  crash(): void {
    if (!this.server.listening) return;
    this.crashes += 1;
    this.rejections = [];
    this.close();
    this.options.onCrashed();
    clearTimeout(this.restartTimer);
    this.restartTimer = setTimeout(() => {
      void this.startAgain();
    }, this.options.downMilliseconds);
  }

  /** Stops the runner and closes its connections. */
  stop(): void {
    clearTimeout(this.restartTimer);
    this.close();
  }

  /** @returns Number of open connections. */
  countConnections(): Promise<number> {
    return new Promise((done, fail) => {
      this.server.getConnections((error, count) => (error ? fail(error) : done(count)));
    });
  }

  /**
   * @param state - `ready` or `draining`.
   * @returns Its entry in the store.
   */
  entry(state = 'ready'): object {
    const { service, dataCentre } = this.options;
    this.sequence += 1;
    return {
      service,
      address: this.address,
      zone: dataCentre,
      version: this.version,
      slots: Number.isFinite(this.options.slots) ? this.options.slots : DEFAULT_SLOTS,
      state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      born: this.born,
    };
  }

  private createServer(): Server {
    const { closesAfterMilliseconds } = this.options;
    return createServer((request, response) => {
      const close = () => setTimeout(() => request.socket.end(), closesAfterMilliseconds);
      if (Number.isFinite(closesAfterMilliseconds)) response.once('finish', close);
      void this.take(request, response);
    });
  }

  private close(): void {
    this.server.close();
    this.closeConnections();
  }

  private closeConnections(): void {
    // Between two events, nothing would tell the end of an unframed stream from that of a whole one.
    const half = halfEvent(this.options.events);
    for (const { socket } of this.unframedStreams) socket?.write(half);
    this.server.closeAllConnections();
  }

  private async startAgain(): Promise<void> {
    this.server = this.createServer();
    await listen(this.server, parseAddress(this.address));
    this.born += 1;
    this.sequence = 0;
    this.cachedParts.clear();
    const { listedAfterMilliseconds, onRestarted } = this.options;
    if (listedAfterMilliseconds === 0) onRestarted();
    else this.restartTimer = setTimeout(onRestarted, listedAfterMilliseconds);
  }

  private async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === REPORT_PATH) {
      this.report(response);
      return;
    }
    if (request.url === CACHED_PARTS_PATH && this.options.listsCachedParts) {
      this.cachedParts.answer(response);
      return;
    }
    const body = await readBody(request);
    if (body === undefined) return;
    const expected = request.headers['expect-instance'];
    this.arrivals.push(performance.now());
    if (this.brittleness) response.setHeader('Server-Brittle', String(this.brittleness.limit));
    if (this.saysLeaving) response.setHeader('Server-Leaving', '1');
    if (this.behaviour === 'misdirected' || (expected !== undefined && expected !== this.id)) {
      response.writeHead(421, { 'Instance-Id': 'another' }).end();
      return;
    }
    const id = request.headers['attempt-id'] as string | undefined;
    if (this.behaviour === 'refuses') {
      const headers = { 'Not-Executed': '1', ...(id && { 'Attempt-Id': id }) };
      if (this.retryAfter !== undefined) response.setHeader('Retry-After', this.retryAfter);
      response.writeHead(503, headers).end();
      return;
    }
    if (!(await this.enter())) {
      this.reject(id, response);
      return;
    }
    // A caller that left while its request waited: `close` has been emitted and would never free the slot.
    if (response.destroyed) {
      this.leave();
      return;
    }
    response.once('close', () => this.leave());
    const { method = 'GET', url: target = '/', headers } = request;
    const received = { id, method, target, headers, body };
    this.ran.push(received);
    this.options.onRan(received, request.socket.remoteAddress ?? '');
    if (this.options.isFatal(received)) {
      await this.pause(this.options.workMilliseconds);
      this.crash();
      return;
    }
    if (this.behaviour === 'mute' || this.options.answersRaw(received, request.socket)) return;
    if (this.behaviour === 'loses_answer') request.socket.resetAndDestroy();
    else if (headers['prompt-prefix'] !== undefined) await this.stream(request, response);
    else await this.answerPlain(id, response);
  }

  private report(response: ServerResponse): void {
    this.reports += 1;
    if (!this.options.servesReport) response.writeHead(404).end();
    else response.end(JSON.stringify({ stage: 'both', running: this.running, born: this.born }));
  }

  /** @returns Whether the request may run, once a slot is free. */
  private async enter(): Promise<boolean> {
    if (this.running < this.options.slots) {
      this.running += 1;
      return true;
    }
    if (this.queue.length >= this.maximumWaiting) return false;
    // The slot passes from the request that leaves to the one that waits.
    await new Promise<void>((enter) => {
      this.queue.push(enter);
    });
    return true;
  }

  private leave(): void {
    const next = this.queue.shift();
    if (next) next();
    else this.running -= 1;
  }

  private get isNoticeOver(): boolean {
    return performance.now() - this.brittleSince >= BRITTLE_NOTICE_MILLISECONDS;
  }

  private get maximumWaiting(): number {
    const { brittleness, options } = this;
    return brittleness && this.isNoticeOver ? brittleness.waiting : options.maximumWaiting;
  }

  private reject(id: string | undefined, response: ServerResponse): void {
    const headers = { 'Not-Executed': '1', ...(id && { 'Attempt-Id': id }), ...this.loadHeaders };
    response.writeHead(503, headers).end();
    const now = performance.now();
    const recent = this.rejections.filter((at) => now - at < SECOND_MILLISECONDS);
    this.rejections = [...recent, now];
    if (!this.brittleness || !this.isNoticeOver) return;
    if (this.rejections.length > this.brittleness.limit) this.crash();
  }

  private get loadHeaders(): Record<string, string> {
    const { statesLoad, slots, slowdown } = this.options;
    if (!statesLoad) return {};
    return { 'Server-Load': [this.running, this.queue.length, slots, slowdown * PERCENT].join() };
  }

  private headersFor(id: string | undefined): Record<string, string> {
    const seal = { 'Response-Seal': `seal-${this.id}`, ...(id && { 'Attempt-Id': id }) };
    return { ...seal, ...this.loadHeaders };
  }

  /** Leaves out the framing of an answer whose head has not been written. */
  private frame(response: ServerResponse, isUnframed = this.options.isUnframed): void {
    response.useChunkedEncodingByDefault = !isUnframed;
  }

  private echoOf(id: string | undefined): string {
    return this.options.echoes ? ` for ${id}` : '';
  }

  private async answerPlain(id: string | undefined, response: ServerResponse): Promise<void> {
    const { workMilliseconds, slowdown } = this.options;
    await this.pause(workMilliseconds * slowdown);
    const plainBody = `${this.options.plainBody}${this.echoOf(id)}`;
    const status = this.behaviour === 'fails' ? 500 : 200;
    const { isUnframed } = this.options;
    const length = { 'Content-Length': plainBody.length };
    this.frame(response);
    response.writeHead(status, { ...this.headersFor(id), ...(!isUnframed && length) });
    if (this.behaviour !== 'cuts_plain') {
      response.write(plainBody);
      response.end();
      return;
    }
    const most = plainBody.slice(0, Math.floor(plainBody.length * SHARE_BEFORE_CUT));
    // Without a length, an orderly end after a part of the body would be that of a whole answer.
    const cut = () => (isUnframed ? response.socket?.resetAndDestroy() : response.destroy());
    response.write(most, cut);
  }

  private async stream(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = request.headers['attempt-id'] as string | undefined;
    const after = Number(request.headers['last-event-id'] ?? 0);
    const { behaviour, version } = this;
    const isUnframed = this.options.isUnframed || behaviour === 'ends_stream_early';
    this.cachedParts.add(request.headers);
    this.frame(response, isUnframed);
    response.writeHead(200, { ...this.headersFor(id), 'Content-Type': 'text/event-stream' });
    if (isUnframed) this.keepAsUnframed(response);
    for (let event = after + 1; event <= this.options.events; event += 1) {
      const isCut = behaviour === 'cuts_stream' || behaviour === 'ends_stream_early';
      if (isCut && event > after + EVENTS_BEFORE_CUT) {
        response.write(halfEvent(event));
        await this.pause(this.options.eventMilliseconds);
        if (behaviour === 'cuts_stream') request.socket.resetAndDestroy();
        else response.end();
        return;
      }
      const by = this.options.echoes ? ` by ${version}` : '';
      response.write(`id: ${event}\ndata: token ${event}${this.echoOf(id)}${by}\n\n`);
      await this.pause(this.options.eventMilliseconds);
    }
    response.end();
  }

  private keepAsUnframed(response: ServerResponse): void {
    this.unframedStreams.add(response);
    response.once('close', () => this.unframedStreams.delete(response));
  }

  private pause(milliseconds: number): Promise<void> {
    return new Promise((done) => {
      setTimeout(done, milliseconds);
    });
  }
}
