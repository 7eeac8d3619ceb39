/**
 * Determines whether a request fits on a gate's runner now, and otherwise how long it has to wait.
 */
import type { FairQueue } from './FairQueue.js';
import type { GateBound } from './GateBound.js';
import type { GateLoad } from './GateLoad.js';
import type { GateOpening } from './GateOpening.js';
import type { GateThroughput } from './GateThroughput.js';
import type { GateRequest } from './gateTypes.js';

/** A request with the properties that the queue needs. */
export interface QueuedRequest extends GateRequest {
  /** Tokens of work. */
  readonly work: number;
  /** When the request arrived, in monotonic milliseconds. */
  readonly queuedAt: number;
}

/** Options of a {@link GateCapacity}: the components of one gate. */
export interface GateCapacityOptions {
  /** Requests that may be on the runner at once. */
  maximumConcurrent: number;
  load: GateLoad;
  queue: FairQueue<QueuedRequest>;
  bound: GateBound;
  opening: GateOpening;
  throughput: GateThroughput;
}

/** Computes the free capacity of one gate from its components, which it only reads. */
export class GateCapacity {
  private readonly parts: GateCapacityOptions;

  /**
   * @param parts - components of the gate.
   */
  constructor(parts: GateCapacityOptions) {
    this.parts = parts;
  }

  /**
   * @param now - monotonic milliseconds.
   * @param request - a request that has not started.
   * @returns Whether it may start now, regardless of the requests that wait before it.
   */
  fits(now: number, request: QueuedRequest): boolean {
    const { maximumConcurrent, load, queue, bound, opening } = this.parts;
    if (load.count >= maximumConcurrent) return false;
    return bound.fits({
      work: request.work,
      bound: request.bound,
      ownRequests: load.count,
      ownWork: load.work,
      foreignWork: opening.foreignWork(now),
      isForeignWorkKnown: opening.isForeignWorkKnown,
      queuedWork: queue.work,
      opened: opening.openShare(now),
    });
  }

  /**
   * @param now - monotonic milliseconds.
   * @param request - a request that has not started, in the queue or not.
   * @returns Expected milliseconds until it can start, from the measured throughput and the requests before it.
   */
  expectedWait(now: number, request: QueuedRequest): number {
    const { maximumConcurrent, load, queue, bound, opening, throughput } = this.parts;
    const ahead = queue.workAhead(request);
    const surplus = bound.excessWork({
      work: request.work,
      bound: request.bound,
      ownWork: load.work,
      foreignWork: opening.foreignWork(now),
      queuedWork: queue.work,
      aheadWork: ahead.work,
    });
    const places = maximumConcurrent - load.count;
    return throughput.expectedWait(surplus, ahead.requests + 1 - places);
  }
}
