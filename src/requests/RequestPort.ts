/**
 * Port through which the callers' interface hands a request to its owner.
 */
import type { CallerEvent, CallerRequest } from './requestTypes.js';

/** Owns requests from their validation to their last event. */
export abstract class RequestPort {
  /**
   * Runs a request. Never throws: every error is reported by a `failed` event, which is then the
   * last one.
   *
   * @param request - the validated request.
   * @param signal - aborted when the caller has disconnected; an idempotent stream then stays
   *   resumable for a while.
   * @returns Events in order, ended by `completed` or `failed`.
   */
  abstract run(request: CallerRequest, signal: AbortSignal): AsyncIterable<CallerEvent>;

  /**
   * Continues a stream after the last event that the caller received.
   *
   * @param clientAccount - the account that asks; only the stream's own account may resume it.
   * @param lastEventId - the opaque id from a `chunk` event.
   * @param deadlineMilliseconds - how long the caller still waits, in milliseconds.
   * @param signal - aborted when the caller has disconnected.
   * @returns Events in order, ended by `completed` or `failed`.
   */
  abstract resume(
    clientAccount: string,
    lastEventId: string,
    deadlineMilliseconds: number,
    signal: AbortSignal,
  ): AsyncIterable<CallerEvent>;

  /**
   * Cancels a request of this client account that this daemon owns. Repeated calls are harmless.
   *
   * @param clientAccount - the account that asks.
   * @param requestId - the request.
   * @returns Whether the request was in progress.
   */
  abstract cancel(clientAccount: string, requestId: string): Promise<boolean>;

  /** @returns Number of requests in progress, for a graceful stop. */
  abstract inProgress(): number;
}
