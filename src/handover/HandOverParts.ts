/**
 * Connects the parts with which a daemon hands requests over to others and takes theirs.
 */
import type { RequestListener } from 'node:http';

import type { MemoryBudget } from '../clients/MemoryBudget.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import type { ForwardingContext } from '../forwarding/forwardingTypes.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Runner } from '../runners/Runner.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { HandOverServer } from './HandOverServer.js';
import { HandOverTask } from './HandOverTask.js';
import type { PathReports } from './PathReports.js';
import { RunnerPath } from './RunnerPath.js';
import { RunnerPathMonitor } from './RunnerPathMonitor.js';

/** Options of {@link HandOverParts}. */
export interface HandOverPartsOptions {
  /** This daemon's entry in the list of daemons. */
  daemon: DaemonEntry;
  /** Returns all listed runners. */
  runners: () => readonly Runner[];
  /** Returns the available daemons except this one. */
  daemons: () => readonly DaemonEntry[];
  /** What the other daemons say of their paths. */
  reports: PathReports;
  /** Returns the fleet's secret, or `undefined` while it is unknown. */
  secret: () => string | undefined;
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
}

/** Owns the parts of one daemon. */
export class HandOverParts {
  /** Whether this daemon reaches the runners. */
  readonly path: RunnerPath;

  /** Hands requests over. */
  readonly task: HandOverTask;

  private server: HandOverServer | undefined;

  private readonly monitor: RunnerPathMonitor;

  private readonly options: HandOverPartsOptions;

  /** When the path was lost, monotonic ms. */
  private lostAt = 0;

  /**
   * @param options - this daemon, the runners and the other daemons.
   */
  constructor(options: HandOverPartsOptions) {
    const { daemon, runners, daemons, reports, secret, clock, log, registry } = options;
    this.options = options;
    this.path = new RunnerPath({
      runnerCount: () => runners().length,
      onChange: (isLost, now) => this.reportChange(isLost, now),
      confirm: (done) => this.monitor.confirmLoss(done),
    });
    const { path } = this;
    this.monitor = new RunnerPathMonitor({ path, runners, clock });
    const hasNoPath = (name: string) => reports.hasNoPath(name, clock.monotonicMilliseconds());
    const shared = { daemon, daemons, secret, clock, log, registry };
    this.task = new HandOverTask({ ...shared, path, hasNoPath });
  }

  /**
   * @param context - what requests of this daemon need.
   * @param isAllowedHost - tells whether a host is one of the fleet's.
   * @param budget - memory for all clients, whose requests other daemons hand over.
   * @returns Handler of the requests that other daemons hand over.
   */
  handlerFor(
    context: ForwardingContext,
    isAllowedHost: (host: string) => boolean,
    budget: MemoryBudget,
  ): RequestListener {
    const { path, options } = this;
    const { secret } = options;
    const server = new HandOverServer({ context, path, isAllowedHost, secret, budget });
    this.server = server;
    return (request, response) => server.take(request, response);
  }

  /** @returns Number of requests of other daemons whose answers are not complete. */
  get inProgress(): number {
    return this.server?.inProgress ?? 0;
  }

  /** Ends the requests of other daemons, as this daemon stops. */
  endRemaining(): void {
    this.server?.endRemaining();
  }

  /** Starts to look at the path. */
  start(): void {
    this.monitor.start();
  }

  /** Ends it, and closes the connections to other daemons. */
  stop(): void {
    this.monitor.stop();
    this.task.close();
  }

  private reportChange(isLost: boolean, now: number): void {
    const { log, runners } = this.options;
    if (isLost) {
      this.lostAt = now;
      log.write(forwardingLogEvents.pathLost, { runners: runners().length });
      return;
    }
    const milliseconds = Math.round(now - this.lostAt);
    log.write(forwardingLogEvents.pathBack, { milliseconds });
  }
}
