/**
 * Routes each call to the daemon that holds the runner's gate according to this daemon's view of the fleet.
 */
import type { FleetView } from '../fleet/FleetView.js';
import type {
  CancelRequest,
  ExecuteEvent,
  ExecuteRequest,
  ResumeRequest,
} from '../generated/baobabdock/v1/peers_pb.js';
import type { PeerLink } from '../peers/PeerLink.js';
import { GatePort } from './GatePort.js';
import { singleEventStream, refusedEvent } from './GateTaskEvents.js';
import { PeerGatePort } from './PeerGatePort.js';

/** Options of a {@link RoutingGatePort}. */
export interface RoutingGatePortOptions {
  fleet: FleetView;
  peers: PeerLink;
  /** The gates of this daemon. */
  local: GatePort;
}

/** Access to all gates, on this daemon or on another one. */
export class RoutingGatePort extends GatePort {
  private readonly fleet: FleetView;

  private readonly peers: PeerLink;

  private readonly local: GatePort;

  /**
   * @param options - the fleet view, the link to other daemons, and the gates of this daemon.
   */
  constructor({ fleet, peers, local }: RoutingGatePortOptions) {
    super();
    this.fleet = fleet;
    this.peers = peers;
    this.local = local;
  }

  override execute(request: ExecuteRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    const port = this.portOf(request.runnerId);
    if (!port) return singleEventStream(refusedEvent({ reason: 'gate_not_here' }));
    return port.execute(request, signal);
  }

  override resume(request: ResumeRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    const port = this.portOf(request.runnerId);
    if (!port) return singleEventStream(refusedEvent({ reason: 'gate_not_here' }));
    return port.resume(request, signal);
  }

  override async cancel(request: CancelRequest): Promise<boolean> {
    return (await this.portOf(request.runnerId)?.cancel(request)) ?? false;
  }

  private portOf(runnerId: string): GatePort | undefined {
    const holder = this.fleet.gateOf(runnerId);
    if (!holder) return undefined;
    if (holder.daemonId === this.fleet.self().daemonId) return this.local;
    const { daemonId, peerAddress } = holder;
    return new PeerGatePort({ peers: this.peers, daemonId, peerAddress });
  }
}
