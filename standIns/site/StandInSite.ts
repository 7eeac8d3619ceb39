/**
 * A small site on loopback, in this process: a store, runners, and daemons that forward directly.
 */
import { PlatformRunnerProtocol } from '../../platform/headers.js';
import { servePlatformEndpoints } from '../../platform/servePlatformEndpoints.js';
import { StoreClient } from '../../platform/StoreClient.js';
import type { Log } from '../../src/logging/Log.js';
import { SilentLog } from '../../src/logging/Log.js';
import { RouterDaemon } from '../../src/router/RouterDaemon.js';
import type { RouterSettings } from '../../src/router/routerFeature.js';
import { routerSettings } from '../../src/router/routerFeature.js';
import { freePort } from './freePort.js';
import { SiteLinks } from './SiteLinks.js';
import type { SiteRunnerOptions } from './siteRunnerTypes.js';
import { SiteRunner } from './SiteRunner.js';
import { StoreStandIn } from './StoreStandIn.js';

/** Host name of all routes. */
export const SITE_HOST = 'site.example';

/** Key of the only client account. */
export const SITE_KEY = 'key-of-the-account';

/** A daemon with its settings and servers. */
export interface SiteDaemon {
  readonly daemon: RouterDaemon;
  readonly settings: RouterSettings;
  /** Closes its readiness and directory servers. */
  readonly closeRoles: () => void;
}

/** Options of a {@link StandInSite}. */
export interface StandInSiteOptions {
  log?: Log;
  /** Interval between checks of a condition, in ms. */
  pollMilliseconds?: number;
  /** Time within which changes have to be in force, in ms. */
  changeBoundMilliseconds?: number;
  /** Region of each data centre. */
  dataCentreRegions?: Readonly<Record<string, string>>;
  /** Retries earned by each request; a daemon that has just started has earned none. */
  retryRatio?: number;
  /** Whether each daemon has a link of its own to the store and the runners. */
  hasLinks?: boolean;
}

/**
 * Creates a configuration of the site.
 *
 * @param version - version number, which grows with each change.
 * @param changes - routes to add, and the route timeout in ms.
 * @returns The configuration in the form in which operators write it.
 */
export function siteConfiguration(
  version: number,
  { routes = [], timeout = 5_000 }: { routes?: readonly object[]; timeout?: number } = {},
): object {
  const common = { hostname: SITE_HOST, timeout_ms: timeout, target_latency_ms: 500, priority: 1 };
  return {
    version,
    routes: [
      {
        ...common,
        name: 'read',
        path_prefix: '/read/',
        kind: 'idempotent',
        service: 'plain',
        max_attempts: 2,
      },
      {
        ...common,
        name: 'write',
        path_prefix: '/write/',
        kind: 'non_idempotent',
        service: 'plain',
        max_attempts: 1,
      },
      {
        ...common,
        name: 'chat',
        path_prefix: '/chat/',
        kind: 'streaming',
        service: 'engine',
        max_attempts: 2,
        sticky: true,
        resumable: true,
      },
      {
        ...common,
        name: 'draft',
        path_prefix: '/draft/',
        kind: 'streaming',
        service: 'engine',
        max_attempts: 1,
        sticky: true,
      },
      ...routes.map((route) => ({ ...common, ...route })),
    ],
    services: ['plain', 'engine'].map((name) => ({ name, max_connections: 100 })),
    limits: {
      max_header_bytes: 4_096,
      max_body_bytes: 1_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'account-1', api_keys: [SITE_KEY] }],
  };
}

/** Starts and stops the parts of the site. */
export class StandInSite {
  readonly store = new StoreStandIn();

  readonly runners: SiteRunner[] = [];

  readonly daemons: SiteDaemon[] = [];

  private readonly log: Log;

  private readonly pollMilliseconds: number;

  private readonly changeBoundMilliseconds: number;

  private readonly dataCentreRegions: Readonly<Record<string, string>>;

  private readonly retryRatio: number;

  /** Links of the daemons, if they have any. */
  readonly links: SiteLinks | undefined;

  private storeAddress = '';

