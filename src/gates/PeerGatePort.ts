/**
 * Access to the gates that another daemon holds.
 */
import type { Client } from '@connectrpc/connect';

import type {
  CancelRequest,
  ExecuteEvent,
  ExecuteRequest,
  PeerService,
  ResumeRequest,
} from '../generated/baobabdock/v1/peers_pb.js';
import type { PeerLink } from '../peers/PeerLink.js';
import { wasNeverSent } from '../peers/PeerNotReachedError.js';
import { GatePort } from './GatePort.js';
import { refusedEvent } from './GateTaskEvents.js';

/** Options of a {@link PeerGatePort}. */
export interface PeerGatePortOptions {
  peers: PeerLink;
  daemonId: string;
  peerAddress: string;
}

type PeerClient = Client<typeof PeerService>;
type Call = (signal: AbortSignal) => AsyncIterable<ExecuteEvent>;

/** Time that a call may take beyond the deadline of its attempt, so that the last event can arrive. */
const CALL_GRACE_MILLISECONDS = 1_000;

/**
 * Event stream of one call that its reader can leave at any time. Leaving closes the call's connection at once, even
 * while the gate is unresponsive, and does not cancel the attempt.
 */
class PeerStream implements AsyncIterableIterator<ExecuteEvent> {
  private readonly controller = new AbortController();

  private readonly iterator: AsyncIterator<ExecuteEvent>;

  private left = false;

  constructor(call: Call) {
    this.iterator = call(this.controller.signal)[Symbol.asyncIterator]();
  }

  async next(): Promise<IteratorResult<ExecuteEvent>> {
    if (this.left) return { value: undefined, done: true };
    try {
      return await this.iterator.next();
    } catch (error) {
      if (this.left) return { value: undefined, done: true };
      throw error;
    }
  }

  async return(): Promise<IteratorResult<ExecuteEvent>> {
    this.left = true;
    this.controller.abort();
    return { value: undefined, done: true };
  }

  [Symbol.asyncIterator](): this {
    return this;
  }
}

/** Calls the gates of one other daemon over the network. */
export class PeerGatePort extends GatePort {
  private readonly client: PeerClient;

  /**
   * @param options - the other daemon, and the link to reach it.
   */
  constructor({ peers, daemonId, peerAddress }: PeerGatePortOptions) {
    super();
    this.client = peers.clientFor(daemonId, peerAddress);
  }

  override execute(request: ExecuteRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    const { attemptId, runnerId } = request;
    const stream = new PeerStream((stop) => this.run(request, signal, stop));
    const abort = (): void => {
      // Closing the connection does not cancel the attempt, so it is cancelled explicitly by its id.
      void this.client.cancel({ attemptId, runnerId }).catch(() => {});
    };
    if (signal.aborted) abort();
    else signal.addEventListener('abort', abort, { once: true });
    return stream;
  }

  override resume(request: ResumeRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    const timeoutMs = request.deadlineMilliseconds + CALL_GRACE_MILLISECONDS;
    const stream = new PeerStream((stop) =>
      this.client.resume(request, { signal: stop, timeoutMs }),
    );
    const leave = (): void => {
      void stream.return();
    };
    if (signal.aborted) leave();
    else signal.addEventListener('abort', leave, { once: true });
    return stream;
  }

  override async cancel({ attemptId, runnerId }: CancelRequest): Promise<boolean> {
    return (await this.client.cancel({ attemptId, runnerId })).known;
  }

  private async *run(
    request: ExecuteRequest,
    cancelSignal: AbortSignal,
    stop: AbortSignal,
  ): AsyncGenerator<ExecuteEvent, void, undefined> {
    if (cancelSignal.aborted) {
      yield refusedEvent({ reason: 'cancelled' });
      return;
    }
    const timeoutMs = request.deadlineMilliseconds + CALL_GRACE_MILLISECONDS;
    try {
      yield* this.client.execute(request, { signal: stop, timeoutMs });
    } catch (error) {
      if (!wasNeverSent(error)) throw error;
      yield refusedEvent({ reason: 'gate_not_here' });
    }
  }
}
