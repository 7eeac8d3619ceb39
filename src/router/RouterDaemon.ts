/**
 * A daemon that forwards requests directly to runners: creates its parts, starts them and runs the planned stop.
 */
import type { Server } from 'node:http';
import type { Server as PortServer } from 'node:net';

import type { CapacityParts } from '../capacity/CapacityParts.js';
import { ClientConnections } from '../clients/ClientConnections.js';
import { FleetCoordination } from '../coordination/FleetCoordination.js';
import { GrantLedger } from '../coordination/GrantLedger.js';
import { ForwardingServer } from '../forwarding/ForwardingServer.js';
import type { StopPhase } from '../forwarding/forwardingTypes.js';
import { RunnerConnections } from '../forwarding/RunnerConnections.js';
import type { RunnerProtocol } from '../forwarding/RunnerProtocol.js';
import { HAND_OVER_PATH } from '../handover/handOverHeaders.js';
import { HandOverParts } from '../handover/HandOverParts.js';
import { parseListenAddress } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { serveMetrics } from '../metrics/serveMetrics.js';
import type { StreamVersionTask } from '../streamVersions/StreamVersionTask.js';
import { PeerLoads } from '../news/PeerLoads.js';
import { LIVENESS_PATH } from '../liveness/LivenessPeers.js';
import type { NewsTask } from '../news/NewsTask.js';
import { QUARANTINE_PATH } from '../quarantine/QuarantineEndpoint.js';
import { QuarantineTask } from '../quarantine/QuarantineTask.js';
import { WarmPlaces } from '../runners/WarmPlaces.js';
import { DaemonRegistration } from '../sync/DaemonRegistration.js';
import { FleetKnowledge } from '../sync/FleetKnowledge.js';
import { FleetSecretProposer } from '../sync/FleetSecretProposer.js';
import type { DaemonEntry, FleetStore } from '../sync/FleetStore.js';
import { LISTING_PATH, ListingExchange } from '../sync/ListingExchange.js';
import type { StoreFollower } from '../sync/StoreFollower.js';
import { WarmPlacesWriter } from '../sync/WarmPlacesWriter.js';
import type { Clock } from '../time/Clock.js';
import { SystemClock } from '../time/SystemClock.js';
import { CallerDirectory } from './CallerDirectory.js';
import type { CallerLocation } from './CallerDirectory.js';
import { createCapacity } from './createCapacity.js';
import { createNews } from './createNews.js';
import { createPeerParts } from './createPeerParts.js';
import type { PeerParts } from './createPeerParts.js';
import { createRestartDoubts } from './createRestartDoubts.js';
import { createRunnerChoice } from './createRunnerChoice.js';
import { createStoreFollower } from './createStoreFollower.js';
import { createForwardingContext } from './createForwardingContext.js';
import { createStreamVersions } from './createStreamVersions.js';
import { KnowledgeChangeHandler } from './KnowledgeChangeHandler.js';
import { runPlannedStop } from './runPlannedStop.js';
import { daemonEntryOf, routerLogEvents } from './routerFeature.js';
import type { RouterSettings } from './routerFeature.js';

/**
 * Part of the shortest bound for a change to be in force that is spent gathering changes into one read, because each call
 * loads the store. Two such waits, a lost message and a slow read still fit into the bound.
 */
const GATHER_SHARE = 0.4;

/** Options of a {@link RouterDaemon}. */
export interface RouterDaemonOptions {
  settings: RouterSettings;
  store: FleetStore;
  protocol: RunnerProtocol;
  log: Log;
  clock?: Clock;
  /** Already listens at the callers' address of the settings; the daemon takes over its port. */
  callerListener?: PortServer | undefined;
}

/** Creates and owns all tasks of the process. */
export class RouterDaemon {
  readonly knowledge: FleetKnowledge;

  /** Keeps the clients of all ports within the limits of the process. */
  readonly clients: ClientConnections;

  private readonly settings: RouterSettings;

  private readonly callerListener: PortServer | undefined;

  private readonly store: FleetStore;

  private readonly log: Log;

  private readonly clock: Clock;

  private readonly entry: DaemonEntry;

  private readonly registry: MetricRegistry;

