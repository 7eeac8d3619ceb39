/**
 * Environment of one soak: a store, runners, and daemons as processes, each with its own link to everything else.
 */
import type { IncomingMessage } from 'node:http';

import type { RouterSettings } from '../src/router/routerFeature.js';
import { promptPartsOf } from '../standIns/site/promptParts.js';
import { SiteProcess } from '../standIns/site/SiteProcess.js';
import { SiteRunner } from '../standIns/site/SiteRunner.js';
import type { Brittleness } from '../standIns/site/siteRunnerTypes.js';
import { siteConfiguration, StandInSite } from '../standIns/site/StandInSite.js';
import type { StoreItem } from '../standIns/site/StoreStandIn.js';
import { FaultHistory } from './FaultHistory.js';
import { DaemonLink } from '../standIns/link/DaemonLink.js';
import { watchLateness } from '../standIns/link/watchLateness.js';
import { RunRecords } from './RunRecords.js';
import { SoakDaemon } from './SoakDaemon.js';
import {
  CHANGE_BOUND_MILLISECONDS,
  EVENTS,
  isFatal,
  MAXIMUM_ATTEMPTS,
  STOP_SECONDS,
  TIMEOUT_MILLISECONDS,
  WORK_MILLISECONDS,
} from './soakBounds.js';

/** Services of the stand-in's configuration. */
export type SoakService = 'plain' | 'engine';

const EVENT_MILLISECONDS = 40;

/** Requests that a plain runner handles at the same time; few enough that a load spike uses them up. */
const PLAIN_SLOTS = 4;

/**
 * Of this number of runners, two send answers with neither a length nor chunks. Runners are added for both services in
 * turn, so both have some.
 */
const UNFRAMED_EVERY = 4;

/** Software versions of new runners, half of them each; a stream must not hold events of both. */
type SoftwareVersions = readonly [string, string];

/** Number of routes of a large configuration. */
const LARGE_ROUTES = 1_400;

/**
 * Interval at which each runner writes its entry again, in ms. A daemon that knows a runner from another daemon has the
 * address at the other one's link until then.
 */
const HEARTBEAT_MILLISECONDS = 1_200;

/** Minimum number of runners of a service and of a software version; with fewer, a broken stream could not be resumed. */
const FEWEST_RUNNERS = 3;

/** Additional model runners, so that each software version has enough. */
const MORE_ENGINES = 4;

/**
 * Retries earned by each request. A link that is reset breaks more streams in a second than the default budget allows to
 * retry, and the soak does not test the budget.
 */
const RETRY_BUDGET = { ratio: 2, allowance: 2_000, windowSeconds: 10 };

/**
 * Routes whose requests may run once. They allow several attempts nevertheless; otherwise a wrong retry would not show.
 */
const ONCE_ROUTES = [
  { name: 'order', kind: 'non_idempotent', service: 'plain', max_attempts: MAXIMUM_ATTEMPTS },
  {
    name: 'story',
    kind: 'streaming',
    service: 'engine',
    max_attempts: MAXIMUM_ATTEMPTS,
    sticky: true,
  },
];

/** Options of a {@link SoakSite}. */
export interface SoakSiteOptions {
  daemons: number;
  runnersOfService: number;
  /** Folder for settings files. */
  folder: string;
  /** Arguments of the Node.js runtime: its options and the built daemon. */
  program: readonly string[];
}

/** A configuration that the store has acknowledged. */
export interface AcknowledgedVersion {
  readonly version: number;
  /** When it was acknowledged, monotonic ms. */
  readonly at: number;
}

/** Starts, changes and ends the parts of the environment. */
export class SoakSite {
  readonly stand = new StandInSite({ changeBoundMilliseconds: CHANGE_BOUND_MILLISECONDS });

  readonly history = new FaultHistory();

  readonly runs = new RunRecords();

  readonly daemons: SoakDaemon[] = [];

  /** Configurations, in the order of their acknowledgement. */
  readonly versions: AcknowledgedVersion[] = [];

  /** Runners that have neither crashed nor left, by id. */
  readonly runners = new Map<string, SiteRunner>();

  /** Addresses at which links accept connections to runners, by IP address of the link and id of the runner. */
  private readonly paths = new Map<string, string>();

  private readonly options: SoakSiteOptions;

  private softwareVersions: SoftwareVersions = ['v1', 'v1.1'];

  private nextSoftware = 2;

  /** Brittleness that all plain runners announce, including those added later. */
  private brittleness: Brittleness | undefined;

  private nextRunner = 0;