  /**
   * @param options - log, intervals and limits.
   */
  constructor({
    log = new SilentLog(),
    pollMilliseconds = 5,
    changeBoundMilliseconds = 50,
    dataCentreRegions = { here: 'region' },
    retryRatio = 0.2,
    hasLinks = false,
  }: StandInSiteOptions = {}) {
    this.links = hasLinks ? new SiteLinks() : undefined;
    this.log = log;
    this.changeBoundMilliseconds = changeBoundMilliseconds;
    this.dataCentreRegions = dataCentreRegions;
    this.pollMilliseconds = pollMilliseconds;
    this.retryRatio = retryRatio;
  }

  /** Starts the store with a first configuration. */
  async start(): Promise<void> {
    this.storeAddress = await this.store.start();
    const { links } = this;
    if (links) this.store.seenAs = (item, request) => links.seenAs(item, request);
    this.store.write('op/config', siteConfiguration(1));
  }

  /**
   * @param options - options of the runner.
   * @returns A started runner that is listed in the store.
   */
  async addRunner(options: SiteRunnerOptions): Promise<SiteRunner> {
    const list = (runner: SiteRunner) => this.store.write(`servers/${runner.id}`, runner.entry());
    const runner: SiteRunner = new SiteRunner({ onRestarted: () => list(runner), ...options });
    await runner.start();
    await this.links?.addRunner(runner);
    this.runners.push(runner);
    list(runner);
    return runner;
  }

  /**
   * @param name - name of a daemon.
   * @param seeds - addresses of daemons that it may poll.
   * @param dataCentre - its data centre.
   * @returns Its settings, with ports reserved for it.
   */
  async settingsOf(
    name: string,
    seeds: readonly string[] = [],
    dataCentre = 'here',
  ): Promise<RouterSettings> {
    const roles = ['callers', 'readiness', 'directory', 'peers', 'news', 'metrics'];
    const ports = await Promise.all(roles.map(() => freePort()));
    const store = await this.links?.add(name, this.storeAddress, this.runners);
    const addresses = Object.fromEntries(
      roles.map((role, index) => [role, `127.0.0.1:${ports[index]}`]),
    );
    return routerSettings.parse({
      name,
      region: this.dataCentreRegions[dataCentre] ?? 'region',
      dataCentre,
      dataCentreRegions: { ...this.dataCentreRegions },
      addresses,
      seeds: [...seeds],
      store: store ?? this.storeAddress,
      stopSeconds: 2,
      changeBoundsMilliseconds: [this.changeBoundMilliseconds],
      retryBudget: { ratio: this.retryRatio },
    });
  }

  /**
   * @param name - name of the daemon.
   * @param seeds - addresses of daemons that it may poll.
   * @param dataCentre - its data centre.
   * @returns The daemon, which listens and runs in this process.
   */
  async addDaemon(
    name: string,
    seeds: readonly string[] = [],
    dataCentre = 'here',
  ): Promise<SiteDaemon> {
    const settings = await this.settingsOf(name, seeds, dataCentre);
    const store = new StoreClient({ address: () => settings.store });
    const protocol = new PlatformRunnerProtocol();
    const daemon = new RouterDaemon({ settings, store, protocol, log: this.log });
    await daemon.start();
    const servers = await servePlatformEndpoints(daemon, settings);
    const closeRoles = () => servers.forEach((server) => server.close());
    const made = { daemon, settings, closeRoles };
    this.daemons.push(made);
    return made;
  }

  /**
   * Waits for a condition.
   *
   * @param condition - checked at intervals until it holds.
   */
  async until(condition: () => boolean | Promise<boolean>): Promise<void> {
    while (!(await condition())) {
      await new Promise((done) => {
        setTimeout(done, this.pollMilliseconds);
      });
    }
  }

  /** Waits until all daemons are ready, know each other, and can read each other's messages. */
  async untilConnected(): Promise<void> {
    await this.until(() =>
      this.daemons.every(
        ({ daemon: { isReady, knowledge } }) =>
          isReady &&
          knowledge.daemons.size === this.daemons.length &&
          knowledge.secret !== undefined,
      ),
    );
  }

  /** Stops all parts. */
  async stop(): Promise<void> {
    this.store.faultFor({ fault: 'none' });
    await Promise.all(this.daemons.map(({ daemon }) => daemon.stop()));
    for (const { closeRoles } of this.daemons) closeRoles();
    for (const runner of this.runners) runner.stop();
    await this.links?.close();
    this.store.stop();
  }
}