  private readonly connections = new RunnerConnections({
    onLost: (runner) => this.coordination.restartNotices.recordLost(runner, 'connection_closed'),
  });

  private readonly warmPlaces = new WarmPlaces();

  private readonly foreignLoads = new PeerLoads();

  private readonly grants = new GrantLedger();

  private readonly capacity: CapacityParts;

  private readonly news: NewsTask;

  private readonly coordination: FleetCoordination;

  private readonly directory: CallerDirectory;

  private readonly quarantineTask: QuarantineTask;

  private readonly warmPlacesKeeper: WarmPlacesWriter;

  private readonly handOver: HandOverParts;

  private readonly streamVersions: StreamVersionTask;

  private readonly front: ForwardingServer;

  private readonly follower: StoreFollower;

  private readonly registration: DaemonRegistration;

  private readonly peerParts: PeerParts;

  private readonly listings: ListingExchange;

  private metricsServer: Server | undefined;

  private phase: StopPhase = 'serving';

  private hasBeenReady = false;

  private readonly secret: FleetSecretProposer;

  /**
   * @param options - the settings, and the adapters to the store, the runners, the log and the clock.
   */
  constructor(options: RouterDaemonOptions) {
    const { settings, store, protocol, log, clock = new SystemClock(), callerListener } = options;
    this.callerListener = callerListener;
    this.settings = settings;
    this.store = store;
    this.log = log;
    this.clock = clock;
    this.registry = new MetricRegistry({ clock });
    const { registry } = this;
    const limited = { settings: settings.clients, clock, log, registry };
    this.clients = new ClientConnections(limited);
    this.secret = new FleetSecretProposer({ store, clock, log });
    this.knowledge = new FleetKnowledge({ listener: this.createChangeHandler() });
    const { name } = settings;
    const gatherMilliseconds = GATHER_SHARE * Math.min(...settings.changeBoundsMilliseconds);
    this.entry = daemonEntryOf(settings);
    const { foreignLoads, grants, knowledge, entry, warmPlaces } = this;
    this.capacity = createCapacity({
      ...{ settings, clock, log, foreignLoads, grants, registry, knowledge },
      hasCoordinators: () => this.coordination.coordinators.length > 0,
    });
    this.news = createNews({
      ...{ daemon: entry, clock, log, foreignLoads, registry, knowledge, warmPlaces },
      capacity: this.capacity,
      coordination: () => this.coordination,
      isLeaving: () => this.phase !== 'serving',
      hasNoPath: () => this.handOver.path.isLost,
      onNews: (news) => this.peerParts.handleAnnouncement(news),
    });
    this.coordination = this.createCoordination(gatherMilliseconds, protocol);
    const { coordination } = this;
    this.directory = new CallerDirectory({ settings, knowledge, coordination, clock });
    this.quarantineTask = new QuarantineTask({
      ...{ daemon: entry, store, clock, log, registry, runners: knowledge.runners },
      socket: this.news.socket,
      reportRecipients: () => coordination.reportRecipients(),
      broadcastRecipients: () => coordination.broadcastRecipients(),
      canReadMessages: () => knowledge.secret !== undefined,
      peers: () => this.peerParts.peers.addresses(),
      isWriter: () => coordination.isFirst,
      otherDaemons: () => coordination.otherAvailableDaemons(),
    });
    const isAllowedHost = (host: string) => this.peerParts.peers.isAllowedHost(host);
    this.handOver = new HandOverParts({
      ...{ daemon: entry, clock, log, registry },
      runners: () => knowledge.runners.list(),
      daemons: () => coordination.otherAvailableDaemons(),
      reports: coordination.pathReports,
      secret: () => knowledge.secret,
    });
    this.streamVersions = createStreamVersions({
      ...{ daemon: entry, socket: this.news.socket, store, clock, log, registry, knowledge },
      ...{ coordination, protocol },
      follower: () => this.follower,
    });
    const { connections, capacity, streamVersions } = this;
    const context = createForwardingContext({
      ...{ settings, protocol, clock, log, knowledge, registry, coordination, connections },
      ...{ capacity, streamVersions },
      quarantine: this.quarantineTask.quarantine,
      path: this.handOver.path,
      handOver: this.handOver.task,
      stopPhase: () => this.phase,
      follower: () => this.follower,
    });
    this.front = new ForwardingServer(context, this.clients);
    const listings = new ListingExchange({ knowledge, clock, isAllowedHost });
    this.listings = listings;
    this.follower = createStoreFollower({
      ...{ daemon: name, store, knowledge, clock, log, gatherMilliseconds, coordination },
      ...{ listings, registry },
    });
    const isListed = () => knowledge.daemons.has(name);
    this.registration = new DaemonRegistration({ store, log, clock, daemon: entry, isListed });
    this.peerParts = createPeerParts({
      ...{ settings, knowledge, clock, log, coordination, follower: this.follower },
      handlers: new Map([
        [LIVENESS_PATH, (...exchange) => coordination.livenessPeers.answer(...exchange)],
        [QUARANTINE_PATH, this.quarantineTask.peerHandler],
        [LISTING_PATH, this.listings.handler],
        [HAND_OVER_PATH, this.handOver.handlerFor(context, isAllowedHost, this.clients.budget)],
      ]),
    });
    this.warmPlacesKeeper = new WarmPlacesWriter({
      ...{ store, warmPlaces, log, name },
      daemons: () => coordination.namesOfChoosingDaemons(),
    });
  }

