/**
 * Finds the runners behind the gates of this daemon that have a chat in their prefix cache, and tells whether
 * a request would start there at once.
 */
import type { FleetView } from '../fleet/FleetView.js';
import type { LocalWarmRunner } from '../homes/LocalWarmRunners.js';
import { LocalWarmRunners } from '../homes/LocalWarmRunners.js';
import type { GateHost, HostedGate } from './GateHost.js';
import { totalLoadOf } from './GateHostDigests.js';

/** Options of a {@link GateHostWarmth}. */
export interface GateHostWarmthOptions {
  host: Pick<GateHost, 'hosted'>;
  fleet: Pick<FleetView, 'poolLoad' | 'routingPolicy'>;
}

/**
 * Fewer running requests than this always leave room: they fit into the continuous batch without a queue,
 * however low the mean load of an idle pool is.
 */
const SMALL_BATCH_REQUESTS = 4;

/**
 * Share of the distance from the pool's mean load to its bound, up to which a runner counts as having room.
 * Above it the gate may refuse the request, so it is worth asking the chat's home for other runners that
 * have the chat cached.
 */
const BOUND_SHARE_WITH_ROOM = 0.5;

/** Looks up cached chats in the gates of this daemon; has no state of its own. */
export class GateHostWarmth extends LocalWarmRunners {
  private readonly host: Pick<GateHost, 'hosted'>;

  private readonly fleet: Pick<FleetView, 'poolLoad' | 'routingPolicy'>;

  /**
   * @param options - the gates, and the pool loads and routing policies that their loads are compared with.
   */
  constructor({ host, fleet }: GateHostWarmthOptions) {
    super();
    this.host = host;
    this.fleet = fleet;
  }

  override runnersFor(service: string, chat: string): readonly LocalWarmRunner[] {
    const places: LocalWarmRunner[] = [];
    for (const [runnerId, gate] of this.host.hosted()) {
      const { task, held } = gate;
      const mayHold = held && task.service === service && task.watch.isUsable;
      const cachedTokens = mayHold ? task.watch.cache.tokensOf(chat) : 0;
      if (cachedTokens > 0) places.push({ runnerId, cachedTokens, hasRoom: this.hasRoom(gate) });
    }
    return places;
  }

  private hasRoom({ task }: HostedGate): boolean {
    const { state, running, queued } = task.snapshot();
    if (state !== 'open' || queued > 0) return false;
    if (running < SMALL_BATCH_REQUESTS) return true;
    const { bound } = this.fleet.routingPolicy(task.service);
    const { mean } = this.fleet.poolLoad(task.service);
    return totalLoadOf(task) <= mean * (1 + (bound - 1) * BOUND_SHARE_WITH_ROOM);
  }
}
