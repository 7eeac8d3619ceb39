/**
 * Connects the parts of fleet coordination: determines which daemons coordinate, what this daemon does for the others,
 * and what they do for it.
 */
import type { AdmissionTask } from '../admission/AdmissionTask.js';
import type { CapacityView } from '../capacity/CapacityView.js';
import type { RunnerConnections } from '../forwarding/RunnerConnections.js';
import { PathReports } from '../handover/PathReports.js';
import { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { DaemonNews } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import { parseAddress } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import { LivenessPeers } from '../liveness/LivenessPeers.js';
import { LivenessTask } from '../liveness/LivenessTask.js';
import type { BrittleService } from '../runners/BrittleRunners.js';
import type { RunnerAdmission } from '../runners/RunnerAdmission.js';
import type { RunnerChoice } from '../runners/RunnerChoice.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { DaemonEntry, FleetStore } from '../sync/FleetStore.js';
import type { StoreBackoff } from '../sync/StoreFollower.js';
import { READER_BACKOFF } from '../sync/StoreFollower.js';
import type { RestartDoubts } from '../streamVersions/RestartDoubts.js';
import { RestartNotices } from '../streamVersions/RestartNotices.js';
import type { Clock } from '../time/Clock.js';
import { ChoiceServer } from './ChoiceServer.js';
import type { FetchConfiguration } from './ConfigurationFetcher.js';
import { CoordinatedSelector } from './CoordinatedSelector.js';
import { coordinatorsAmong, storeReadersOf, broadcastersOf, monitorsOf } from './daemonRoles.js';
import type { GrantLedger } from './GrantLedger.js';
import { LeaveNotices } from './LeaveNotices.js';
import { livenessDuties } from './livenessDuties.js';
import { StoreRelay } from './StoreRelay.js';

/** Options of a {@link FleetCoordination}. */
export interface FleetCoordinationOptions {
  /** This daemon's entry in the list of daemons. */
  daemon: DaemonEntry;
  knowledge: FleetKnowledge;
  choice: RunnerChoice;
  /** Decides which requests are sent, wait or are refused, for this daemon and those that ask it. */
  admissionTask: AdmissionTask;
  capacity: CapacityView;
  admission: RunnerAdmission;
  grants: GrantLedger;
  /** Follows the runners that may have started again. */
  doubts: RestartDoubts;
  store: FleetStore;
  clock: Clock;
  log: Log;
  /** Longest time between two reads of the store by a store reader, in ms. */
  readMilliseconds: number;
  /** Reads the store once: the changes since the last read, or everything. */
  readStore: (what: 'changes' | 'everything') => void;
  /** Fetches the configuration of another daemon. */
  fetchConfiguration: FetchConfiguration;
  /** Connections to runners; those to a leaving runner are released once their requests have ended. */
  connections: Pick<RunnerConnections, 'release'>;
  /** Whether this daemon is shutting down as planned. */
  isLeaving: () => boolean;
  /** Calls other daemons for probes and indirect probes; replaced by tests. */
  livenessPeers?: LivenessPeers;
  /** Longest pause between two load reports of a daemon, in ms. */
  longestPauseMilliseconds: () => number;
}

/**
 * How long relayed store changes count as current, as a multiple of the longest pause between two reads of a store
 * reader. A read takes up to a third of that pause longer. With the pause at 0.4 of the time in which changes must be
 * in force, a daemon that receives no more changes still reads the store itself in time.
 */
const FRESH_READS = 1.5;

/** Shortest time between two reads of the configuration, as a share of the time between reads of the store. */
const CONFIGURATION_SHARE = 0.5;

/** How long a daemon that left the list still counts among those that send, in ms: a busy one may renew its lease late. */
const SENDING_MILLISECONDS = 10_000;

/**
 * Backoff of a daemon that others read the store for, in ms. It may be long: the store readers notice that the store
 * is back and broadcast it, and calls cost the store something even while it is unavailable.
 */
const FOLLOWER_PAUSES: StoreBackoff = { firstMilliseconds: 500, longestMilliseconds: 3_000 };

/** Owns the coordination parts of one daemon, and derives its roles from the list of daemons and from who is alive. */
export class FleetCoordination {
  readonly selector: CoordinatedSelector;

  readonly relay: StoreRelay;

  /** Decides which runners may get a request. */
  readonly admission: RunnerAdmission;

  /** Tracks the runners that have announced their shutdown. */
  readonly leaveNotices: LeaveNotices;

  /** Runners that may have started again. */
  readonly restartNotices: RestartNotices;

  /** Answers other daemons' probes and indirect probes. */
  readonly livenessPeers: LivenessPeers;

  /** Failure detector for the listed daemons. */
  readonly liveness: LivenessTask;

  /** Daemons that reach no runner. */
  readonly pathReports = new PathReports();

  private readonly options: FleetCoordinationOptions;

  private cachedMonitors: readonly DaemonEntry[] = [];

  private cachedCoordinators: readonly DaemonEntry[] = [];

  /** Version of the list of daemons and of the failure detector's results that the cached roles were derived from. */
  private cachedAtVersion = '';

  private readonly parsedAddresses = new Map<string, HostAndPort>();

  /**
   * @param options - this daemon, the fleet state and the store.
   * @param socket - exchanges datagrams with other daemons.
   */
  constructor(options: FleetCoordinationOptions, socket: FleetSocket) {
    this.options = options;
    this.admission = options.admission;
    const { daemon, knowledge, choice, admission, admissionTask, grants, store, clock, log } =
      options;
    const { fetchConfiguration } = options;
    const { readMilliseconds, readStore, isLeaving, longestPauseMilliseconds } = options;
    const others = () => this.addressesOfOthers(knowledge.daemons.values());
    this.livenessPeers =
      options.livenessPeers ??
      new LivenessPeers({
        daemon: daemon.name,
        isLeaving,
        opinionsOn: (names) => this.liveness.opinionsOn(names),
        unresponsiveHashes: () => this.liveness.unresponsiveHashes,
      });
    this.liveness = new LivenessTask({
      daemon: daemon.name,
      knowledge,
      socket,
      clock,
      log,
      peers: this.livenessPeers,
      duties: () =>
        livenessDuties({
          daemon: daemon.name,
          listed: [...knowledge.daemons.values()],
          monitors: this.monitors,
        }),
      others,
      longestPauseMilliseconds,
      pathReports: this.pathReports,
    });
    this.selector = new CoordinatedSelector({
      daemon,
      socket,
      choice,
      admissionTask,
      capacity: options.capacity,
      admission,
      runners: knowledge.runners,
      clock,
      log,
      coordinators: () => this.coordinators,
    });
    this.leaveNotices = new LeaveNotices({
      daemon: daemon.name,
      runners: knowledge.runners,
      connections: options.connections,
      socket,
      log,
      reportRecipients: () => this.reportRecipients(),
      broadcastRecipients: () => this.broadcastRecipients(),
    });
    this.restartNotices = new RestartNotices({
      ...{ daemon: daemon.name, runners: knowledge.runners, socket, doubts: options.doubts },
      reportRecipients: () => this.reportRecipients(),
      broadcastRecipients: () => this.broadcastRecipients(),
    });
    const server = new ChoiceServer({ daemon: daemon.name, socket, admissionTask, grants, clock });
    socket.handle(MessageKind.RUNNER_QUESTION, (message) => server.handleQuestion(message));
    this.relay = new StoreRelay({
      daemon: daemon.name,
      socket,
      knowledge,
      store,
      clock,
      log,
      isReader: () => this.isReader,
      hasReaders: () => this.coordinators.length > 0,
      others,
      onMessage: (name) => this.liveness.recordMessage(name),
      onBroadcast: () => this.liveness.recordOtherBroadcast(),
      brittle: () => this.brittleServices(true),
      onBrittle: (told) =>
        admission.brittleRunners?.recordTold(told, 'relay', clock.monotonicMilliseconds()),
      readStore,
      fetchConfiguration,
      freshMilliseconds: readMilliseconds * FRESH_READS,
      configurationMilliseconds: readMilliseconds * CONFIGURATION_SHARE,
    });
  }

  /** @returns The coordinators; empty in a small fleet. */
  get coordinators(): readonly DaemonEntry[] {
    this.updateRoles();
    return this.cachedCoordinators;
  }

  /**
   * @returns The monitors, to which all daemons send their load reports; empty in a small fleet, where every daemon
   * sends to every other one.
   */
  private get monitors(): readonly DaemonEntry[] {
    this.updateRoles();
    return this.cachedMonitors;
  }

  /** @returns Whether this daemon reads the store on behalf of all others in a large fleet. */
  get isReader(): boolean {
    return storeReadersOf(this.coordinators).some(({ name }) => name === this.options.daemon.name);
  }

  /**
   * Returns the recipients of this daemon's load reports. In a small fleet unavailable daemons are included: a daemon
   * that this one cannot receive from may still receive from it.
   *
   * @returns Addresses of the recipients.
   */
  reportRecipients(): HostAndPort[] {
    const { monitors } = this;
    const { knowledge } = this.options;
    return this.addressesOfOthers(monitors.length > 0 ? monitors : knowledge.daemons.values());
  }

  /**
   * Returns the recipients of an announcement that the store has changed. In a large fleet the store readers tell
   * everybody, unless none of them does.
   *
   * @returns Addresses of the recipients.
   */
  announcementRecipients(): HostAndPort[] {
    const { knowledge } = this.options;
    if (!this.relay.isLost) return this.reportRecipients();
    return this.addressesOfOthers(knowledge.daemons.values());
  }

  /**
   * Returns the recipients of what other daemons have reported to this one.
   *
   * @returns Addresses of all other daemons if this daemon broadcasts; empty otherwise, and in a small fleet, where
   * every daemon sends to every other one.
   */
  broadcastRecipients(): HostAndPort[] {
    const isBroadcaster = broadcastersOf(this.monitors).some(
      ({ name }) => name === this.options.daemon.name,
    );
    return isBroadcaster ? this.addressesOfOthers(this.options.knowledge.daemons.values()) : [];
  }

  /**
   * Returns the daemons that know where all shared prompts are cached. The first of them acts for all, so a dead
   * daemon must not be among them.
   *
   * @returns Their names.
   */
  namesOfChoosingDaemons(): string[] {
    const { coordinators } = this;
    if (coordinators.length > 0) return coordinators.map(({ name }) => name);
    const { daemon, knowledge } = this.options;
    const living = [...knowledge.daemons.keys()].filter(
      (name) => !this.liveness.isUnavailable(name),
    );
    return living.length > 0 ? living : [daemon.name];
  }

  /**
   * @returns Whether this daemon acts for the whole fleet: it is listed and has the lowest name of all available
   * daemons.
   */
  get isFirst(): boolean {
    const { daemon, knowledge } = this.options;
    if (!knowledge.daemons.has(daemon.name)) return false;
    return this.otherAvailableDaemons().every(({ name }) => daemon.name < name);
  }

  /** @returns All listed daemons except this one. */
  otherDaemons(): DaemonEntry[] {
    const { daemon, knowledge } = this.options;
    return [...knowledge.daemons.values()].filter(({ name }) => name !== daemon.name);
  }

  /** @returns The other daemons that are not known to be dead or shutting down. */
  otherAvailableDaemons(): DaemonEntry[] {
    return this.otherDaemons().filter(({ name }) => !this.liveness.isUnavailable(name));
  }

  /**
   * Returns the daemons that may send requests to runners. An unresponsive one is among them as long as it is listed: a
   * busy daemon that does not answer in time goes on sending, and if each daemon left out those that it does not hear,
   * all parts of what is divided among the fleet would grow at the same moment.
   *
   * @returns Names of this daemon and of all that were listed lately.
   */
  namesOfSendingDaemons(): string[] {
    const { clock, daemon, knowledge } = this.options;
    const now = clock.monotonicMilliseconds();
    const names = knowledge.namesSharingLimits(SENDING_MILLISECONDS, now);
    return [daemon.name, ...names.filter((name) => name !== daemon.name)];
  }

  /** @returns Those of the daemons that may send requests that have not said that they reach no runner. */
  namesOfDaemonsWithPath(): string[] {
    const now = this.options.clock.monotonicMilliseconds();
    const [own, ...others] = this.namesOfSendingDaemons();
    return [own!, ...others.filter((name) => !this.pathReports.isPathLost(name, now))];
  }

  /** @returns Whether this daemon gets the load reports of all others. */
  get hearsLoads(): boolean {
    const { monitors } = this;
    return monitors.length === 0 || monitors.some(({ name }) => name === this.options.daemon.name);
  }

  /**
   * @param withReports - whether to include what other daemons have reported to this one.
   * @returns Services whose runners have said that they are brittle.
   */
  brittleServices(withReports = false): readonly BrittleService[] {
    const now = this.options.clock.monotonicMilliseconds();
    return this.admission.brittleRunners?.statedServices(now, withReports) ?? [];
  }

  /** @returns Pauses between calls to a store that is away. */
  get storePauses(): StoreBackoff {
    const isFollower = this.coordinators.length > 0 && !this.isReader;
    return isFollower ? FOLLOWER_PAUSES : READER_BACKOFF;
  }

  /** Refuses the requests that wait for capacity, here or at a coordinator, because this daemon stops. */
  refuseWaiting(): void {
    this.options.admissionTask.stop();
    this.selector.refuseWaiting();
  }

  /**
   * Handles a load report: notes that its sender is alive, whether it reaches runners, which services are brittle, and
   * which grants of this daemon it has counted.
   *
   * @param news - the load report of another daemon.
   */
  handleNews({ daemon, grants, isLeaving, hasNoPath, brittle }: DaemonNews): void {
    const now = this.options.clock.monotonicMilliseconds();
    this.liveness.recordMessage(daemon, isLeaving);
    this.pathReports.record(daemon, hasNoPath, now);
    for (const told of brittle) this.admission.brittleRunners?.recordTold(told, 'report', now);
    const own = grants.find(({ coordinator }) => coordinator === this.options.daemon.name);
    if (own) this.options.grants.acknowledge(daemon, own.grant);
  }

  /**
   * Derives the roles again when the list or the liveness of daemons has changed. They are cached because each request
   * and each message asks for the coordinators, and ordering 195 daemons takes 0.28 ms.
   */
  private updateRoles(): void {
    const { knowledge } = this.options;
    const { liveness } = this;
    const state = `${knowledge.daemonListChanges} ${liveness.changes}`;
    if (this.cachedAtVersion === state) return;
    this.cachedAtVersion = state;
    const listed = [...knowledge.daemons.values()];
    const isOut = (name: string) => liveness.isUnavailable(name);
    this.cachedMonitors = monitorsOf(listed, isOut);
    this.cachedCoordinators = coordinatorsAmong(this.cachedMonitors, listed);
  }

  private addressesOfOthers(daemons: Iterable<DaemonEntry>): HostAndPort[] {
    const others = [...daemons].filter(({ name }) => name !== this.options.daemon.name);
    return others.map(({ newsAddress }) => {
      const known = this.parsedAddresses.get(newsAddress) ?? parseAddress(newsAddress);
      this.parsedAddresses.set(newsAddress, known);
      return known;
    });
  }
}
