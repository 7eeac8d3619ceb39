/**
 * Creates the context that all requests of a daemon share.
 */
import type { CapacityParts } from '../capacity/CapacityParts.js';
import type { FleetCoordination } from '../coordination/FleetCoordination.js';
import { fetchRunnerLife } from '../forwarding/fetchRunnerLife.js';
import { createForwardingMetrics } from '../forwarding/ForwardingMetrics.js';
import type { ForwardingContext } from '../forwarding/forwardingTypes.js';
import { LinkCheck } from '../forwarding/LinkCheck.js';
import { RunnerNotices } from '../forwarding/RunnerNotices.js';
import { SharedRetryBudget } from '../forwarding/SharedRetryBudget.js';
import type { RunnerPath } from '../handover/RunnerPath.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import { unavailabilityOf } from '../runners/unavailability.js';
import { LifeChecks } from '../streamVersions/LifeChecks.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { StoreFollower } from '../sync/StoreFollower.js';
import type { RouterSettings } from './routerFeature.js';

/** Options of {@link createForwardingContext}. */
export interface ForwardingContextOptions extends Pick<
  ForwardingContext,
  | 'clock'
  | 'log'
  | 'protocol'
  | 'connections'
  | 'quarantine'
  | 'stopPhase'
  | 'handOver'
  | 'streamVersions'
> {
  settings: RouterSettings;
  knowledge: FleetKnowledge;
  coordination: FleetCoordination;
  registry: MetricRegistry;
  capacity: CapacityParts;
  path: RunnerPath;
  follower: () => Pick<
    StoreFollower,
    'isStoreUnresponsive' | 'isConfigurationBehind' | 'unreachedAnnouncement'
  >;
}

/**
 * @param options - the settings, and the parts of the daemon that requests use.
 * @returns The context shared by all requests, with its metrics registered.
 */
export function createForwardingContext({
  settings,
  knowledge,
  coordination,
  registry,
  capacity,
  path,
  follower,
  ...parts
}: ForwardingContextOptions): ForwardingContext {
  const { clock, log, protocol } = parts;
  const { admission } = coordination;
  const { ratio, allowance, windowSeconds } = settings.retryBudget;
  const windowMilliseconds = windowSeconds * 1_000;
  // Limits of the whole fleet are divided by all listed daemons, alive or not: in a network partition each part of the
  // fleet would otherwise take the other for dead and use the whole limit.
  const daemons = () =>
    knowledge.daemonsSharingLimits(windowMilliseconds, clock.monotonicMilliseconds());
  const metrics = createForwardingMetrics(registry);
  registry
    .gauge({ name: 'daemons_out', help: 'Listed daemons that are dead or stop.' })
    .readFrom(() => coordination.liveness.unavailableCount);
  registry
    .gauge({ name: 'data_centres_evacuated', help: 'Evacuated data centres.' })
    .readFrom(() => knowledge.evacuated.length);
  const retryRoom = registry.gauge({
    name: 'retry_budget_room',
    help: 'Requests to a service that may be sent once more at this moment.',
    labels: ['service'] as const,
  });
  const budget = new SharedRetryBudget({
    ratio,
    allowance,
    windowMilliseconds,
    daemons,
    startedAt: clock.monotonicMilliseconds(),
    onService: (service, roomAt) =>
      retryRoom.readFrom(() => roomAt(clock.monotonicMilliseconds()), { service }),
  });
  const runners = () => knowledge.runners.list();
  registry
    .gauge({ name: 'runners_cold', help: 'Runners that bear a few requests a second only.' })
    .readFrom(() => {
      const now = clock.monotonicMilliseconds();
      return runners().filter((runner) => admission.isCold(runner, now)).length;
    });
  const lifeChecks = new LifeChecks({
    clock,
    fetchLife: (runner, done) => fetchRunnerLife({ runner, protocol }, done),
    onLife: (...report) => coordination.restartNotices.recordLife(...report),
  });
  return {
    ...parts,
    lifeChecks,
    daemons,
    metrics,
    link: new LinkCheck({ runners, clock, log, metrics, path }),
    selector: coordination.selector,
    onConnectionRefused: (runner) => coordination.restartNotices.recordLost(runner, 'refused'),
    onConnectionBroken: (runner) => coordination.restartNotices.recordBroken(runner),
    statements: new RunnerNotices({
      protocol,
      clock,
      log,
      brittleRunners: admission.brittleRunners,
      onStatedLoad: (runner, load, now) => capacity.recordStated(runner, load, now),
      onLeaving: ({ entry }) => coordination.leaveNotices.recordFromRunner(entry.life),
    }),
    workObserver: capacity.workObserver,
    budget,
    unavailabilityOf: ({ service, homeRegions, softwareVersion }, now) =>
      unavailabilityOf({
        ...{ runners: knowledge.runners, admission, service, homeRegions, softwareVersion, now },
      }),
    routes: () => knowledge.routes,
    isStoreSilent: () => follower().isStoreUnresponsive,
    isConfigurationBehind: () => follower().isConfigurationBehind,
    unreachedAnnouncement: () => follower().unreachedAnnouncement,
  };
}
