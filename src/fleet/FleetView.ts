/**
 * Read access to one daemon's view of the fleet. The views of two daemons may differ for seconds.
 */
import type {
  Configuration,
  ClientAccount,
  RoutingPolicy,
  RunnerRecord,
  Service,
} from '../generated/baobabdock/v1/configuration_pb.js';
import type { DataCentreSummary, Member } from '../generated/baobabdock/v1/peers_pb.js';
import type { RunnerState } from '../gates/gateTypes.js';

/** A runner with its record in the runner list and its current state. */
export interface FleetRunner {
  /** The runner's name, under which rendezvous hashing picks it. */
  readonly id: string;
  readonly record: RunnerRecord;
  readonly state: RunnerState;
}

/** Load of the runners of one service over all gates, as received by gossip. */
export interface PoolLoad {
  readonly runners: number;
  /** Mean load of a runner, in tokens of work. */
  readonly mean: number;
  /** The least loaded runner of each daemon or data centre that reported one, in ascending order of load. */
  readonly lightest: readonly { readonly runnerId: string; readonly load: number }[];
}

/** The fleet as all parts read it; it changes only by membership, the configuration and the runner list. */
export abstract class FleetView {
  /** @returns This daemon's own record. */
  abstract self(): Member;

  /** @returns All known daemons in any state, including this one. */
  abstract members(): readonly Member[];

  /** @returns The revision of the configuration in force; 0 before the first one. */
  abstract configurationRevision(): number;

  /** @returns The configuration in force. */
  abstract configuration(): Configuration;

  /**
   * @param name - the account's name.
   * @returns The account, or `undefined`.
   */
  abstract clientAccount(name: string): ClientAccount | undefined;

  /**
   * @param name - the service's name.
   * @returns The service, or `undefined`.
   */
  abstract service(name: string): Service | undefined;

  /**
   * @param service - the service's name.
   * @returns The service's routing policy, or the default policy.
   */
  abstract routingPolicy(service: string): RoutingPolicy;

  /**
   * @param service - the service's name.
   * @returns The service's runners in any state.
   */
  abstract runners(service: string): readonly FleetRunner[];

  /**
   * @param runnerId - the runner's name.
   * @returns The runner, or `undefined`.
   */
  abstract runner(runnerId: string): FleetRunner | undefined;

  /**
   * Returns the daemon that holds a runner's gate, picked by rendezvous hashing over the alive and suspect daemons of the
   * runner's data centre; if there are none, of its region, else of the whole fleet.
   *
   * @param runnerId - the runner's name.
   * @returns The daemon, or `undefined` when no daemon is alive.
   */
  abstract gateOf(runnerId: string): Member | undefined;

  /**
   * @param chat - the chat's name.
   * @returns The daemon that is the chat's home, or `undefined`.
   */
  abstract homeOf(chat: string): Member | undefined;

  /**
   * @param service - the service's name.
   * @returns The load of the service's pool, by the latest reports.
   */
  abstract poolLoad(service: string): PoolLoad;

  /**
   * Returns the summaries of the other data centres. Daemons gossip their own revisions and loads only within their data
   * centre; other data centres get a summary.
   *
   * @returns The latest summaries; empty if every daemon's own record is known.
   */
  dataCentreSummaries(): readonly DataCentreSummary[] {
    return [];
  }
}
