/**
 * A view of the fleet whose content is set by a test.
 */
import { create } from '@bufbuild/protobuf';

import type { FleetRunner, PoolLoad } from '../fleet/FleetView.js';
import { FleetView } from '../fleet/FleetView.js';
import type {
  ClientAccount,
  Configuration,
  RoutingPolicy,
  Service,
} from '../generated/baobabdock/v1/configuration_pb.js';
import {
  ConfigurationSchema,
  RoutingPolicySchema,
} from '../generated/baobabdock/v1/configuration_pb.js';
import type { DataCentreSummary, Member } from '../generated/baobabdock/v1/peers_pb.js';
import { rendezvousPick } from '../routing/rendezvous.js';

/** Returns the values of its public fields, which a test may change between calls. */
export class FixedFleetView extends FleetView {
  /** All daemons; the first one is this daemon. */
  daemons: Member[] = [];

  fleetRunners: FleetRunner[] = [];

  revision = 0;

  /** Returns the configuration in force. Called at each read, so that changes made by the test are seen. */
  inForce: () => Configuration = () => create(ConfigurationSchema);

  loads = new Map<string, PoolLoad>();

  summaries: DataCentreSummary[] = [];

  override self(): Member {
    const [self] = this.daemons;
    if (!self) throw new Error('The test set no daemon.');
    return self;
  }

  override members(): readonly Member[] {
    return this.daemons;
  }

  override configurationRevision(): number {
    return this.revision;
  }

  override configuration(): Configuration {
    return this.inForce();
  }

  override clientAccount(name: string): ClientAccount | undefined {
    return this.inForce().clientAccounts.find((account) => account.name === name);
  }

  override service(name: string): Service | undefined {
    return this.inForce().services.find((service) => service.name === name);
  }

  override routingPolicy(): RoutingPolicy {
    return create(RoutingPolicySchema, { name: 'standard', bound: 1.25 });
  }

  override runners(service: string): readonly FleetRunner[] {
    return this.fleetRunners.filter(({ record }) => record.service === service);
  }

  override runner(runnerId: string): FleetRunner | undefined {
    return this.fleetRunners.find(({ id }) => id === runnerId);
  }

  override gateOf(runnerId: string): Member | undefined {
    return rendezvousPick(
      runnerId,
      this.daemons.map((member) => ({ id: member.daemonId, member })),
    )?.member;
  }

  override homeOf(chat: string): Member | undefined {
    return this.gateOf(chat);
  }

  override poolLoad(service: string): PoolLoad {
    return this.loads.get(service) ?? { runners: 0, mean: 0, lightest: [] };
  }

  override dataCentreSummaries(): readonly DataCentreSummary[] {
    return this.summaries;
  }
}
