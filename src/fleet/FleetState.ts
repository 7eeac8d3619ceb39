/**
 * This daemon's view of the fleet, combined from membership, the configuration and the runner list.
 */
import { create } from '@bufbuild/protobuf';

import type {
  ClientAccount,
  Configuration,
  RoutingPolicy,
  RunnerList,
  Service,
} from '../generated/baobabdock/v1/configuration_pb.js';
import {
  ConfigurationSchema,
  RoutingPolicySchema,
} from '../generated/baobabdock/v1/configuration_pb.js';
import type { DataCentreSummary, Member } from '../generated/baobabdock/v1/peers_pb.js';
import type { RunnerState } from '../gates/gateTypes.js';
import type { FleetRunner, PoolLoad } from './FleetView.js';
import { FleetView } from './FleetView.js';
import { PlacementCandidates } from './PlacementCandidates.js';
import { poolLoadOf, poolLoadsOf } from './PoolLoads.js';
import { RunnerIndex } from './RunnerIndex.js';

/** What has changed; `gates` means that the gate of a runner or the home of a chat may have moved to another daemon. */
export type FleetChange = 'members' | 'gates' | 'pools' | 'configuration' | 'runners';

/** Called after each change; `member` is the daemon whose record changed, if the change concerns a single daemon. */
export type FleetListener = (change: FleetChange, member?: Member) => void;

/** Options of a {@link FleetState}. */
export interface FleetStateOptions {
  /** This daemon's own record. */
  self: Member;
}

/** Policy of services that name none. `npm run measure -- --reuse-weight 0.5` measures its effect. */
export const DEFAULT_ROUTING_POLICY: RoutingPolicy = create(RoutingPolicySchema, {
  name: 'default',
  bound: 1.25,
  warmChoices: 8,
  coldChoices: 4,
  reuseWeight: 0.5,
  overflow: 'region',
  moveCache: false,
});

/** Fields of a member record that decide which gates and homes the daemon may hold. */
const PLACEMENT_FIELDS = ['state', 'region', 'dataCentre'] as const;

/** The writable fleet view: the membership and configuration tasks write it, all other parts read it. */
export class FleetState extends FleetView {
  private readonly selfId: string;

  private readonly memberById = new Map<string, Member>();

  private readonly summaries = new Map<string, DataCentreSummary>();

  private readonly runnerIndex = new RunnerIndex();

  private readonly listeners = new Set<FleetListener>();

  private currentConfiguration: Configuration = create(ConfigurationSchema, {});

  private currentConfigurationRevision = 0;

  private currentRunnersRevision = 0;

  private accounts = new Map<string, ClientAccount>();

  private services = new Map<string, Service>();

  private policies = new Map<string, RoutingPolicy>();

  /** Built on first use, and discarded when a daemon comes, goes or moves. */
  private placement: PlacementCandidates | undefined;

  private readonly gateCache = new Map<string, string | undefined>();

  private poolLoads: ReadonlyMap<string, PoolLoad> | undefined;

  /**
   * @param options - this daemon's own record.
   */
  constructor({ self }: FleetStateOptions) {
    super();
    this.selfId = self.daemonId;
    this.memberById.set(self.daemonId, self);
  }

  override self(): Member {
    return this.memberById.get(this.selfId)!;
  }

  override members(): readonly Member[] {
    return [...this.memberById.values()];
  }

  /**
   * @param daemonId - the name of a daemon.
   * @returns The daemon's record, or `undefined`.
   */
  member(daemonId: string): Member | undefined {
    return this.memberById.get(daemonId);
  }

  override configurationRevision(): number {
    return this.currentConfigurationRevision;
  }

  override configuration(): Configuration {
    return this.currentConfiguration;
  }

  /** @returns The revision of the runner list in force; 0 before the first one. */
  runnersRevision(): number {
    return this.currentRunnersRevision;
  }

  override clientAccount(name: string): ClientAccount | undefined {
    return this.accounts.get(name);
  }

  override service(name: string): Service | undefined {
    return this.services.get(name);
  }

  override routingPolicy(service: string): RoutingPolicy {
    const name = this.services.get(service)?.routingPolicy ?? '';
    return this.policies.get(name) ?? DEFAULT_ROUTING_POLICY;
  }

  override runners(service: string): readonly FleetRunner[] {
    return this.runnerIndex.ofService(service);
  }

  /** @returns All runners of all services. */
  allRunners(): readonly FleetRunner[] {
    return this.runnerIndex.all();
  }

  override runner(runnerId: string): FleetRunner | undefined {
    return this.runnerIndex.get(runnerId);
  }

  override gateOf(runnerId: string): Member | undefined {
    if (!this.gateCache.has(runnerId)) this.gateCache.set(runnerId, this.pickGate(runnerId));
    return this.memberById.get(this.gateCache.get(runnerId) ?? '');
  }

