/**
 * Stand-in for a runner. It registers itself in the platform's store at its start and with each heartbeat, streams events
 * or answers plainly, and may start again under its id.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

import { listen } from '../../src/http/listen.js';
import { parseAddress } from '../../src/http/parseAddress.js';
import { freeAddress } from './Daemon.js';

const HEARTBEAT_MILLISECONDS = 1_200;

const SLOTS = 64;

/** A runner takes whatever the configuration allows clients to send. */
const MAXIMUM_HEADER_BYTES = 131_072;

/** A request that began to run. */
export interface Run {
  readonly attempt: string;
  readonly prompt: string;
  readonly runner: string;
  readonly version: string;
  readonly after: number;
  readonly at: number;
}

/** Options of a {@link Runner}. */
export interface RunnerOptions {
  id: string;
  service: string;
  version?: string;
  zone?: string;
  /** Number of events of a whole stream. */
  events?: number;
  eventMilliseconds?: number;
  /** Time until the first event of a stream, in ms. */
  prefillMilliseconds?: number;
  /** Time of a plain request, in ms. */
  workMilliseconds?: number;
  /** Whether a prompt crashes the runner as soon as it begins to write an answer; it is back after some seconds. */
  isFatal?: (prompt: string) => boolean;
  onCrash?: (runner: string) => void;
  /** Writes to the platform's store, or removes the key. */
  write: (key: string, value: object | undefined) => void;
  onRun: (run: Run) => void;
}

const DEFAULTS = {
  version: 'v1',
  zone: 'zone-a',
  events: 40,
  eventMilliseconds: 100,
  prefillMilliseconds: 300,
  workMilliseconds: 20,
  isFatal: () => false,
  onCrash: () => undefined,
};

/** Time from a crash to the next start, in ms. */
const CRASHED_MILLISECONDS = 3_000;

/** Serves requests on a loopback port. */
export class Runner {
  readonly id: string;

  version: string;

  private readonly options: Required<RunnerOptions>;

  private server: Server | undefined;

  private address = '';

  private born = 0;

  private sequence = 0;

  private running = 0;

  private isClosed = false;

  /** Tokens of the parts of prompts that it has read since its start, by id. */
  private readonly parts = new Map<string, number>();

  private state: 'ready' | 'draining' = 'ready';

  private heartbeat: NodeJS.Timeout | undefined;

  /** @param options - its id, its service and its speed. */
  constructor(options: RunnerOptions) {
    this.options = { ...DEFAULTS, ...options };
    this.id = options.id;
    this.version = this.options.version;
  }

  /** @returns Number of requests that run. */
  get load(): number {
    return this.running;
  }

  /** The list of what it keeps: an empty text, the id, the tokens and the model of each part. */
  private get held(): [string, string, number, string][] {
    return [...this.parts].map(([id, tokens]) => ['', id, tokens, 'm']);
  }

  /** Ends it for good. */
  close(): void {
    this.isClosed = true;
    this.stop();
  }

  /** Starts it, also after its end, at the same address and under the same id. */
  async start(): Promise<void> {
    if (this.isClosed) return;
    if (this.address === '') this.address = await freeAddress();
    this.server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES }, (request, response) => {
      void this.take(request, response);
    });
    this.server.keepAliveTimeout = 5_000;
    await listen(this.server, parseAddress(this.address));
    this.born = Date.now();
    this.sequence = 0;
    this.running = 0;
    this.parts.clear();
    this.state = 'ready';
    this.register();
    this.heartbeat = setInterval(() => this.register(), HEARTBEAT_MILLISECONDS);
  }

  /** Ends it without notice; its entry stays in the store. */
  stop(): void {
    this.born = 0;
    clearInterval(this.heartbeat);
    this.server?.close();
    this.server?.closeAllConnections();
  }

  /** Ends it without notice, and starts it again under its id. */
  async restart(downMilliseconds: number, version = this.version): Promise<void> {
    this.stop();
    await wait(downMilliseconds);
    this.version = version;
    await this.start();
  }

  private register(): void {
    const { service, zone, write } = this.options;
    this.sequence += 1;
    write(`servers/${this.id}`, {
      service,
      address: this.address,
      zone,
      version: this.version,
      slots: SLOTS,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      born: this.born,
    });
  }

  private async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { headers, url = '' } = request;
    request.on('error', () => undefined);
    for await (const chunk of request) void chunk;
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Instance-Id': this.id }).end();
      return;
    }
    if (url === '/v1/report') this.report(response);
    else if (url === '/v1/kv-list')
      response.end(JSON.stringify({ epoch: this.born, next: 1, held: this.held }));
    else if (url.startsWith('/v1/')) response.writeHead(404).end();
    else await this.run(request, response);
  }

  private report(response: ServerResponse): void {
    const models = [{ name: 'm', version: 1, adapters: [] }];
    const { running, born } = this;
    const memory = { kv_used: 0, kv_total: 300_000, handles: 0 };
    const orders = { busy: false, sequence: this.sequence, waiting: 0 };
    response.end(JSON.stringify({ stage: 'both', models, ...orders, running, ...memory, born }));
  }

  private async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { headers } = request;
    const attempt = String(headers['attempt-id'] ?? '');
    const after = Number(headers['last-event-id'] ?? 0);
    const { id: runner, version, options } = this;
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
    });
    const prompt = String(headers['prompt-prefix'] ?? '');
    for (const part of prompt.split(',')) {
      const [id = '', tokens] = part.split(':');
      if (id !== '') this.parts.set(id, Number(tokens));
    }
    options.onRun({ attempt, prompt, runner, version, after, at: performance.now() });
    const common = {
      'Attempt-Id': attempt,
      'Response-Seal': `seal.${runner}.${this.born}`,
      'Instance-Id': runner,
      'Server-Load': `${this.running},0,${SLOTS}`,
    };
    if (headers['prompt-prefix'] !== undefined) {
      response.writeHead(200, { ...common, 'Content-Type': 'text/event-stream' });
      response.flushHeaders();
      await this.stream(response, { after, version, prompt });
      return;
    }
    await wait(options.workMilliseconds);
    const body = JSON.stringify({ attempt, runner });
    if (!response.destroyed)
      response.writeHead(200, { ...common, 'Content-Length': body.length }).end(body);
  }

  private async stream(
    response: ServerResponse,
    { after, version, prompt }: Pick<Run, 'after' | 'version' | 'prompt'>,
  ): Promise<void> {
    const { prefillMilliseconds, eventMilliseconds, events } = this.options;
    const { born } = this;
    await wait(prefillMilliseconds);
    if (response.destroyed || born !== this.born) return;
    if (this.options.isFatal(prompt)) {
      this.options.onCrash(this.id);
      await this.restart(CRASHED_MILLISECONDS);
      return;
    }
    for (let event = after + 1; event <= events; event += 1) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${version} ${this.id} ${event}\n\n`);
      await wait(eventMilliseconds);
    }
    response.end();
  }
}