  private endWatch: () => void = () => undefined;

  private heartbeat: NodeJS.Timeout | undefined;

  /**
   * @param options - sizes, and the program of the daemons.
   */
  constructor(options: SoakSiteOptions) {
    this.options = options;
  }

  /** Starts everything. */
  async start(): Promise<void> {
    const { daemons, runnersOfService } = this.options;
    this.endWatch = watchLateness((late) => this.history.noteLateness(late));
    this.stand.store.seenAs = (item, request) => this.seenAs(item, request);
    await this.stand.start();
    this.changeConfiguration(false);
    for (let index = 0; index < daemons; index += 1) await this.addDaemon(index);
    for (let index = 0; index < runnersOfService; index += 1) {
      await this.addRunner('plain');
      await this.addRunner('engine');
    }
    for (let index = 0; index < MORE_ENGINES; index += 1) await this.addRunner('engine');
    await Promise.all(this.daemons.map((daemon) => daemon.start()));
    this.heartbeat = setInterval(() => this.listAll(), HEARTBEAT_MILLISECONDS);
  }

  private listAll(): void {
    const now = performance.now();
    if (this.history.during(['store'], now, now).length > 0) return;
    for (const runner of this.runners.values()) this.list(runner);
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    this.endWatch();
    clearInterval(this.heartbeat);
    await Promise.all(this.daemons.map((daemon) => daemon.stop()));
    for (const runner of this.runners.values()) runner.stop();
    await this.stand.stop();
  }

  /**
   * Puts another version of the configuration into force. It has a route for each version so far, and one that is its own.
   *
   * @param isLarge - whether it has many other routes as well.
   */
  changeConfiguration(isLarge: boolean): void {
    const version = this.versions.length + 2;
    const kept = Array.from({ length: version }, (_, index) => `since-${index + 1}`);
    const filler = Array.from({ length: isLarge ? LARGE_ROUTES : 0 }, (_, at) => `filler-${at}`);
    const plain = { kind: 'idempotent', service: 'plain', max_attempts: MAXIMUM_ATTEMPTS };
    const repeatable = [...kept, `only-${version}`, ...filler].map((name) => ({ ...plain, name }));
    const routes = [...repeatable, ...ONCE_ROUTES].map((route) => ({
      ...route,
      path_prefix: `/${route.name}/`,
    }));
    this.stand.store.write('op/config', siteConfiguration(version, { routes }));
    this.versions.push({ version, at: performance.now() });
    const text = `configuration ${version} is acknowledged, ${routes.length} routes`;
    this.history.begin({ kind: 'configuration', text })();
  }

  /**
   * @param service - service of the runner.
   * @param dataCentre - data centre of the runner.
   * @returns A new runner, listed for each daemon with an address of the daemon's link.
   */
  async addRunner(service: SoakService, dataCentre = 'here'): Promise<SiteRunner> {
    this.nextRunner += 1;
    const id = `${service}-${this.nextRunner}`;
    const runner = new SiteRunner({
      id,
      service,
      dataCentre,
      ...{ echoes: true, servesReport: true },
      version: this.rarerVersion,
      isUnframed: this.nextRunner % UNFRAMED_EVERY < 2,
      events: EVENTS,
      eventMilliseconds: EVENT_MILLISECONDS,
      workMilliseconds: WORK_MILLISECONDS,
      onRan: (request, from) => this.runs.add(request, id, from),
      ...(service === 'plain' && { slots: PLAIN_SLOTS }),
      isFatal: ({ body, headers }) => isFatal({ body, parts: promptPartsOf(headers) }),
      onCrashed: () => this.crashed(runner),
      onRestarted: () => {
        void this.listAnew(runner);
      },
    });
    if (service === 'plain') runner.becomeBrittle(this.brittleness);
    await runner.start();
    await this.openPaths(runner);
    this.runners.set(id, runner);
    this.list(runner);
    return runner;
  }

  /**
   * @param brittleness - brittleness that plain runners announce from now on; `undefined` for none.
   * @returns The plain runners.
   */
  makePlainRunnersBrittle(brittleness: Brittleness | undefined): SiteRunner[] {
    this.brittleness = brittleness;
    const runners = this.runnersOf('plain');
    for (const runner of runners) runner.becomeBrittle(brittleness);
    return runners;
  }

  /** The host of the runner refuses connections from now on; open ones are closed after the longest time of a request. */
  private crashed(runner: SiteRunner): void {
    const text = `${runner.id} crashes at a request`;
    const over = this.history.begin({ kind: 'runner', runner: runner.id, text });
    this.closePaths(runner);
    setTimeout(over, TIMEOUT_MILLISECONDS);
  }

