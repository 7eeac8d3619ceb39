/**
 * The state of this daemon's gates for the operators' interface.
 */
import type { FleetView } from '../fleet/FleetView.js';
import type { GateHost } from '../gates/GateHost.js';
import type { GateStatusReading } from '../operators/GateStatusSource.js';
import { GateStatusSource } from '../operators/GateStatusSource.js';

/** Options of {@link HostedGateStatus}. */
export interface HostedGateStatusOptions {
  host: GateHost;
  fleet: FleetView;
}

/** Reads the gates that this daemon holds. */
export class HostedGateStatus extends GateStatusSource {
  private readonly host: GateHost;

  private readonly fleet: FleetView;

  /**
   * @param options - the host of the gates, and the view of the fleet for runner states and mean loads.
   */
  constructor({ host, fleet }: HostedGateStatusOptions) {
    super();
    this.host = host;
    this.fleet = fleet;
  }

  override gateReadings(): readonly GateStatusReading[] {
    const held = [...this.host.hosted().values()].filter((gate) => gate.held);
    return held.map(({ task }) => {
      const { load, running, queued } = task.snapshot();
      const state = this.fleet.runner(task.runnerId)?.state ?? 'down';
      const meanLoad = this.fleet.poolLoad(task.service).mean;
      return {
        runnerId: task.runnerId,
        service: task.service,
        state,
        load,
        meanLoad,
        running,
        queued,
      };
    });
  }
}
