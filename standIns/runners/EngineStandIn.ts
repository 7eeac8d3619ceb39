/**
 * Stand-in of a model engine: continuous batching, prefix cache, priorities, streams that can be resumed
 * and cancelled, lagging load reports, late and gappy cache events, orders, KV cache export and import.
 */
import type { ServerResponse } from 'node:http';

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import {
  ATTEMPT_ID_HEADER,
  CHAT_HEADER,
  parseEventId,
  PRIORITY_HEADER,
} from '../../src/upstreams/runnerProtocol.js';
import { completionSchema, promptTokensOf, requestHash, tokenText } from './completionRequest.js';
import type { Completion } from './completionRequest.js';
import { EngineAttempt, usageJson } from './EngineAttempt.js';
import { EngineBatch } from './EngineBatch.js';
import type { EngineBatchOptions } from './EngineBatch.js';
import { EngineModels } from './EngineModels.js';
import type { OrderAnswer } from './EngineModels.js';
import { LoadHistory } from './LoadHistory.js';
import { PrefixCache } from './PrefixCache.js';
import type { RunnerFaults } from './runnerFaults.js';
import { answerJson, parseBody, RunnerServer } from './RunnerServer.js';
import type { ReceivedRequest, RunnerServerOptions } from './RunnerServer.js';

/** Options of an {@link EngineStandIn}. */
export interface EngineStandInOptions extends RunnerServerOptions, EngineBatchOptions {
  model?: string;
  versions?: readonly string[];
  adapters?: readonly string[];
  checksFencing?: boolean;
  /** Milliseconds to load a version or an adapter. */
  loadMilliseconds?: number;
  cacheTokens?: number;
  cacheEventLagMilliseconds?: number;
  /** Share of cache events that are lost, 0 to 1. */
  cacheEventLoss?: number;
  reportLagMilliseconds?: number;
  /** Milliseconds that an attempt without a reader goes on, and an ended one is kept. */
  keepMilliseconds?: number;
  /** Size of an exported KV cache. */
  bytesPerToken?: number;
  seed?: number;
}

const DEFAULT_MODEL = 'stand-in';
const DEFAULT_KEEP_MILLISECONDS = 10_000;
const DEFAULT_BYTES_PER_TOKEN = 16;

/** One engine on a port of its own. */
export class EngineStandIn extends RunnerServer {
  readonly models: EngineModels;

  readonly cache: PrefixCache;

  private readonly batch: EngineBatch;

  private readonly attempts = new Map<string, EngineAttempt>();

  private readonly history: LoadHistory;

  private readonly cancelled = new Set<string>();

  private readonly keepMilliseconds: number;

  private readonly bytesPerToken: number;

  /**
   * @param options - sizes, times and lags.
   */
  constructor({
    model = DEFAULT_MODEL,
    keepMilliseconds = DEFAULT_KEEP_MILLISECONDS,
    reportLagMilliseconds = 0,
    bytesPerToken = DEFAULT_BYTES_PER_TOKEN,
    seed = 1,
    ...options
  }: EngineStandInOptions = {}) {
    super(options);
    this.keepMilliseconds = keepMilliseconds;
    this.history = new LoadHistory({ lagMilliseconds: reportLagMilliseconds });
    this.bytesPerToken = bytesPerToken;
    this.batch = new EngineBatch(options);
    const random = xoroshiro128plus(seed);
    const loss = options.cacheEventLoss ?? 0;
    this.cache = new PrefixCache({
      capacityTokens: options.cacheTokens,
      eventLagMilliseconds: options.cacheEventLagMilliseconds,
      loses: () => loss > 0 && uniformFloat64(random) < loss,
    });
    this.models = new EngineModels({
      model,
      versions: options.versions,
      adapters: options.adapters,
      checksFencing: options.checksFencing,
      loadMilliseconds: options.loadMilliseconds,
      after: (milliseconds, action) => this.after(milliseconds, action),
      // Another version computes other keys and values for the same text.
      changed: () => this.cache.clear(),
    });
  }

  override async close(): Promise<void> {
    this.batch.stop();
    await super.close();
  }

  /** @returns Attempts that were cancelled by `DELETE` or for want of a reader. */
  cancelledAttempts(): string[] {
    return [...this.cancelled];
  }

  protected override faultsChanged(): void {
    const { frozen, slowMilliseconds } = this.faults();
    this.batch.extraStepMilliseconds = slowMilliseconds;
    this.batch.frozen = frozen;
    this.batch.arm();
  }

  protected override isAttempt({ method, url }: ReceivedRequest): boolean {
    return method === 'POST' && url.pathname === '/v1/chat/completions';
  }

  protected override answer(
    request: ReceivedRequest,
    response: ServerResponse,
    faults: RunnerFaults,
  ): void {
    const { method } = request;
    const [, section = '', name = '', part = ''] = request.url.pathname.split('/');
    if (this.isAttempt(request)) this.complete(request, response, faults);
    else if (section === 'attempts') this.answerAttempt(request, response, name, part);
    else if (section === 'cache' && name === 'events') this.answerCacheEvents(request, response);
    else if (section === 'cache') this.answerCache(request, response, decodeURIComponent(name));
    else if (section === 'load') this.answerLoad(response);
    else if (section === 'state') answerJson(response, 200, this.models.stateJson());
    else if (section === 'orders' && method === 'POST') {
      const { status, value }: OrderAnswer = this.models.order(parseBody(request.body));
      answerJson(response, status, value);
    } else answerJson(response, 404, { message: 'no such path' });
  }

