/**
 * Puts the parts of coordination together: who coordinates now, what this daemon does for the others, and what they
 * do for it.
 */
import type { RunnerConnections } from '../forwarding/RunnerConnections.js';
import { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { DaemonNews } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import { parseAddress } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import { LivenessPeers } from '../liveness/LivenessPeers.js';
import { LivenessTask } from '../liveness/LivenessTask.js';
import type { RunnerAdmission } from '../runners/RunnerAdmission.js';
import type { RunnerChoice } from '../runners/RunnerChoice.js';
import type { RoutingConfiguration } from '../routes/routeTypes.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { DaemonEntry, FleetStore } from '../sync/FleetStore.js';
import type { StorePauses } from '../sync/StoreFollower.js';
import { READER_PAUSES } from '../sync/StoreFollower.js';
import type { Clock } from '../time/Clock.js';
import { ChoiceServer } from './ChoiceServer.js';
import { CoordinatedSelector } from './CoordinatedSelector.js';
import { coordinatorsAmong, readersOf, tellersOf, watchersOf } from './coordinatorsOf.js';
import type { GrantLedger } from './GrantLedger.js';
import { LeaveNotices } from './LeaveNotices.js';
import { livenessDuties } from './livenessDuties.js';
import { StoreRelay } from './StoreRelay.js';

/** Options of a {@link FleetCoordination}. */
export interface FleetCoordinationOptions {
  /** This daemon as others know it. */
  daemon: DaemonEntry;
  knowledge: FleetKnowledge;
  choice: RunnerChoice;
  admission: RunnerAdmission;
  grants: GrantLedger;
  store: FleetStore;
  clock: Clock;
  log: Log;
  /** Longest time between two reads of the store by a reader, in ms. */
  readMilliseconds: number;
  /** Reads the store once: what has changed since the last read, or everything. */
  readStore: (what: 'changes' | 'everything') => void;
  /** Asks another daemon for its configuration. */
  fetchConfiguration: (peerAddress: string) => Promise<RoutingConfiguration>;
  /** Kept to runners. */
  connections: Pick<RunnerConnections, 'release'>;
  /** Whether this daemon is in a planned stop. */
  isLeaving: () => boolean;
  /** Calls other daemons about who is alive; replaced by tests. */
  livenessPeers?: LivenessPeers;
  /** Longest pause between two messages of a daemon with its news, in ms. */
  longestPauseMilliseconds: () => number;
}

/**
 * What readers tell is good for this many times the longest pause between their reads: a read takes up to a third of it
 * longer, and with the pause at 0.4 of the time in which changes must be in force, a daemon that hears of none any
 * more still reads the store itself in time.
 */
const FRESH_READS = 1.5;

/** Versions of the configuration are read at most this often, as a share of the time between reads. */
const CONFIGURATION_SHARE = 0.5;

/**
 * Of a daemon that others read for: they notice the store's return and tell it. Every call has its price, those to a
 * store that is away too.
 */
const FOLLOWER_PAUSES: StorePauses = { firstMilliseconds: 500, longestMilliseconds: 3_000 };

/** See the module's comment. */
export class FleetCoordination {
  readonly selector: CoordinatedSelector;

  readonly relay: StoreRelay;

  /** Which runners may get a request. */
  readonly admission: RunnerAdmission;

  /** Which runners have said that they leave. */
  readonly leaveNotices: LeaveNotices;

  /** Answers other daemons' questions about who is alive. */
  readonly livenessPeers: LivenessPeers;

  /** Which of the listed daemons are alive. */
  readonly liveness: LivenessTask;

  private readonly options: FleetCoordinationOptions;

  private keptWatchers: readonly DaemonEntry[] = [];

  private keptCoordinators: readonly DaemonEntry[] = [];

  /** How often the list of daemons, and who of them is alive, had changed when these were taken from it. */
  private keptAtChange = '';

  private readonly parsed = new Map<string, HostAndPort>();

  /**
   * @param options - of the daemon.
   * @param socket - by which daemons exchange datagrams.
   */
  constructor(options: FleetCoordinationOptions, socket: FleetSocket) {
    this.options = options;
    this.admission = options.admission;
    const { daemon, knowledge, choice, admission, grants, store, clock, log } = options;
    const { fetchConfiguration } = options;
    const { readMilliseconds, readStore, isLeaving, longestPauseMilliseconds } = options;
    const others = () => this.addressesOf(knowledge.daemons.values());
    this.livenessPeers =
      options.livenessPeers ??
      new LivenessPeers({
        daemon: daemon.name,
        isLeaving,
        opinionsOn: (names) => this.liveness.opinionsOn(names),
        toldSilences: () => this.liveness.toldSilences,
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
          watchers: this.watchers,
        }),
      others,
      longestPauseMilliseconds,
    });
    this.selector = new CoordinatedSelector({
      daemon,
      socket,
      choice,
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
      reportTo: () => this.newsRecipients(),
      tellTo: () => this.tellRecipients(),
    });
    const server = new ChoiceServer({ daemon: daemon.name, socket, choice, grants, clock });
    socket.handle(MessageKind.RUNNER_QUESTION, (message) => server.take(message));
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
      onHeard: (name) => this.liveness.heard(name),
      onTold: () => this.liveness.toldOtherwise(),
      readStore,
      fetchConfiguration,
      freshMilliseconds: readMilliseconds * FRESH_READS,
      configurationMilliseconds: readMilliseconds * CONFIGURATION_SHARE,
    });
  }

  /** @returns The coordinators; none in a small fleet. */
  get coordinators(): readonly DaemonEntry[] {
    this.takeRoles();
    return this.keptCoordinators;
  }

  /** @returns Those that all daemons send their news; none in a small fleet, where all tell all. */
  private get watchers(): readonly DaemonEntry[] {
    this.takeRoles();
    return this.keptWatchers;
  }

  /** @returns Whether this daemon reads the store for all others of a large fleet. */
  get isReader(): boolean {
    return readersOf(this.coordinators).some(({ name }) => name === this.options.daemon.name);
  }

  /**
   * Those that are out of use are told too in a small fleet: one that this daemon does not hear may hear it.
   *
   * @returns Who is told what this daemon has at runners.
   */
  newsRecipients(): HostAndPort[] {
    const { watchers } = this;
    const { knowledge } = this.options;
    return this.addressesOf(watchers.length > 0 ? watchers : knowledge.daemons.values());
  }

  /** @returns Whom this daemon tells what others have reported to it; nobody in a small fleet, where all hear all. */
  tellRecipients(): HostAndPort[] {
    const isTeller = tellersOf(this.watchers).some(({ name }) => name === this.options.daemon.name);
    return isTeller ? this.addressesOf(this.options.knowledge.daemons.values()) : [];
  }

  /**
   * The first of them acts for all, so that a dead one must not be among them.
   *
   * @returns Names of the daemons that know where all shared prompts are cached.
   */
  namesOfInformed(): string[] {
    const { coordinators } = this;
    if (coordinators.length > 0) return coordinators.map(({ name }) => name);
    const { daemon, knowledge } = this.options;
    const living = [...knowledge.daemons.keys()].filter((name) => !this.liveness.isOut(name));
    return living.length > 0 ? living : [daemon.name];
  }

  /** @returns Whether this daemon is listed and comes first by name among those that live: it acts for all. */
  get isFirst(): boolean {
    const { daemon, knowledge } = this.options;
    if (!knowledge.daemons.has(daemon.name)) return false;
    return this.livingOthers().every(({ name }) => daemon.name < name);
  }

  /** @returns All listed daemons but this one. */
  otherDaemons(): DaemonEntry[] {
    const { daemon, knowledge } = this.options;
    return [...knowledge.daemons.values()].filter(({ name }) => name !== daemon.name);
  }

  /** @returns Those of the other daemons that are not known to have died or to stop. */
  livingOthers(): DaemonEntry[] {
    return this.otherDaemons().filter(({ name }) => !this.liveness.isOut(name));
  }

  /** @returns Pauses between calls to a store that is away. */
  get storePauses(): StorePauses {
    const isFollower = this.coordinators.length > 0 && !this.isReader;
    return isFollower ? FOLLOWER_PAUSES : READER_PAUSES;
  }

  /**
   * @param news - of a daemon that counts its requests.
   */
  takeNews({ daemon, grants, isLeaving }: DaemonNews): void {
    this.liveness.heard(daemon, isLeaving);
    const own = grants.find(({ coordinator }) => coordinator === this.options.daemon.name);
    if (own) this.options.grants.counted(daemon, own.grant);
  }

  /** Each request and each message asks for the coordinators, and ordering 195 daemons takes 0.28 ms. */
  private takeRoles(): void {
    const { knowledge } = this.options;
    const { liveness } = this;
    const state = `${knowledge.daemonChanges} ${liveness.changes}`;
    if (this.keptAtChange === state) return;
    this.keptAtChange = state;
    const listed = [...knowledge.daemons.values()];
    const isOut = (name: string) => liveness.isOut(name);
    this.keptWatchers = watchersOf(listed, isOut);
    this.keptCoordinators = coordinatorsAmong(this.keptWatchers, listed);
  }

  private addressesOf(daemons: Iterable<DaemonEntry>): HostAndPort[] {
    const others = [...daemons].filter(({ name }) => name !== this.options.daemon.name);
    return others.map(({ newsAddress }) => {
      const known = this.parsed.get(newsAddress) ?? parseAddress(newsAddress);
      this.parsed.set(newsAddress, known);
      return known;
    });
  }
}
