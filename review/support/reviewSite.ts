/**
 * A small site for a case: the stand-in of the store in this process, and daemons as processes, started with the command
 * of the deploy file.
 */
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { SITE_HOST, SITE_KEY, StandInSite } from '../../standIns/site/StandInSite.js';
import { SiteProcess } from '../../standIns/site/SiteProcess.js';

/** The bounds of the small deployments on the users' pages. */
const BOUNDS = {
  stopSeconds: 8,
  changeBoundsMilliseconds: [2_000, 2_000],
  linkMegabits: 1_000,
  retryBudget: { ratio: 0.2, allowance: 58, windowSeconds: 10 },
};

const RUN = /^run = "node (.*) --callers=\{\{listen\.front\}\}"$/mu;

/** Arguments of the runtime in the deploy file; the program is the one that its build has made. */
function programOfDeployment(): string[] {
  const [, command] = RUN.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
  if (command === undefined) throw new Error('deploy/system.toml does not say how to run it');
  return command.split(' ');
}

/** One route of a case; what it leaves out is the same for all. */
export interface CaseRoute {
  readonly name: string;
  readonly path_prefix: string;
  readonly kind: 'idempotent' | 'non_idempotent' | 'streaming';
  readonly service: string;
  readonly timeout_ms: number;
  readonly target_latency_ms: number;
  readonly max_attempts: number;
  readonly sticky?: boolean;
  readonly resumable?: boolean;
}

/**
 * @param version - version of the configuration.
 * @param routes - its routes.
 * @returns The configuration as operators write it.
 */
export function configurationOf(version: number, routes: readonly CaseRoute[]): object {
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    version,
    routes: routes.map((route) => ({ hostname: SITE_HOST, priority: 1, ...route })),
    services: services.map((name) => ({ name, max_connections: 370 })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'account-1', api_keys: [SITE_KEY] }],
  };
}

/** The store and the daemons of a case. */
export class ReviewedSite {
  readonly site: StandInSite;

  processes: readonly SiteProcess[] = [];

  private readonly folder = mkdtempSync(join(tmpdir(), 'review-'));

  /**
   * @param options - whether each daemon has a link of its own to the store and the runners.
   */
  constructor(options: { hasLinks?: boolean } = {}) {
    this.site = new StandInSite(options);
  }

  /**
   * Starts the store with a first configuration.
   *
   * @param routes - the routes.
   */
  async start(routes: readonly CaseRoute[]): Promise<void> {
    await this.site.start();
    this.site.store.write('op/config', configurationOf(2, routes));
  }

  /**
   * Starts daemons and waits until they are ready.
   *
   * @param count - how many.
   */
  async startDaemons(count: number): Promise<void> {
    const program = programOfDeployment();
    const processes: SiteProcess[] = [];
    for (let index = 0; index < count; index += 1) {
      const settings = { ...(await this.site.settingsOf(`daemon-${index}`)), ...BOUNDS };
      processes.push(new SiteProcess({ settings, folder: this.folder, program }));
    }
    this.processes = processes;
    for (const one of processes) one.start();
    for (const one of processes) await this.site.until(() => one.isReady());
  }

  /**
   * @param index - number of a daemon.
   * @returns Its address for callers.
   */
  addressOf(index: number): string {
    return this.processes[index % this.processes.length]?.settings.addresses.callers ?? '';
  }

  /** Ends all processes that were started. */
  async stop(): Promise<void> {
    await Promise.all(this.processes.map((one) => one.kill()));
    await this.site.stop();
    rmSync(this.folder, { recursive: true });
  }
}