  /** @returns Whether callers may be sent to this daemon: it is not stopping, and has a configuration and runners. */
  get isReady(): boolean {
    const { routes, runners } = this.knowledge;
    return this.phase === 'serving' && routes !== undefined && runners.size > 0;
  }

  /** @returns Whether this daemon currently gets the store's changes from other daemons instead of reading them itself. */
  get isRelayed(): boolean {
    return this.coordination.relay.isFresh;
  }

  /**
   * @param location - the caller's data centre, region, address and host, as far as they are known.
   * @returns Caller addresses of daemons, those near the caller first.
   */
  addressesFor(location: CallerLocation): string[] {
    const own = this.isReady ? this.entry : undefined;
    return this.directory.addressesFor(location, own);
  }

  /** Opens all ports and starts to follow the store; the daemon registers itself once it is ready. */
  async start(): Promise<void> {
    const { addresses } = this.settings;
    const [, , , metricsServer] = await Promise.all([
      this.front.listen(parseListenAddress(addresses.callers), this.callerListener),
      this.peerParts.peers.listen(parseListenAddress(addresses.peers)),
      this.news.listen(parseListenAddress(addresses.news)),
      serveMetrics(
        this.registry,
        parseListenAddress(addresses.metrics),
        new Map([[QUARANTINE_PATH, this.quarantineTask.operatorHandler]]),
      ),
    ]);
    this.metricsServer = metricsServer;
    void this.follower.run();
    this.peerParts.catchUp.start();
    this.coordination.liveness.start();
    this.handOver.start();
    this.streamVersions.start();
    this.warmPlacesKeeper.start();
    this.quarantineTask.start();
    this.log.write(routerLogEvents.started, {
      ...addresses,
      store: this.settings.store,
      // Since the start of the process: this is how long callers wait for an instance that comes back after a power loss.
      milliseconds: Math.round(this.clock.monotonicMilliseconds()),
    });
  }

  /**
   * Runs the planned stop.
   *
   * @returns Number of requests that were still in progress when the time for the stop ran out, and so were cut.
   */
  async stop(): Promise<number> {
    const startedAt = this.clock.monotonicMilliseconds();
    this.log.write(routerLogEvents.stopping, { inFlight: this.front.inFlight });
    const setPhase = (phase: StopPhase) => {
      this.phase = phase;
      if (phase === 'closing') this.coordination.refuseWaiting();
    };
    const withdrawn = this.registration.stop();
    const { front, handOver: handedOver, clock, settings } = this;
    await runPlannedStop({ front, handedOver, clock, settings, setPhase });
    await withdrawn;
    this.follower.stop();
    this.coordination.liveness.stop();
    this.coordination.leaveNotices.stop();
    this.handOver.stop();
    this.streamVersions.stop();
    this.coordination.restartNotices.stop();
    this.peerParts.catchUp.stop();
    this.peerParts.peers.close();
    this.news.close();
    this.warmPlacesKeeper.stop();
    this.quarantineTask.stop();
    this.metricsServer?.close();
    this.clients.stop();
    const cut = this.front.inFlight;
    const milliseconds = Math.round(this.clock.monotonicMilliseconds() - startedAt);
    this.log.write(routerLogEvents.stopped, { cut, milliseconds });
    return cut;
  }

