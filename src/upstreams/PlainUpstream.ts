/**
 * Upstream of an instance of a plain service. Calls are forwarded with method, headers and body. Plain services have no
 * resumption, reports or orders, and the outcome of a call is unknown if its answer is cut.
 */
import VError from 'verror';

import type { LoadReport } from '../gates/gateTypes.js';
import { StopSignal } from './StopSignal.js';
import { answerHeaders, requestHeaders } from './forwardedHeaders.js';
import { BodyError, isLengthKnown, readParts } from './readBody.js';
import { RunnerCalls } from './RunnerCalls.js';
import { RunnerConnection } from './RunnerConnection.js';
import type { ExchangeRequest, RunnerConnectionOptions } from './RunnerConnection.js';
import { ATTEMPT_ID_HEADER, DEADLINE_HEADER, PRIORITY_HEADER } from './runnerProtocol.js';
import { Upstream } from './Upstream.js';
import type {
  CacheEvent,
  OrderResult,
  UpstreamAttempt,
  UpstreamEvent,
  UpstreamState,
} from './Upstream.js';
import {
  bodyFailure,
  crossedFailure,
  exchangeFailure,
  isRefusalBeforeStart,
  malformedFailure,
  compareAttemptId,
} from './upstreamFailures.js';

/**
 * Whether the answers of a plain service must echo the attempt id; with `optional`, only an id that is present is
 * checked.
 */
export type AttemptIdEcho = 'required' | 'optional';

/** Options of a {@link PlainUpstream}. */
export interface PlainUpstreamOptions extends RunnerConnectionOptions {
  attemptIdEcho?: AttemptIdEcho;
  /** Path at which a working instance answers with a 2xx status. */
  healthPath?: string;
  /** Maximum time without a byte of a body in milliseconds. */
  idleMilliseconds?: number;
  /** Maximum size of one answer in bytes. */
  maximumAnswerBytes?: number;
  /** Timeout of a health check in milliseconds. */
  callTimeoutMilliseconds?: number;
}

const DEFAULT_HEALTH_PATH = '/health';
const DEFAULT_IDLE_MILLISECONDS = 10_000;
const DEFAULT_MAXIMUM_ANSWER_BYTES = 33_554_432;
const DEFAULT_CALL_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Idempotent methods, which may be sent on a keep-alive connection because running them twice has no further effect.
 */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);

function attemptRequest(attempt: UpstreamAttempt): ExchangeRequest {
  return {
    method: attempt.method,
    path: attempt.path,
    headers: {
      ...requestHeaders(attempt.headers),
      [ATTEMPT_ID_HEADER]: attempt.attemptId,
      [PRIORITY_HEADER]: attempt.priority,
      [DEADLINE_HEADER]: String(Math.max(0, Math.floor(attempt.deadlineMilliseconds))),
    },
    body: attempt.body,
    freshConnection: !IDEMPOTENT_METHODS.has(attempt.method),
  };
}

/** Sends attempts and health checks to one instance of a plain service. */
export class PlainUpstream extends Upstream {
  private readonly connection: RunnerConnection;

  private readonly calls: RunnerCalls;

  private readonly attemptIdEcho: AttemptIdEcho;

  private readonly healthPath: string;

  private readonly idleMilliseconds: number;

  private readonly maximumAnswerBytes: number;

  /**
   * @param options - the address of the instance, the properties of its service, and the limits.
   * @throws VError if the address is not an IP address with a port.
   */
  constructor({
    attemptIdEcho = 'optional',
    healthPath = DEFAULT_HEALTH_PATH,
    idleMilliseconds = DEFAULT_IDLE_MILLISECONDS,
    maximumAnswerBytes = DEFAULT_MAXIMUM_ANSWER_BYTES,
    callTimeoutMilliseconds = DEFAULT_CALL_TIMEOUT_MILLISECONDS,
    ...connection
  }: PlainUpstreamOptions) {
    super();
    this.connection = new RunnerConnection(connection);
    this.calls = new RunnerCalls({
      connection: this.connection,
      timeoutMilliseconds: callTimeoutMilliseconds,
    });
    this.attemptIdEcho = attemptIdEcho;
    this.healthPath = healthPath;
    this.idleMilliseconds = idleMilliseconds;
    this.maximumAnswerBytes = maximumAnswerBytes;
  }

