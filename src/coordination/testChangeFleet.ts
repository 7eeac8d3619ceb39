/**
 * The whole way of a change in virtual time, for tests: from its acknowledgement by a simulated store to each daemon of a
 * fleet. The parts that follow the store, announce changes and ask other daemons are real; the network is simulated.
 */
import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import { SilentLog } from '../logging/Log.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { NewsTask } from '../news/NewsTask.js';
import { PeerLoads } from '../news/PeerLoads.js';
import { seededRandom } from '../random/seededRandom.js';
import type { RoutingConfiguration } from '../routes/routeTypes.js';
import { WarmPlaces } from '../runners/WarmPlaces.js';
import { configurationVersionOf } from '../sync/configurationVersionOf.js';
import { PeerCatchUp } from '../sync/PeerCatchUp.js';
import { StoreFollower } from '../sync/StoreFollower.js';
import type { DaemonEntry, StoreFact, StorePage, StoreRead } from '../sync/FleetStore.js';
import type { KnowledgeAnswer } from '../sync/knowledgeTypes.js';
import { createTestKnowledge } from '../sync/testKnowledge.js';
import { TestStore } from '../sync/testStore.js';
import { coordinatorsOf, monitorsOf, storeReadersOf } from './daemonRoles.js';
import { handleAnnouncement } from './handleAnnouncement.js';
import { StoreRelay } from './StoreRelay.js';
import { hostOf, hostsOf, NEVER, Timeline, VirtualSocket } from './testVirtualTime.js';

/** How the store treats a daemon. */
export type Refusal = 'silent' | 'busy';

/** Options of a {@link ChangeFleet}. */
export interface ChangeFleetOptions {
  daemons: number;
  seed: number;
  /** Time within which changes have to be in force, in ms. */
  boundMilliseconds: number;
}

/** As in `RouterDaemon` and `FleetCoordination`: shares of the bound, and of the pause between reads. */
const GATHER_SHARE = 0.4;
const FRESH_READS = 1.5;
const CONFIGURATION_SHARE = 0.5;

/** As in `StoreClient` and `PeerExchange`, in ms. */
const STORE_TIMEOUT_MILLISECONDS = 900;
const PEER_TIMEOUT_MILLISECONDS = 300;
const CONFIGURATION_TIMEOUT_MILLISECONDS = 900;

const STORE_ANSWER_MILLISECONDS = 4;
const DATAGRAM_MILLISECONDS = 1;
const REQUEST_MILLISECONDS = 10;
const HEARTBEAT_MILLISECONDS = 100;

/** Time after which all daemons know that one has lost power, in ms. */
const DETECTION_MILLISECONDS = 2_000;

/** Share of datagrams that are lost. */
const LOSS_SHARE = 0.01;

/** Interval at which the roles are derived again, in ms. */
const ROLES_MILLISECONDS = 50;

/** The store as one daemon sees it. */
class VirtualStore extends TestStore {
  constructor(
    private readonly fleet: ChangeFleet,
    private readonly name: string,
  ) {
    super();
  }

  override async readPage(): Promise<StorePage> {
    await this.call(0);
    return this.fleet.changesAfter(0);
  }

  override async readChanges(after: number, waitMilliseconds: number): Promise<StoreRead> {
    const { fleet } = this;
    const endsAt = fleet.now + waitMilliseconds;
    await this.call(waitMilliseconds);
    while (fleet.changesAfter(after).facts.length === 0 && fleet.now < endsAt) {
      await fleet.timeline.sleep(1);
      if (fleet.refused.get(this.name) === 'silent') await this.call(endsAt - fleet.now);
    }
    return fleet.changesAfter(after);
  }

  override async readConfiguration(): Promise<undefined> {
    await this.call(0);
  }

  private async call(waitMilliseconds: number): Promise<void> {
    const { fleet, name } = this;
    await fleet.timeline.sleep(STORE_ANSWER_MILLISECONDS);
    if (!fleet.isAlive(name)) await NEVER;
    const refusal = fleet.refused.get(name);
    if (refusal === 'silent')
      await fleet.timeline.sleep(waitMilliseconds + STORE_TIMEOUT_MILLISECONDS);
    if (refusal) throw new Error(refusal);
  }
}

/** One daemon: its knowledge, and the parts that keep it up to date. */
class VirtualDaemon {
  readonly name: string;

  readonly address: string;

  readonly knowledge = createTestKnowledge(() => this.news.broadcastChange()).knowledge;

  readonly socket: VirtualSocket;

  diedAt = Number.POSITIVE_INFINITY;

  readonly follower: StoreFollower;

  private readonly news: NewsTask;