  /**
   * Returns the daemon that is the home of a chat. The home is in this daemon's own region, because the answer of a home in
   * another region would arrive after the entry daemon has stopped waiting for it. A chat that moves to another region
   * therefore starts there without its set of warm runners.
   *
   * @param chat - the chat's name.
   * @returns The daemon, or `undefined` when no daemon is alive.
   */
  override homeOf(chat: string): Member | undefined {
    return this.memberById.get(this.placementCandidates().pick(chat, this.self().region) ?? '');
  }

  override poolLoad(service: string): PoolLoad {
    this.poolLoads ??= poolLoadsOf(this.memberById.values(), this.summaries);
    return poolLoadOf(this.poolLoads, service);
  }

  override dataCentreSummaries(): readonly DataCentreSummary[] {
    return [...this.summaries.values()];
  }

  /**
   * Applies a daemon's record from membership.
   *
   * @param member - the current record.
   */
  applyMember(member: Member): void {
    const before = this.memberById.get(member.daemonId);
    this.memberById.set(member.daemonId, member);
    this.poolLoads = undefined;
    const moved = !before || PLACEMENT_FIELDS.some((field) => before[field] !== member[field]);
    if (moved) this.placementChanged(member);
    else this.notify('pools', member);
  }

  /**
   * Removes a daemon.
   *
   * @param daemonId - name of the daemon; this daemon itself is never removed.
   */
  removeMember(daemonId: string): void {
    if (daemonId === this.selfId || !this.memberById.delete(daemonId)) return;
    this.placementChanged();
  }

  /**
   * Applies the summary of another data centre; that of this daemon's own one is ignored.
   *
   * @param summary - the data centre's summary.
   */
  applySummary(summary: DataCentreSummary): void {
    if (summary.dataCentre === this.self().dataCentre) return;
    this.summaries.set(summary.dataCentre, summary);
    this.poolLoads = undefined;
    this.notify('pools');
  }

  /**
   * Removes the summary of a data centre that has sent none for long.
   *
   * @param dataCentre - the data centre's name.
   */
  removeSummary(dataCentre: string): void {
    if (!this.summaries.delete(dataCentre)) return;
    this.poolLoads = undefined;
    this.notify('pools');
  }

  /**
   * Puts a configuration in force. The caller already ensures that revisions never decrease; an older one is ignored here as
   * well, because operators must never see a revision reverted.
   *
   * @param configuration - the complete configuration.
   * @param revision - the configuration's revision.
   */
  applyConfiguration(configuration: Configuration, revision: number): void {
    if (revision < this.currentConfigurationRevision) return;
    this.currentConfiguration = configuration;
    this.currentConfigurationRevision = revision;
    this.accounts = new Map(configuration.clientAccounts.map((each) => [each.name, each]));
    this.services = new Map(configuration.services.map((each) => [each.name, each]));
    this.policies = new Map(configuration.routingPolicies.map((each) => [each.name, each]));
    const drainsChanged = this.runnerIndex.drain(configuration.drains);
    this.notify('configuration');
    if (drainsChanged) this.notify('runners');
  }

  /**
   * Puts a runner list in force; an older one is ignored.
   *
   * @param list - the complete list of runners.
   * @param revision - the list's revision.
   */
  applyRunners(list: RunnerList, revision: number): void {
    if (revision < this.currentRunnersRevision) return;
    this.currentRunnersRevision = revision;
    this.runnerIndex.replaceList(list.runners);
    this.gateCache.clear();
    this.notify('runners');
  }

  /**
   * Applies a runner state that this daemon observed itself, as the holder of the runner's gate or from a refusal.
   *
   * @param runnerId - the runner's name.
   * @param incarnation - the incarnation that the report is about.
   * @param state - the observed state; `leaving` is final for the incarnation.
   */
  reportRunner(runnerId: string, incarnation: bigint, state: RunnerState): void {
    if (this.runnerIndex.applyReport(runnerId, incarnation, state)) this.notify('runners');
  }

  /**
   * @param listener - called after each change; must not throw.
   * @returns A function that removes the listener.
   */
  onChange(listener: FleetListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private placementChanged(member?: Member): void {
    this.placement = undefined;
    this.gateCache.clear();
    this.poolLoads = undefined;
    this.notify('members', member);
    this.notify('gates', member);
  }

  private pickGate(runnerId: string): string | undefined {
    const runner = this.runnerIndex.get(runnerId);
    if (!runner) return undefined;
    const { region, dataCentre } = runner.record;
    return this.placementCandidates().pick(runnerId, region, dataCentre);
  }

  private placementCandidates(): PlacementCandidates {
    this.placement ??= new PlacementCandidates(this.memberById.values());
    return this.placement;
  }

  private notify(change: FleetChange, member?: Member): void {
    for (const listener of this.listeners) listener(change, member);
  }
}
