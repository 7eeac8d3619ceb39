/**
 * Access to the gates that this daemon holds itself.
 */
import type {
  CancelRequest,
  ExecuteEvent,
  ExecuteRequest,
  ResumeRequest,
} from '../generated/baobabdock/v1/peers_pb.js';
import type { GateHost } from './GateHost.js';
import { GatePort } from './GatePort.js';

/** Options of a {@link LocalGatePort}. */
export interface LocalGatePortOptions {
  host: GateHost;
}

/** Calls the gates of this daemon directly, without a network hop. */
export class LocalGatePort extends GatePort {
  private readonly host: GateHost;

  /**
   * @param options - the gates of this daemon.
   */
  constructor({ host }: LocalGatePortOptions) {
    super();
    this.host = host;
  }

  override execute(request: ExecuteRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    return this.host.execute(request, signal);
  }

  override resume(request: ResumeRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    return this.host.resume(request, signal);
  }

  override cancel(request: CancelRequest): Promise<boolean> {
    return this.host.cancel(request);
  }
}
