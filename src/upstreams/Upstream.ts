/**
 * Interface through which a gate uses one runner, which is a model engine or an instance of a plain service.
 */
import type { LoadReport } from '../gates/gateTypes.js';

/** An attempt to run a request at a runner. */
export interface UpstreamAttempt {
  /** Id that the runner echoes, so that a late answer or one of another attempt is detected and dropped. */
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  readonly priority: string;
  /** Milliseconds from now until the deadline. */
  readonly deadlineMilliseconds: number;
  readonly streaming: boolean;
  /** Name of the chat, which is the key of the runner's prefix cache. */
  readonly chat: string;
}

/** An event of a runner's answer. */
export type UpstreamEvent =
  | {
      readonly kind: 'started';
      readonly status: number;
      readonly headers: readonly (readonly [string, string])[];
      readonly cachedTokens: number;
    }
  /**
   * A part of the answer. `sequence` starts at 1 and has no gaps. For a streamed answer of an engine, `data` is the
   * `data` field of one server-sent event, without its framing; for every other answer, it is the next part of the
   * body.
   */
  | { readonly kind: 'chunk'; readonly sequence: number; readonly data: Uint8Array }
  | {
      readonly kind: 'completed';
      readonly promptTokens: number;
      readonly generatedTokens: number;
      readonly cachedTokens: number;
      readonly lastSequence: number;
    }
  /** The attempt did not run: the runner refused it before the start, or no byte of it can have reached the runner. */
  | {
      readonly kind: 'not_run';
      readonly reason: 'refused' | 'unreachable';
      readonly message: string;
    }
  /** The attempt ran and failed, or it is unknown whether it ran. */
  | {
      readonly kind: 'failed';
      readonly reason: 'cut' | 'timeout' | 'crossed' | 'malformed' | 'unknown_attempt';
      readonly message: string;
      /** Whether the runner keeps the stream, so that it can be resumed. */
      readonly resumable: boolean;
    };

/** A change of a runner's prefix cache. A gap in the numbers means that events were lost. */
export interface CacheEvent {
  readonly number: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  /** Name of the chat; missing for `cleared`. */
  readonly chat?: string;
  readonly cachedTokens: number;
}

/** An order to a runner. It names a desired state and is idempotent. */
export type UpstreamOrder =
  | { readonly kind: 'load_version'; readonly model: string; readonly version: string }
  | { readonly kind: 'unload_version'; readonly model: string; readonly version: string }
  | { readonly kind: 'load_adapter'; readonly model: string; readonly adapter: string }
  | { readonly kind: 'unload_adapter'; readonly model: string; readonly adapter: string }
  | { readonly kind: 'change_role'; readonly role: 'prefill' | 'decode' | 'mixed' };

/** Result of an order. */
export type OrderResult =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'refused_fencing'; readonly highestFencingToken: number }
  | { readonly kind: 'refused'; readonly message: string }
  | { readonly kind: 'unknown'; readonly message: string };

/** Model, versions and adapters that a runner has loaded or is loading, and its role. */
export interface UpstreamState {
  readonly model: string;
  readonly versions: readonly string[];
  readonly adapters: readonly string[];
  readonly role: string;
  readonly loading: readonly string[];
}

/** Sends attempts, orders and other requests to one runner. */
export abstract class Upstream {
  /**
   * Runs an attempt.
   *
   * @param attempt - the attempt.
   * @param signal - aborting it cancels the attempt at the runner.
   * @returns The events in order; the last one is `completed`, `not_run` or `failed`. Never throws.
   */
  abstract run(attempt: UpstreamAttempt, signal: AbortSignal): AsyncIterable<UpstreamEvent>;

  /**
   * Continues the stream of an attempt after its connection broke.
   *
   * @param attemptId - the id of the attempt.
   * @param afterSequence - the sequence number of the last chunk that was received.
   * @param signal - aborting it stops reading, while the attempt continues at the runner.
   * @returns The events as from {@link Upstream.run}, with chunks from `afterSequence` + 1.
   */
  abstract resume(
    attemptId: string,
    afterSequence: number,
    signal: AbortSignal,
  ): AsyncIterable<UpstreamEvent>;

  /**
   * Cancels an attempt. Idempotent.
   *
   * @param attemptId - the id of the attempt.
   * @returns Whether the runner knew the attempt.
   */
  abstract cancel(attemptId: string): Promise<boolean>;

  /** @returns The runner's load report, which lags behind its load. Throws if the runner does not answer. */
  abstract readLoad(): Promise<LoadReport>;

  /**
   * Reads the changes of the prefix cache.
   *
   * @param afterNumber - the number of the last event that was read.
   * @returns The later events, possibly with gaps; none for plain services.
   */
  abstract readCacheEvents(afterNumber: number): Promise<readonly CacheEvent[]>;

  /** @returns The state of the runner. Throws if the runner does not answer. */
  abstract readState(): Promise<UpstreamState>;

  /**
   * Gives an order to the runner.
   *
   * @param order - the desired state.
   * @param fencingToken - fencing token of the lease under which the order is given.
   * @returns The result of the order.
   */
  abstract order(order: UpstreamOrder, fencingToken: number): Promise<OrderResult>;

  /**
   * Exports the KV cache of a chat.
   *
   * @param chat - the name of the chat.
   * @returns The cache in parts, as the engine sends it, because it is far larger than a daemon's memory; `undefined`
   *   if the engine has none. The caller has to read it to its end or end the iteration. Throws if the cache is cut.
   */
  abstract exportCache(chat: string): Promise<AsyncIterable<Uint8Array> | undefined>;

  /**
   * Imports the KV cache of a chat.
   *
   * @param chat - the name of the chat.
   * @param cache - the cache as exported.
   * @returns The number of tokens that are now cached. Throws if the cache was not imported whole.
   */
  abstract importCache(chat: string, cache: AsyncIterable<Uint8Array>): Promise<number>;

  /** Closes all connections. */
  abstract close(): void;
}