  private complete(request: ReceivedRequest, response: ServerResponse, faults: RunnerFaults): void {
    const completion = completionSchema.parse(parseBody(request.body));
    const attempt = this.start(request, completion);
    if (faults.refusing === 'unclear') {
      answerJson(response, 503, { message: 'something broke' }, attempt.headers(faults));
      return;
    }
    if (faults.lostAnswer) {
      attempt.onEnd(() => response.destroy());
      return;
    }
    this.after(faults.lateMilliseconds, () => {
      if (completion.stream) this.stream(attempt, response, 0, faults);
      else attempt.onEnd(() => this.answerWhole(attempt, response, faults));
    });
  }

  private start(request: ReceivedRequest, completion: Completion): EngineAttempt {
    const { attemptId, headers, body } = request;
    const promptTokens = promptTokensOf(completion);
    const hash = requestHash(body);
    const chat = decodeURIComponent(String(headers[CHAT_HEADER] ?? hash));
    const cachedTokens = this.cache.look(chat, promptTokens);
    this.countExecution(attemptId, String(headers['idempotency-key'] ?? hash));
    const attempt = new EngineAttempt({
      attemptId,
      model: this.models.model,
      promptTokens,
      cachedTokens,
    });
    this.attempts.set(attemptId, attempt);
    this.batch.add({
      attemptId,
      priority: String(headers[PRIORITY_HEADER] ?? 'standard'),
      prefillTokens: promptTokens - cachedTokens,
      generateTokens: completion.max_tokens,
      enter: () => this.snapshot(),
      generate: () => attempt.append(tokenText(hash, attempt.usage().generatedTokens)),
      finish: () => {
        this.cache.store(chat, promptTokens + attempt.usage().generatedTokens);
        this.finish(attempt, 'completed');
      },
    });
    this.snapshot();
    return attempt;
  }

  private stream(
    attempt: EngineAttempt,
    response: ServerResponse,
    afterSequence: number,
    faults: RunnerFaults,
  ): void {
    attempt.stream(response, afterSequence, faults, () => {
      if (attempt.end) return;
      this.after(this.keepMilliseconds, () => {
        if (attempt.readerCount === 0) this.cancel(attempt);
      });
    });
  }

  private answerWhole(
    attempt: EngineAttempt,
    response: ServerResponse,
    faults: RunnerFaults,
  ): void {
    const value = {
      id: attempt.attemptId,
      object: 'chat.completion',
      model: this.models.model,
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content: attempt.text() },
          finish_reason: 'stop',
        },
      ],
      usage: usageJson(attempt.usage()),
    };
    const headers = attempt.headers(faults);
    if (faults.cutAfterChunks === undefined) {
      answerJson(response, 200, value, headers);
      return;
    }
    const body = JSON.stringify(value);
    response.writeHead(200, { ...headers, 'content-length': body.length });
    response.write(body.slice(0, body.length / 2), () => response.destroy());
  }

  private answerAttempt(
    request: ReceivedRequest,
    response: ServerResponse,
    name: string,
    part: string,
  ): void {
    const attempt = this.attempts.get(decodeURIComponent(name));
    if (request.method === 'DELETE') {
      if (attempt) this.cancel(attempt);
      answerJson(response, 200, { known: attempt !== undefined });
      return;
    }
    if (!attempt || part !== 'events') {
      const headers = { [ATTEMPT_ID_HEADER]: decodeURIComponent(name) };
      answerJson(response, 404, { message: 'no such attempt' }, headers);
      return;
    }
    const after = parseEventId(String(request.headers['last-event-id'] ?? ''));
    this.stream(attempt, response, after?.sequence ?? 0, this.faults());
  }

  private answerCacheEvents({ url }: ReceivedRequest, response: ServerResponse): void {
    const after = Number(url.searchParams.get('after') ?? 0);
    const events = this.cache.eventsAfter(after).map(({ cachedTokens, ...event }) => ({
      ...event,
      cached_tokens: cachedTokens,
    }));
    answerJson(response, 200, { events });
  }

  private answerCache(request: ReceivedRequest, response: ServerResponse, chat: string): void {
    if (request.method === 'PUT') {
      const tokens = Math.floor(request.body.byteLength / this.bytesPerToken);
      this.cache.store(chat, tokens);
      answerJson(response, 200, { cached_tokens: this.cache.peek(chat) });
      return;
    }
    const tokens = this.cache.peek(chat);
    if (tokens === 0) {
      answerJson(response, 404, { message: 'not cached' });
      return;
    }
    const body = Buffer.alloc(tokens * this.bytesPerToken);
    response.writeHead(200, { 'content-length': body.byteLength });
    response.end(body);
  }

  private answerLoad(response: ServerResponse): void {
    const { load, ageMilliseconds } = this.history.read(this.batch.load());
    answerJson(response, 200, {
      load_tokens: load.tokens,
      running: load.running,
      queued: load.queued,
      age_milliseconds: ageMilliseconds,
      tokens_per_second: load.tokensPerSecond,
    });
  }

  private cancel(attempt: EngineAttempt): void {
    if (attempt.end) return;
    this.batch.remove(attempt.attemptId);
    this.cancelled.add(attempt.attemptId);
    this.finish(attempt, 'cancelled');
  }

  private finish(attempt: EngineAttempt, end: 'completed' | 'cancelled'): void {
    attempt.finish(end);
    this.snapshot();
    this.after(this.keepMilliseconds, () => {
      if (this.attempts.get(attempt.attemptId) === attempt) this.attempts.delete(attempt.attemptId);
    });
  }

  private snapshot(): void {
    this.history.add(this.batch.load());
  }
}