  constructor(
    private readonly fleet: ChangeFleet,
    entry: DaemonEntry,
  ) {
    const { knowledge } = this;
    const { timeline, random, readMilliseconds } = fleet;
    const { clock } = timeline;
    const later = (call: () => void, milliseconds: number) =>
      timeline.later(() => {
        if (this.isAlive) call();
      }, milliseconds);
    const log = new SilentLog();
    this.name = entry.name;
    this.address = entry.peerAddress;
    this.socket = new VirtualSocket((kind, message, hosts) => {
      if (this.isAlive) fleet.send(kind, message, hosts);
    });
    const store = new VirtualStore(fleet, entry.name);
    const relay = new StoreRelay({
      ...{ daemon: entry.name, socket: this.socket, knowledge, store, clock, log, later },
      isReader: () => fleet.isReader(entry.name),
      hasReaders: () => fleet.hasReaders,
      others: () => fleet.othersOf(entry.name),
      readStore: (what) => this.follower.readNow(what),
      fetchConfiguration: (address, onResponse) => fleet.fetchConfiguration(address, onResponse),
      freshMilliseconds: readMilliseconds * FRESH_READS,
      configurationMilliseconds: readMilliseconds * CONFIGURATION_SHARE,
    });
    this.follower = new StoreFollower({
      ...{ store, knowledge, clock, log, random, sleep: timeline.sleep },
      gatherMilliseconds: readMilliseconds,
      isRelayed: () => relay.isFresh,
      isReadingForOthers: () => fleet.isReader(entry.name),
      onRead: () => relay.handleStoreRead(),
    });
    const catchUp = new PeerCatchUp({
      ...{ knowledge, clock, log, random, later },
      addresses: () => fleet.othersOf(entry.name).map(({ host }) => `${host}:1`),
      fetchKnowledge: (address, onResponse) => fleet.fetchKnowledge(this, address, onResponse),
      isStoreUnresponsive: () => this.follower.isStoreUnresponsive,
    });
    this.news = new NewsTask({
      ...{ daemon: entry.name, runners: knowledge.runners, loads: new PeerLoads(), clock, log },
      ...{ warmPlaces: new WarmPlaces(), later, random, socket: this.socket },
      registry: new MetricRegistry({ clock }),
      changedAtRevision: () => knowledge.changedAtRevision,
      configurationVersion: () => this.version,
      others: () => fleet.reportRecipientsOf(entry.name),
      announcementRecipients: () =>
        relay.isLost ? fleet.othersOf(entry.name) : fleet.reportRecipientsOf(entry.name),
      daemons: () => fleet.daemons.length,
      secret: () => 'secret',
      onNews: (message) => {
        const { hasReaders } = fleet;
        const address = fleet.addressOf(message.daemon);
        const { follower } = this;
        handleAnnouncement(message, { follower, catchUp, relay, hasReaders, address });
      },
    });
    later(() => {
      void this.follower.run();
      catchUp.start();
      void this.news.listen({ host: '', port: 0 });
    }, random() * 300);
  }

  get isAlive(): boolean {
    return this.fleet.now < this.diedAt;
  }

  get version(): number {
    return configurationVersionOf(this.knowledge);
  }
}

/** Simulates the store and the network. */
export class ChangeFleet {
  readonly timeline = new Timeline();

  readonly daemons: VirtualDaemon[];

  /** Daemons that the store refuses, by name. */
  readonly refused = new Map<string, Refusal>();

  readonly random: () => number;

  /** Pause between two reads of the store, in ms. */
  readonly readMilliseconds: number;

  private readonly entries: DaemonEntry[];

  private readonly byName = new Map<string, VirtualDaemon>();

  private readonly byHost = new Map<string, VirtualDaemon>();

  private readonly others = new Map<string, { host: string; port: number }[]>();

  /** Monitors and store readers, and how many daemons were out when they were derived. */
  private roles = { out: -1, monitors: [] as DaemonEntry[], readers: [] as string[] };

  private readonly facts: StoreFact[] = [];

  private revision = 0;

  /**
   * @param options - size, seed and bound.
   */
  constructor({ daemons, seed, boundMilliseconds }: ChangeFleetOptions) {
    this.random = seededRandom(seed);
    this.readMilliseconds = GATHER_SHARE * boundMilliseconds;
    this.entries = Array.from({ length: daemons }, (_, index) => {
      const address = `10.1.${Math.floor(index / 250)}.${1 + (index % 250)}:1`;
      const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
      return { name: `daemon-${index}`, dataCentre: 'here', ...addresses };
    });
    this.change(1);
    for (const daemon of this.entries) this.write({ kind: 'daemon', daemon });
    this.daemons = this.entries.map((entry) => {
      const daemon = new VirtualDaemon(this, entry);
      this.byName.set(entry.name, daemon);
      this.byHost.set(hostOf(entry.peerAddress), daemon);
      return daemon;
    });
  }

  /** @returns Virtual time, monotonic ms. */
  get now(): number {
    return this.timeline.now;
  }

  /** @returns Whether some daemons read the store for all. */
  get hasReaders(): boolean {
    return this.currentRoles.monitors.length > 0;
  }

