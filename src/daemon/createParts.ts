/**
 * Creates the parts of one daemon and connects them. Nothing is started and no port is opened.
 */
import { randomInt, randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';

import { CallerServer } from '../callers/CallerServer.js';
import { ConfigurationEditor } from '../configuration/ConfigurationEditor.js';
import { ConfigurationTask } from '../configuration/ConfigurationTask.js';
import { seededRandom } from '../random/seededRandom.js';
import { FleetState } from '../fleet/FleetState.js';
import { GateHost } from '../gates/GateHost.js';
import { GateHostWarmth } from '../gates/GateHostWarmth.js';
import { LocalGatePort } from '../gates/LocalGatePort.js';
import { RoutingGatePort } from '../gates/RoutingGatePort.js';
import { ChatHomeDecisions } from '../homes/ChatHomeDecisions.js';
import { HomeTask } from '../homes/HomeTask.js';
import { HomeTaskDirectory } from '../homes/HomeTaskDirectory.js';
import type { Log } from '../logging/Log.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { OperatorServer } from '../operators/OperatorServer.js';
import type { OrderSupervisor } from '../orders/OrderSupervisor.js';
import { ConnectPeerLink } from '../peers/ConnectPeerLink.js';
import { PeerCredentials } from '../peers/PeerCredentials.js';
import { PeerServer } from '../peers/PeerServer.js';
import { SignedTokens } from '../peers/SignedTokens.js';
import { EtcdPlatformStore } from '../store/EtcdPlatformStore.js';
import { PlatformCallMeter } from '../store/PlatformCallMeter.js';
import { PlatformHealth } from '../store/PlatformHealth.js';
import type { PlatformStore } from '../store/PlatformStore.js';
import { PlacementChooser } from '../requests/PlacementChooser.js';
import { PlacementDecisions } from '../routing/PlacementDecisions.js';
import { RequestOwner } from '../requests/RequestOwner.js';
import type { Settings } from '../settings/settingsSchema.js';
import type { Clock } from '../time/Clock.js';
import { createOrderSupervisor } from './createOrderSupervisor.js';
import { DaemonMetrics } from './DaemonMetrics.js';
import { HostedGateStatus } from './HostedGateStatus.js';
import { selfMember } from './selfMember.js';

/** Settings, log and clock, from which the parts are created. */
export interface DaemonContext {
  readonly settings: Settings;
  readonly log: Log;
  readonly clock: Clock;
}

/** The parts of one daemon, except membership: it needs the addresses, which are known only once the ports are open. */
export interface DaemonParts {
  readonly fleet: FleetState;
  readonly link: ConnectPeerLink;
  readonly peers: PeerServer;
  readonly platformCalls: PlatformCallMeter;
  readonly store: PlatformStore;
  readonly configuration: ConfigurationTask;
  readonly homes: HomeTask;
  readonly gates: GateHost;
  readonly requests: RequestOwner;
  readonly metrics: DaemonMetrics;
  readonly callers: CallerServer;
  readonly operators: OperatorServer;
  readonly orders: OrderSupervisor;
}

/** Upper limit, exclusive, of the random seeds. */
export const SEED_LIMIT = 2 ** 31;

function createPeers({ settings, log, clock }: DaemonContext) {
  const tokens = new SignedTokens({ secrets: settings.peers.fleetSecrets });
  const credentials = new PeerCredentials({
    daemonId: settings.daemon.id,
    tokens,
    clock,
    maximumClockDifferenceMilliseconds: settings.peers.maximumClockDifferenceMilliseconds,
  });
  const options = { credentials, settings: settings.peers, log };
  return { tokens, link: new ConnectPeerLink(options), peers: new PeerServer(options) };
}

function createStore({ settings, log, clock }: DaemonContext) {
  const platformCalls = new PlatformCallMeter({ clock });
  const health = new PlatformHealth({ log });
  const store = new EtcdPlatformStore({ ...settings.platform, meter: platformCalls, health });
  return { platformCalls, store };
}

function createConfiguration(
  { settings, log, clock }: DaemonContext,
  { fleet, link, store }: Pick<DaemonParts, 'fleet' | 'link' | 'store'>,
): ConfigurationTask {
  const { id: daemonId, dataCentre, region } = settings.daemon;
  return new ConfigurationTask({
    self: { daemonId, dataCentre, region },
    store,
    link,
    clock,
    log,
    settings: settings.configuration,
    random: seededRandom(randomInt(SEED_LIMIT)),
    listener: {
      onConfiguration: (configuration, revision) =>
        fleet.applyConfiguration(configuration, revision),
      onRunners: (runners, revision) => fleet.applyRunners(runners, revision),
    },
  });
}

function createConfigurationEditor(
  { log, clock }: DaemonContext,
  configuration: ConfigurationTask,
): ConfigurationEditor {
  return new ConfigurationEditor({
    repository: configuration.repository,
    document: configuration.documents.configuration,
    onCommitted: (answer) => configuration.send({ kind: 'committed', answer }),
    clock,
    log,
    newId: randomUUID,
    retry: { random: Math.random, wait: (milliseconds) => wait(milliseconds) },
  });
}

function createHomes(
  { settings, log, clock }: DaemonContext,
  { fleet, link }: Pick<DaemonParts, 'fleet' | 'link'>,
): HomeTask {
  const decisions = new ChatHomeDecisions({
    maximumChats: settings.homes.maximumChats,
    maximumRunners: settings.homes.maximumRunnersPerChat,
    forgetAfterMilliseconds: settings.homes.forgetAfterMilliseconds,
  });
  const directory = new HomeTaskDirectory({ decisions, clock });
  return new HomeTask({ directory, fleet, link, clock, settings: settings.homes, log });
}

/**
 * Creates all parts.
 *
 * @param context - the checked settings, log and clock.
 * @returns The parts, not yet started.
 */
export function createParts(context: DaemonContext): DaemonParts {
  const { settings, log, clock } = context;
  const { host, callerPort, operatorPort } = settings.daemon;
  const fleet = new FleetState({ self: selfMember(settings.daemon, clock) });
  const { tokens, link, peers } = createPeers(context);
  const { platformCalls, store } = createStore(context);
  const configuration = createConfiguration(context, { fleet, link, store });
  const homes = createHomes(context, { fleet, link });
  const registry = new MetricRegistry({ clock });
  const gates = new GateHost({
    fleet,
    homes,
    peers: link,
    clock,
    log,
    settings: settings.gates,
    upstreamsSettings: settings.upstreams,
    metrics: registry,
  });
  homes.setLocalWarmRunners(new GateHostWarmth({ host: gates, fleet }));
  const local = new LocalGatePort({ host: gates });
  const requests = new RequestOwner({
    gates: new RoutingGatePort({ fleet, peers: link, local }),
    homes,
    fleet,
    chooser: new PlacementChooser({
      fleet,
      placement: new PlacementDecisions(settings.routing),
    }),
    peers: link,
    tokens,
    clock,
    log,
    settings: settings.requests,
  });
  const metrics = new DaemonMetrics({ registry });
  const callers = new CallerServer({
    fleet,
    requests,
    bindings: requests.bindings,
    homes,
    host,
    port: callerPort,
    log,
    clock,
    metrics,
    registry,
    settings: settings.callers,
  });
  const changes = createConfigurationEditor(context, configuration);
  const operators = new OperatorServer({
    host,
    port: operatorPort,
    settings: settings.operators,
    fleet,
    gates: new HostedGateStatus({ host: gates, fleet }),
    metricsPage: () => metrics.renderPage().text,
    changes,
    clock,
    log,
  });
  const orders = createOrderSupervisor({ settings, fleet, store, changes, clock, log });
  return {
    fleet,
    link,
    peers,
    platformCalls,
    store,
    configuration,
    homes,
    gates,
    requests,
    metrics,
    callers,
    operators,
    orders,
  };
}
