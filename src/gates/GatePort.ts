/**
 * Interface through which the owner of a request reaches the gate of a runner, on this or another daemon.
 */
import type {
  CancelRequest,
  ExecuteEvent,
  ExecuteRequest,
  ResumeRequest,
} from '../generated/baobabdock/v1/peers_pb.js';

/** Runs attempts at gates. Each stream of events ends after `refused`, `completed` or `failed`. */
export abstract class GatePort {
  /**
   * Runs one attempt.
   *
   * @param request - the attempt and the id of its runner.
   * @param signal - aborting it cancels the attempt at the runner.
   * @returns Events in order. The iteration throws only if the outcome is unknown, for example after a lost
   *   connection; the request may then have run even if no `started` event has arrived.
   */
  abstract execute(request: ExecuteRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent>;

  /**
   * Resumes the stream of an attempt after the last received chunk.
   *
   * @param request - the attempt and the last chunk that the caller has.
   * @param signal - aborting it stops reading without cancelling the attempt.
   * @returns Events in order, chunks from `afterSequence` + 1.
   */
  abstract resume(request: ResumeRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent>;

  /**
   * Cancels an attempt at its runner; idempotent.
   *
   * @param request - the attempt and the id of its runner.
   * @returns Whether the gate knew the attempt.
   */
  abstract cancel(request: CancelRequest): Promise<boolean>;
}
