/**
 * Upstream of a model engine. Engines stream answers as server-sent events, resume and cancel attempts, report their
 * load and cache changes, and accept orders.
 */
import type { IncomingMessage } from 'node:http';

import { match } from 'ts-pattern';
import VError from 'verror';

import type { LoadReport } from '../gates/gateTypes.js';
import { StopSignal } from './StopSignal.js';
import { EngineAnswerReader } from './EngineAnswerReader.js';
import { requestHeaders } from './forwardedHeaders.js';
import { readParts } from './readBody.js';
import { checkJson, RunnerCalls } from './RunnerCalls.js';
import { RunnerConnection } from './RunnerConnection.js';
import type { ExchangeRequest, RunnerConnectionOptions } from './RunnerConnection.js';
import {
  cacheEventsSchema,
  cancelledSchema,
  fencingRefusalSchema,
  importedSchema,
  loadSchema,
  refusalSchema,
  stateSchema,
} from './runnerMessages.js';
import {
  ATTEMPT_ID_HEADER,
  CHAT_HEADER,
  DEADLINE_HEADER,
  formatEventId,
  PRIORITY_HEADER,
} from './runnerProtocol.js';
import { Upstream } from './Upstream.js';
import type {
  CacheEvent,
  OrderResult,
  UpstreamAttempt,
  UpstreamEvent,
  UpstreamOrder,
  UpstreamState,
} from './Upstream.js';

/** Limits of an {@link EngineUpstream}. */
export interface EngineLimits {
  /** Milliseconds without a byte of a stream after which the engine counts as unresponsive. */
  idleMilliseconds?: number;
  /** Maximum size of one server-sent event in bytes. */
  maximumEventBytes?: number;
  /** Maximum size of one answer in bytes. */
  maximumAnswerBytes?: number;
  /** Timeout of a report, an order or a cancellation in milliseconds. */
  callTimeoutMilliseconds?: number;
  /** Timeout of the export or import of a chat's KV cache in milliseconds. */
  cacheTimeoutMilliseconds?: number;
  /** Maximum size of the exported KV cache of one chat in bytes. */
  maximumCacheBytes?: number;
}

/** Options of an {@link EngineUpstream}. */
export interface EngineUpstreamOptions extends RunnerConnectionOptions, EngineLimits {}

const DEFAULT_LIMITS: Required<EngineLimits> = {
  idleMilliseconds: 10_000,
  maximumEventBytes: 262_144,
  maximumAnswerBytes: 33_554_432,
  callTimeoutMilliseconds: 2_000,
  cacheTimeoutMilliseconds: 30_000,
  maximumCacheBytes: 17_179_869_184,
};

function attemptRequest(attempt: UpstreamAttempt): ExchangeRequest {
  return {
    method: attempt.method,
    path: attempt.path,
    headers: {
      ...requestHeaders(attempt.headers),
      [ATTEMPT_ID_HEADER]: attempt.attemptId,
      [PRIORITY_HEADER]: attempt.priority,
      [DEADLINE_HEADER]: String(Math.max(0, Math.floor(attempt.deadlineMilliseconds))),
      [CHAT_HEADER]: encodeURIComponent(attempt.chat),
    },
    body: attempt.body,
  };
}

function cachePath(chat: string): string {
  return `/cache/${encodeURIComponent(chat)}`;
}

/** Sends attempts, orders and other requests to one model engine. */
export class EngineUpstream extends Upstream {
  private readonly connection: RunnerConnection;

  private readonly calls: RunnerCalls;

  private readonly reader: EngineAnswerReader;

  private readonly limits: Required<EngineLimits>;

  /**
   * @param options - the address and the limits of the engine.
   * @throws VError if the address is not an IP address with a port.
   */
  constructor(options: EngineUpstreamOptions) {
    super();
    this.limits = { ...DEFAULT_LIMITS, ...options };
    this.connection = new RunnerConnection(options);
    this.calls = new RunnerCalls({
      connection: this.connection,
      timeoutMilliseconds: this.limits.callTimeoutMilliseconds,
    });
    this.reader = new EngineAnswerReader({ connection: this.connection, ...this.limits });
  }

  override async *run(
    attempt: UpstreamAttempt,
    signal: AbortSignal,
  ): AsyncGenerator<UpstreamEvent, void, undefined> {
    const { attemptId, deadlineMilliseconds, streaming } = attempt;
    const stopSignal = new StopSignal({ signal, deadlineMilliseconds });
    let last: UpstreamEvent | undefined;
    try {
      const expected = { kind: 'run', attemptId, afterSequence: 0, resumable: streaming } as const;
      for await (const event of this.reader.exchange(
        attemptRequest(attempt),
        expected,
        stopSignal,
      )) {
        last = event;
        yield event;
      }
    } finally {
      // Without cancellation, a stopped attempt would continue to occupy the engine's batch, which would only show as a
      // rising load.
      const wasStopped = stopSignal.reason() !== undefined && last?.kind !== 'completed';
      if (wasStopped && last?.kind !== 'not_run') void this.cancel(attemptId);
      stopSignal.dispose();
    }
  }