  private async listAnew(runner: SiteRunner): Promise<void> {
    await this.openPaths(runner);
    if (this.runners.has(runner.id)) this.list(runner);
  }

  private async openPaths({ id, ownAddress }: SiteRunner): Promise<void> {
    for (const { link } of this.daemons) {
      this.paths.set(`${link.ownHost} ${id}`, await link.open('runners', ownAddress));
    }
  }

  private closePaths({ id }: SiteRunner): void {
    for (const { link } of this.daemons) link.close(this.paths.get(`${link.ownHost} ${id}`) ?? '');
  }

  /**
   * @param runner - runner that writes its entry.
   * @param state - state in the entry.
   */
  list(runner: SiteRunner, state: 'ready' | 'draining' = 'ready'): void {
    this.stand.store.write(`servers/${runner.id}`, runner.entry(state));
  }

  /**
   * @param runner - runner whose entry is removed.
   */
  unlist(runner: SiteRunner): void {
    this.stand.store.write(`servers/${runner.id}`, undefined);
  }

  /**
   * @param runner - runner that ends at once and refuses connections.
   */
  endRunner(runner: SiteRunner): void {
    this.runners.delete(runner.id);
    runner.stop();
    this.closePaths(runner);
  }

  /**
   * @param service - a service.
   * @returns The runners of the service that have neither crashed nor left.
   */
  runnersOf(service: SoakService): SiteRunner[] {
    return [...this.runners.values()].filter(({ id }) => id.startsWith(service));
  }

  /**
   * @param service - service of the runner.
   * @param choice - random number from 0 up to 1.
   * @returns A runner that may be removed; `undefined` if too few would be left.
   */
  spareRunner(service: SoakService, choice: number): SiteRunner | undefined {
    const all = this.runnersOf(service);
    const hasSpares = ({ version }: SiteRunner) =>
      all.filter((other) => other.version === version).length > FEWEST_RUNNERS;
    const those = service === 'engine' ? all.filter(hasSpares) : all;
    if (all.length <= FEWEST_RUNNERS || those.length === 0) return undefined;
    return those[Math.floor(choice * those.length)];
  }

  /**
   * @param version - software version of a runner.
   * @returns The one at which it starts again.
   */
  otherVersion(version: string): string {
    const [first, second] = this.softwareVersions;
    return version === first ? second : first;
  }

  /** @returns The model runners of the older software version, which a newer one replaces from now on. */
  replaceOlderVersion(): SiteRunner[] {
    const [older, newer] = this.softwareVersions;
    this.softwareVersions = [newer, `v1.${this.nextSoftware}`];
    this.nextSoftware += 1;
    return this.enginesOf(older);
  }

  /** Software version with the fewest model runners. */
  private get rarerVersion(): string {
    const [first, second] = this.softwareVersions;
    return this.enginesOf(first).length <= this.enginesOf(second).length ? first : second;
  }

  private enginesOf(software: string): SiteRunner[] {
    return this.runnersOf('engine').filter(({ version }) => version === software);
  }

  private async addDaemon(index: number): Promise<void> {
    const { folder, program } = this.options;
    const seeds = this.daemons.map(({ process }) => process.settings.addresses.peers);
    const own = await this.stand.settingsOf(`daemon-${index}`, seeds.slice(0, 3));
    const link = new DaemonLink(index, (late) => this.history.noteLateness(late, index));
    const settings: RouterSettings = {
      ...own,
      store: await link.open('store', own.store),
      stopSeconds: STOP_SECONDS,
      retryBudget: RETRY_BUDGET,
    };
    const process = new SiteProcess({ settings, folder, program });
    const callersAddress = await link.open('callers', settings.addresses.callers);
    const { history } = this;
    this.daemons.push(new SoakDaemon({ index, process, link, callersAddress, history }));
  }

  /** Each daemon has its own address for each runner, at its own link, so that a fault can affect a single daemon. */
  private seenAs(item: StoreItem, { socket }: IncomingMessage): StoreItem {
    const [, id] = /^servers\/(.+)$/u.exec(item.key) ?? [];
    const address = this.paths.get(`${socket.remoteAddress} ${id}`);
    if (address === undefined) return item;
    const entry = JSON.parse(Buffer.from(item.value, 'base64').toString()) as object;
    const value = Buffer.from(JSON.stringify({ ...entry, address })).toString('base64');
    return { ...item, value };
  }
}