  /** @returns Names of the daemons that read the store for others. */
  get readers(): string[] {
    return this.currentRoles.readers;
  }

  /** @returns Whether it runs. */
  isAlive(name: string): boolean {
    return this.byName.get(name)?.isAlive ?? false;
  }

  /** Advances by a millisecond. */
  async step(): Promise<void> {
    if (this.now % HEARTBEAT_MILLISECONDS === 0) {
      const place = { host: '10.2.0.1', port: 80, dataCentre: 'here' };
      const runner = { id: 'runner', life: 'runner', service: 'chat', state: 'ready', ...place };
      this.write({ kind: 'runner', runner } as StoreFact);
    }
    await this.timeline.step();
  }

  /**
   * Writes a configuration.
   *
   * @param version - its version.
   */
  change(version: number): void {
    const limits = {} as RoutingConfiguration['limits'];
    const configuration = { version, routes: [], services: [], limits };
    this.write({ kind: 'configuration', configuration });
  }

  /**
   * @param after - a revision.
   * @returns The changes after it.
   */
  changesAfter(after: number): StoreRead {
    const first = this.facts.findIndex(({ revision = 0 }) => revision > after);
    return { revision: this.revision, facts: first < 0 ? [] : this.facts.slice(first) };
  }

  /** @returns Whether it reads the store for others. */
  isReader(name: string): boolean {
    return this.readers.includes(name);
  }

  /** @returns Addresses of all other daemons, dead ones included. */
  othersOf(name: string): { host: string; port: number }[] {
    const known = this.others.get(name);
    if (known) return known;
    const others = hostsOf(this.entries.filter((entry) => entry.name !== name));
    this.others.set(name, others);
    return others;
  }

  /** @returns Addresses of the daemons to which it reports its state. */
  reportRecipientsOf(name: string): { host: string; port: number }[] {
    if (!this.hasReaders) return this.othersOf(name);
    return hostsOf(this.currentRoles.monitors.filter((one) => one.name !== name));
  }

  /** @returns Its address. */
  addressOf(name: string): string {
    return this.byName.get(name)?.address ?? '';
  }

  /**
   * Delivers a datagram, or loses it.
   *
   * @param kind - kind of the message.
   * @param message - the message.
   * @param hosts - the recipients.
   */
  send(kind: MessageKind, message: Uint8Array, hosts: readonly string[]): void {
    for (const host of hosts) {
      if (this.random() < LOSS_SHARE) continue;
      const recipient = this.byHost.get(host);
      this.timeline.later(() => {
        if (recipient?.isAlive) recipient.socket.received.get(kind)?.(message);
      }, DATAGRAM_MILLISECONDS);
    }
  }

  /**
   * @param asking - the daemon that asks.
   * @param address - the daemon that is asked.
   * @param onResponse - called when the response begins.
   * @returns What it knows.
   */
  async fetchKnowledge(
    asking: VirtualDaemon,
    address: string,
    onResponse: () => void,
  ): Promise<KnowledgeAnswer> {
    const asked = await this.reach(address, PEER_TIMEOUT_MILLISECONDS);
    onResponse();
    const { readMilliseconds } = asked.follower;
    return { ...asked.knowledge.snapshot(asking.version, this.now), readMilliseconds };
  }

  /**
   * @param address - the daemon that is asked.
   * @param onResponse - called when the response begins.
   * @returns Its configuration.
   */
  async fetchConfiguration(
    address: string,
    onResponse?: () => void,
  ): Promise<RoutingConfiguration> {
    const { knowledge } = await this.reach(address, CONFIGURATION_TIMEOUT_MILLISECONDS);
    onResponse?.();
    if (!knowledge.routes) throw new Error('no configuration');
    return knowledge.routes.configuration;
  }

  private async reach(address: string, timeout: number): Promise<VirtualDaemon> {
    const asked = this.byHost.get(hostOf(address));
    await this.timeline.sleep(asked?.isAlive ? REQUEST_MILLISECONDS : timeout);
    if (!asked?.isAlive) throw new Error('no answer');
    return asked;
  }

  private get currentRoles(): typeof this.roles {
    const isOut = (name: string) =>
      this.now >=
      (this.byName.get(name)?.diedAt ?? Number.POSITIVE_INFINITY) + DETECTION_MILLISECONDS;
    if (this.now % ROLES_MILLISECONDS !== 0 && this.roles.out >= 0) return this.roles;
    const out = this.entries.filter(({ name }) => isOut(name)).length;
    if (out === this.roles.out) return this.roles;
    const readers = storeReadersOf(coordinatorsOf(this.entries, isOut));
    const monitors = monitorsOf(this.entries, isOut);
    this.roles = { out, monitors, readers: readers.map(({ name }) => name) };
    return this.roles;
  }

  private write(fact: StoreFact): void {
    this.revision += 1;
    this.facts.push({ ...fact, revision: this.revision });
  }
}