  override async *resume(
    attemptId: string,
    afterSequence: number,
    signal: AbortSignal,
  ): AsyncGenerator<UpstreamEvent, void, undefined> {
    // A resumed stream needs no deadline here: the attempt already has one, and the reader's idle timeout ends the
    // stream.
    const stopSignal = new StopSignal({ signal, deadlineMilliseconds: Number.MAX_SAFE_INTEGER });
    try {
      const request: ExchangeRequest = {
        method: 'GET',
        path: `/attempts/${encodeURIComponent(attemptId)}/events`,
        headers: {
          [ATTEMPT_ID_HEADER]: attemptId,
          'last-event-id': formatEventId({ attemptId, sequence: afterSequence }),
        },
        // An engine that keeps the stream answers at once; one that does not answer in this time is unresponsive.
        headTimeoutMilliseconds: this.limits.idleMilliseconds,
      };
      const expected = { kind: 'resume', attemptId, afterSequence, resumable: true } as const;
      yield* this.reader.exchange(request, expected, stopSignal);
    } finally {
      stopSignal.dispose();
    }
  }

  override async cancel(attemptId: string): Promise<boolean> {
    try {
      const path = `/attempts/${encodeURIComponent(attemptId)}`;
      const { status, body } = await this.calls.call({ method: 'DELETE', path, headers: {} });
      return status === 200 && checkJson(body, cancelledSchema, path).known;
    } catch {
      // The failure has no further effect: an engine that missed the cancellation stops at the attempt's deadline.
      return false;
    }
  }

  override async readLoad(): Promise<LoadReport> {
    const load = await this.calls.read('/load', loadSchema);
    return {
      load: load.load_tokens,
      running: load.running,
      queued: load.queued,
      ageMilliseconds: load.age_milliseconds,
      tokensPerSecond: load.tokens_per_second,
    };
  }

  override async readCacheEvents(afterNumber: number): Promise<readonly CacheEvent[]> {
    const { events } = await this.calls.read(
      `/cache/events?after=${afterNumber}`,
      cacheEventsSchema,
    );
    return events.map(({ number, kind, chat, cached_tokens: cachedTokens }) => ({
      number,
      kind,
      ...(chat === undefined ? {} : { chat }),
      cachedTokens,
    }));
  }

  override readState(): Promise<UpstreamState> {
    return this.calls.read('/state', stateSchema);
  }

  override async order(order: UpstreamOrder, fencingToken: number): Promise<OrderResult> {
    const body = Buffer.from(JSON.stringify({ order, fencing_token: fencingToken }));
    const headers = { 'content-type': 'application/json' };
    try {
      const answer = await this.calls.call({ method: 'POST', path: '/orders', headers, body });
      return match(answer.status)
        .with(200, () => ({ kind: 'accepted' }) as const)
        .with(409, () => ({
          kind: 'refused_fencing' as const,
          highestFencingToken: checkJson(answer.body, fencingRefusalSchema, 'an order')
            .highest_fencing_token,
        }))
        .otherwise(() => ({
          kind: 'refused' as const,
          message: checkJson(answer.body, refusalSchema, 'an order').message,
        }));
    } catch (error) {
      return { kind: 'unknown', message: error instanceof Error ? error.message : String(error) };
    }
  }

  override async exportCache(chat: string): Promise<AsyncIterable<Uint8Array> | undefined> {
    const path = cachePath(chat);
    const stopSignal = new StopSignal({
      deadlineMilliseconds: this.limits.cacheTimeoutMilliseconds,
    });
    const result = await this.connection.exchange({ method: 'GET', path, headers: {} }, stopSignal);
    if (result.kind === 'response' && result.response.statusCode === 200) {
      return this.readCache(result.response, stopSignal);
    }
    stopSignal.dispose();
    if (result.kind !== 'response') throw new VError('GET %s: %s', path, result.message);
    result.response.destroy();
    return undefined;
  }

  override async importCache(chat: string, cache: AsyncIterable<Uint8Array>): Promise<number> {
    const path = cachePath(chat);
    const headers = { 'content-type': 'application/octet-stream' };
    const { status, body } = await this.calls.call(
      { method: 'PUT', path, headers, body: cache, freshConnection: true },
      { timeoutMilliseconds: this.limits.cacheTimeoutMilliseconds },
    );
    if (status !== 200) throw new VError('PUT %s answered status %d', path, status);
    return checkJson(body, importedSchema, path).cached_tokens;
  }

  override close(): void {
    this.connection.close();
  }

  private async *readCache(
    response: IncomingMessage,
    stopSignal: StopSignal,
  ): AsyncGenerator<Uint8Array, void, undefined> {
    const { idleMilliseconds, maximumCacheBytes: maximumBytes } = this.limits;
    try {
      yield* readParts(response, { idleMilliseconds, maximumBytes }, stopSignal);
    } finally {
      stopSignal.dispose();
    }
  }
}