  private createCoordination(gatherMilliseconds: number, protocol: RunnerProtocol) {
    const { knowledge, store, clock, log, entry, grants, settings, registry } = this;
    const doubts = createRestartDoubts({
      ...{ protocol, knowledge, clock, log, registry },
      coordination: () => this.coordination,
      follower: () => this.follower,
    });
    const parts = createRunnerChoice({
      ...{ settings, knowledge, clock, log, registry },
      warmPlaces: this.warmPlaces,
      capacity: this.capacity.view,
      reportAgeMilliseconds: () => this.news.reportAge,
      foreignLoad: (life) => this.foreignLoads.of(life) + grants.outstandingOf(life),
      onWarmPlace: (key, life) => this.news.addWarmPlace(key, life),
      deciders: () => this.coordination.namesOfChoosingDaemons(),
      daemons: () => this.coordination.namesOfSendingDaemons(),
      daemonsWithPath: () => this.coordination.namesOfDaemonsWithPath(),
      isPathSettled: (now) => this.handOver.path.isSettled(now),
      hearsLoads: () => this.coordination.hearsLoads,
      onRejected: (runner) => this.quarantineTask.quarantine.rejected(runner),
      mayBeginAt: (runner) => this.streamVersions.mayBeginAt(runner),
    });
    const capacity = this.capacity.view;
    const options = {
      ...{ daemon: entry, knowledge, capacity, grants, store, clock, log, doubts },
      ...parts,
    };
    const calls = {
      readStore: (what: 'changes' | 'everything') => this.follower.readNow(what),
      fetchConfiguration: (address: string, onResponse?: () => void) =>
        this.peerParts.peers.fetchConfiguration(address, onResponse),
      connections: this.connections,
      isLeaving: () => this.phase !== 'serving',
      longestPauseMilliseconds: () => this.news.longestPauseMilliseconds,
    };
    return new FleetCoordination(
      { ...options, ...calls, readMilliseconds: gatherMilliseconds },
      this.news.socket,
    );
  }

  private createChangeHandler(): KnowledgeChangeHandler {
    const { connections, warmPlaces, log, settings } = this;
    return new KnowledgeChangeHandler({
      dataCentres: [settings.dataCentre, ...Object.keys(settings.dataCentreRegions)],
      connections,
      warmPlaces,
      log,
      revision: () => this.knowledge.revision,
      applyLimits: (limits) => this.front.applyLimits(limits),
      applyLeavingRunners: (lives) =>
        this.coordination.leaveNotices.recordFromDaemon(lives, 'peer'),
      applyQuarantine: (page) => this.quarantineTask.mergeStored(page),
      applyVersionHistory: (history) => this.streamVersions.handleHistory(history),
      onStoreRestored: () => this.handleRestore(),
      onUpdate: () => {
        this.streamVersions.handleListing();
        this.news.broadcastChange();
        this.listings.answerWaiting();
        this.registerOnceReady();
        this.secret.ensure(this.knowledge.secret, () => this.coordination.isFirst);
      },
    });
  }

  /** Writes again what the restored store may have lost of this daemon's writes. */
  private handleRestore(): void {
    this.registration.handleRestore();
    this.secret.handleRestore();
    this.warmPlacesKeeper.handleRestore();
    this.quarantineTask.handleRestore();
    this.streamVersions.handleRestore();
  }

  /** Registers the daemon the first time it is ready, so that no caller is sent to a daemon that cannot serve yet. */
  private registerOnceReady(): void {
    if (this.hasBeenReady || !this.isReady) return;
    this.hasBeenReady = true;
    this.front.configured();
    this.log.write(routerLogEvents.ready, {
      version: this.knowledge.routes?.configuration.version,
      runners: this.knowledge.runners.size,
    });
    void this.registration.start();
  }
}
