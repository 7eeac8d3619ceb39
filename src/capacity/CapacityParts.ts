/**
 * The parts of a daemon that keep the capacity of runners.
 */
import type { DaemonNews } from '../generated/baobabdock/v1/news_pb.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Runner } from '../runners/Runner.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { Clock } from '../time/Clock.js';
import type { WorkObserver } from './AttemptWork.js';
import { capacityLogEvents } from './capacityFeature.js';
import type { StatedLoad } from './capacityTypes.js';
import { ObservedCapacity } from './ObservedCapacity.js';
import type { ObservedCapacityOptions } from './ObservedCapacity.js';
import { applySpeedReports, SpeedReports } from './SpeedReports.js';

/** Options of {@link CapacityParts}. */
export interface CapacityPartsOptions extends Omit<ObservedCapacityOptions, 'onStated'> {
  runners: RunnerTable;
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
}

/** Estimates of this daemon, and what it reports to others. */
export class CapacityParts {
  readonly view: ObservedCapacity;

  readonly reports = new SpeedReports();

  private readonly options: CapacityPartsOptions;

  /**
   * @param options - the runners, and what other daemons have there.
   */
  constructor(options: CapacityPartsOptions) {
    this.options = options;
    const { log, registry } = options;
    const rate = registry.gauge({
      name: 'reading_tokens_per_millisecond',
      help: 'Prompt tokens that a usual runner of the service reads in a millisecond.',
      labels: ['service'] as const,
    });
    this.view = new ObservedCapacity({
      ...options,
      onStated: (service) => {
        log.write(capacityLogEvents.speedStated, { service });
        rate.readFrom(() => this.view.runnerRate(service), { service });
      },
    });
  }

  /** @returns Receives what attempts show of the speed of their runners. */
  get workObserver(): WorkObserver {
    return { capacity: this.view, reports: this.reports };
  }

  /**
   * Records the load that a runner has stated to this daemon.
   *
   * @param runner - the runner.
   * @param load - its statement.
   * @param now - monotonic ms.
   */
  recordStated(runner: Runner, load: StatedLoad, now: number): void {
    const { slowdown } = load;
    if (slowdown === undefined) return;
    this.view.recordStated(runner, load, now);
    this.reports.recordStated(runner.entry.life, slowdown, now);
  }

  /**
   * Records what another daemon has heard of the speed of runners.
   *
   * @param news - message of the daemon.
   */
  handleNews({ speeds: reports }: DaemonNews): void {
    const { runners, clock } = this.options;
    const now = clock.monotonicMilliseconds();
    applySpeedReports({ reports, runners, capacity: this.view, now });
  }
}
