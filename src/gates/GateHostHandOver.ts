/**
 * Sends the attempts that are still on a runner to the next holder of its gate, and stores handovers that
 * arrive before this daemon's own runner list names it as the holder.
 */
import { create } from '@bufbuild/protobuf';

import type { FleetView } from '../fleet/FleetView.js';
import { HandOverGateRequestSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { HandOverGateRequest } from '../generated/baobabdock/v1/peers_pb.js';
import type { Log } from '../logging/Log.js';
import type { PeerLink } from '../peers/PeerLink.js';
import type { Clock } from '../time/Clock.js';
import { gatesLogEvents } from './gatesFeature.js';
import type { GateTask } from './GateTask.js';

/** Options of a {@link GateHostHandOver}. */
export interface GateHostHandOverOptions {
  fleet: FleetView;
  peers: PeerLink;
  clock: Clock;
  log: Log;
  timeoutMilliseconds: number;
}

interface ReceivedHandOver {
  readonly request: HandOverGateRequest;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** The runner lists of two daemons differ for seconds; an older handover no longer describes the runner. */
const RECEIVED_LIFETIME_MILLISECONDS = 10_000;

/** Upper limit of stored handovers; a daemon normally holds only a handful of gates. */
const MAXIMUM_RECEIVED = 1_000;

/** Sends and receives the handovers of one daemon. */
export class GateHostHandOver {
  private readonly options: GateHostHandOverOptions;

  /** Closed gates whose remaining attempts are sent repeatedly to their next holders. */
  private readonly closing = new Set<GateTask>();

  private readonly received = new Map<string, ReceivedHandOver>();

  /**
   * @param options - the view of the fleet, the connections to other daemons, and the send timeout.
   */
  constructor(options: GateHostHandOverOptions) {
    this.options = options;
  }

  /**
   * Sends the handover of a gate to its next holder, to be sent again while attempts finish here.
   *
   * @param gate - the gate, which was just closed.
   */
  startSending(gate: GateTask): void {
    this.closing.add(gate);
    void this.send(gate);
  }

  /**
   * Sends the remaining attempts of all closed gates again, so that the next holders need not wait for the
   * delayed load reports of the runners.
   */
  resendAll(): void {
    for (const gate of this.closing) void this.send(gate);
  }

  /**
   * Sends the last handover of a gate and stops sending.
   *
   * @param gate - the gate, whose last attempt has ended.
   */
  async sendFinal(gate: GateTask): Promise<void> {
    if (!this.closing.delete(gate)) return;
    await this.send(gate);
  }

  /**
   * Stops sending the handover of a gate that this daemon holds again.
   *
   * @param runnerId - the runner of the gate.
   */
  stopSending(runnerId: string): void {
    for (const gate of this.closing) if (gate.runnerId === runnerId) this.closing.delete(gate);
  }

  /**
   * Stores a handover until the gate is opened here. At the limit, the oldest stored one is dropped.
   *
   * @param request - the handover of a gate that is not open here yet.
   */
  storeReceived(request: HandOverGateRequest): void {
    if (this.received.size >= MAXIMUM_RECEIVED) {
      const [oldest] = this.received.keys();
      if (oldest !== undefined) this.received.delete(oldest);
    }
    this.received.set(request.runnerId, { request, at: this.now() });
  }

  /**
   * Removes and returns the stored handover of a gate.
   *
   * @param runnerId - the runner whose gate is being opened.
   * @returns The handover, unless there is none or it is too old.
   */
  takeReceived(runnerId: string): HandOverGateRequest | undefined {
    const kept = this.received.get(runnerId);
    this.received.delete(runnerId);
    return kept && this.now() - kept.at <= RECEIVED_LIFETIME_MILLISECONDS
      ? kept.request
      : undefined;
  }

  private async send(gate: GateTask): Promise<void> {
    const { fleet, peers, log, timeoutMilliseconds } = this.options;
    const { runnerId } = gate;
    const self = fleet.self().daemonId;
    const next = fleet.gateOf(runnerId);
    // When the last daemon leaves, there is no next holder.
    if (!next || next.daemonId === self) return;
    const attempts = gate.heldWork();
    const request = create(HandOverGateRequestSchema, {
      runnerId,
      from: self,
      attempts,
      lastCacheEvent: BigInt(gate.watch.cache.lastNumber),
    });
    try {
      const client = peers.clientFor(next.daemonId, next.peerAddress);
      await client.handOverGate(request, { timeoutMs: timeoutMilliseconds });
      const count = attempts.length;
      log.write(gatesLogEvents.handedOver, {
        runner: runnerId,
        to: next.daemonId,
        attempts: count,
      });
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      log.write(gatesLogEvents.handOverFailed, { runner: runnerId, to: next.daemonId, message });
    }
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}
