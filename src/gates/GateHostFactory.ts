/**
 * Creates the gates of a daemon, each with the upstream adapter of its runner.
 */
import type { DecisionStep } from '../decisions/DecisionTask.js';
import type { FleetRunner, FleetView } from '../fleet/FleetView.js';
import type { Service } from '../generated/baobabdock/v1/configuration_pb.js';
import type { HomePort } from '../homes/HomePort.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Clock } from '../time/Clock.js';
import { createUpstream } from '../upstreams/createUpstream.js';
import type { Upstream } from '../upstreams/Upstream.js';
import type { UpstreamsSettings } from '../upstreams/upstreamsFeature.js';
import { CacheMoveTask } from './CacheMoveTask.js';
import { toHomeChange } from './GateHostDigests.js';
import type { GatesSettings } from './gatesFeature.js';
import { GateTask } from './GateTask.js';
import { GateTaskMetrics } from './GateTaskMetrics.js';
import type { GateAction, GateMessage } from './gateTypes.js';

/** Options of a {@link GateHostFactory}. */
export interface GateHostFactoryOptions {
  fleet: FleetView;
  homes: HomePort;
  clock: Clock;
  log: Log;
  settings: GatesSettings;
  upstreamsSettings?: UpstreamsSettings;
  /** Creates a runner's upstream adapter; tests pass a fake. */
  createUpstream?: (runner: FleetRunner, service: Service) => Upstream;
  /** Registry for the counters of decisions and faults. */
  metrics?: MetricRegistry;
  /** Called for each decision step of each gate, to record sessions. */
  record?: (runnerId: string, step: DecisionStep<GateMessage, GateAction>) => void;
}

/** Creates the gates of one daemon, and holds the metrics and cache moves that they share. */
export class GateHostFactory {
  /** Moves KV caches away from leaving runners, and those of chats that a runner above its bound refused. */
  readonly cacheMoves: CacheMoveTask;

  private readonly options: GateHostFactoryOptions;

  private readonly metrics: GateTaskMetrics | undefined;

  /**
   * @param options - the dependencies and settings that all gates of the daemon share.
   */
  constructor(options: GateHostFactoryOptions) {
    this.options = options;
    const { fleet, homes, clock, log, settings, metrics } = options;
    this.metrics = metrics && new GateTaskMetrics({ registry: metrics });
    this.cacheMoves = new CacheMoveTask({
      fleet,
      homes,
      clock,
      log,
      settings,
      createUpstream: (runner) => {
        const service = fleet.service(runner.record.service);
        return service && this.createUpstream(runner, service);
      },
    });
  }

  /**
   * Creates the gate of a runner; it is not open yet.
   *
   * @param runner - the runner.
   * @param service - the runner's service.
   * @returns The gate.
   * @throws VError when the runner's address is not an IP address with a port.
   */
  createGate(runner: FleetRunner, service: Service): GateTask {
    const { homes, record, clock, log, settings } = this.options;
    const task = new GateTask({
      runnerId: runner.id,
      service: service.name,
      isEngine: service.kind !== 'plain',
      upstream: this.createUpstream(runner, service),
      clock,
      log,
      settings,
      maximumConcurrent: service.maximumConcurrentPerRunner,
      maximumQueued: service.maximumQueuedPerRunner,
      onCacheChanged: (changes) => homes.reportChanges(changes.map(toHomeChange)),
      onWarmRefused: (change) => this.cacheMoves.onWarmRefused(runner, change, task.watch),
      metrics: this.metrics,
      record: record && ((step) => record(runner.id, step)),
    });
    return task;
  }

  private createUpstream(runner: FleetRunner, service: Service): Upstream {
    const { createUpstream: create, upstreamsSettings } = this.options;
    if (create) return create(runner, service);
    return createUpstream({ runner: runner.record, service, settings: upstreamsSettings });
  }
}
