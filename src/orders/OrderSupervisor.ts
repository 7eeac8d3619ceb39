/**
 * Runs one order task for each pool whose lease this daemon may acquire.
 */
import type { FleetView } from '../fleet/FleetView.js';
import type { Log } from '../logging/Log.js';
import type { ConfigurationChanges } from '../operators/ConfigurationChanges.js';
import type { PlatformStore } from '../store/PlatformStore.js';
import type { Clock } from '../time/Clock.js';
import type { Upstream } from '../upstreams/Upstream.js';
import { CANDIDATE_COUNT } from './leaseTimings.js';
import type { OrdersSettings } from './ordersFeature.js';
import { OrderTask } from './OrderTask.js';
import type { PoolName } from './poolPicture.js';
import { candidateRank, enginePools, leaseKey, poolsSharingWeights } from './poolPicture.js';

/** Interval at which the fleet is reviewed even if no change was reported, in milliseconds. */
const REVIEW_MILLISECONDS = 1_000;

/** Options of an {@link OrderSupervisor}. */
export interface OrderSupervisorOptions {
  settings: OrdersSettings;
  fleet: FleetView;
  store: PlatformStore;
  changes: ConfigurationChanges;
  /** Creates the connection to the engine at an address. */
  upstreamOf: (address: string) => Upstream;
  clock: Clock;
  log: Log;
}

/** Starts and stops the order tasks of one daemon as pools and its rank for them change. */
export class OrderSupervisor {
  private readonly options: OrderSupervisorOptions;

  private readonly tasks = new Map<string, OrderTask>();

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options - settings and the services that the tasks use.
   */
  constructor(options: OrderSupervisorOptions) {
    this.options = options;
  }

  /** Starts the periodic review. Only the first daemons in rendezvous order call the platform. */
  start(): void {
    this.review();
    this.timer = setInterval(() => this.review(), REVIEW_MILLISECONDS);
  }

  /** Starts and stops tasks to match the pools. Has to be called after changes of the fleet as well. */
  review(): void {
    const { fleet } = this.options;
    const pools = new Map(enginePools(fleet).map((pool) => [leaseKey(pool), pool]));
    for (const [key, task] of this.tasks) {
      if (pools.has(key)) continue;
      task.release();
      this.tasks.delete(key);
    }
    for (const [key, pool] of pools) {
      const rank = candidateRank(fleet, pool);
      const isCandidate = rank >= 0 && rank < CANDIDATE_COUNT;
      // A task stays when the daemon is no longer a candidate: it may hold the lease, and then keeps it.
      if (isCandidate && !this.tasks.has(key)) this.tasks.set(key, this.newTask(pool));
      this.tasks.get(key)?.review();
    }
  }

  /** Stops all tasks and releases their leases. */
  stop(): void {
    clearInterval(this.timer);
    for (const task of this.tasks.values()) task.release();
    this.tasks.clear();
  }

  private newTask(pool: PoolName): OrderTask {
    const { settings, fleet, ...others } = this.options;
    const { daemonId, incarnation } = fleet.self();
    const poolCount = poolsSharingWeights(fleet, pool.dataCentre);
    const { longestOrderMilliseconds, longestDrainMilliseconds, longestSilenceMilliseconds } =
      settings;
    return new OrderTask({
      ...others,
      fleet,
      pool,
      longestOrderMilliseconds,
      decisions: {
        lease: {
          key: leaseKey(pool),
          holder: `${daemonId}#${incarnation}`,
          timings: {
            timeToLiveMilliseconds: settings.leaseTimeToLiveMilliseconds,
            longestOrderMilliseconds,
          },
        },
        rollout: {
          timings: { longestDrainMilliseconds, longestSilenceMilliseconds },
          weightBytesPerSecond: settings.weightStoreBytesPerSecond / poolCount,
          concurrentLoads: Math.max(1, Math.floor(settings.weightStoreConcurrentLoads / poolCount)),
        },
      },
    });
  }
}