  override async *run(
    attempt: UpstreamAttempt,
    signal: AbortSignal,
  ): AsyncGenerator<UpstreamEvent, void, undefined> {
    const { deadlineMilliseconds } = attempt;
    const stopSignal = new StopSignal({ signal, deadlineMilliseconds });
    try {
      yield* this.exchange(attempt, stopSignal);
    } finally {
      stopSignal.dispose();
    }
  }

  override async *resume(): AsyncGenerator<UpstreamEvent, void, undefined> {
    const message = 'plain services keep no answers';
    yield { kind: 'failed', reason: 'unknown_attempt', message, resumable: false };
  }

  override cancel(): Promise<boolean> {
    return Promise.resolve(false);
  }

  /** Performs a health check, since plain services report no load; the returned load is always 0. */
  override async readLoad(): Promise<LoadReport> {
    const { status } = await this.calls.call({ method: 'GET', path: this.healthPath, headers: {} });
    if (status < 200 || status > 299) throw new VError('%s answered %d', this.healthPath, status);
    return { load: 0, running: 0, queued: 0, ageMilliseconds: 0, tokensPerSecond: 0 };
  }

  override readCacheEvents(): Promise<readonly CacheEvent[]> {
    return Promise.resolve([]);
  }

  override readState(): Promise<UpstreamState> {
    return Promise.resolve({ model: '', versions: [], adapters: [], role: 'plain', loading: [] });
  }

  override order(): Promise<OrderResult> {
    return Promise.resolve({ kind: 'refused', message: 'plain services take no orders' });
  }

  override exportCache(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  override importCache(): Promise<number> {
    return Promise.resolve(0);
  }

  override close(): void {
    this.connection.close();
  }

  private async *exchange(
    attempt: UpstreamAttempt,
    stopSignal: StopSignal,
  ): AsyncGenerator<UpstreamEvent, void, undefined> {
    const result = await this.connection.exchange(attemptRequest(attempt), stopSignal);
    if (result.kind !== 'response') {
      yield exchangeFailure(result, false);
      return;
    }
    const { response } = result;
    try {
      const echo = compareAttemptId(response, attempt.attemptId);
      if (echo === 'crossed') {
        yield crossedFailure('the answer of another attempt', false);
        return;
      }
      if (echo === 'missing' && this.attemptIdEcho === 'required') {
        yield malformedFailure('the answer names no attempt');
        return;
      }
      if (isRefusalBeforeStart(response)) {
        const message = `refused with status ${response.statusCode}`;
        yield { kind: 'not_run', reason: 'refused', message };
        return;
      }
      if (attempt.method !== 'HEAD' && !isLengthKnown(response)) {
        yield malformedFailure('an answer of unknown length cannot be shown to be whole');
        return;
      }
      yield {
        kind: 'started',
        status: response.statusCode ?? 0,
        headers: answerHeaders(response.rawHeaders),
        cachedTokens: 0,
      };
      let sequence = 0;
      const { idleMilliseconds, maximumAnswerBytes: maximumBytes } = this;
      for await (const data of readParts(
        response,
        { idleMilliseconds, maximumBytes },
        stopSignal,
      )) {
        sequence += 1;
        yield { kind: 'chunk', sequence, data };
      }
      const noTokens = { promptTokens: 0, generatedTokens: 0, cachedTokens: 0 };
      yield { kind: 'completed', ...noTokens, lastSequence: sequence };
    } catch (error) {
      if (!(error instanceof BodyError)) throw error;
      yield bodyFailure(error, false);
    } finally {
      if (!response.readableEnded) response.destroy();
    }
  }
}
