/**
 * Keeps one order task for each pool whose lease this daemon may come to hold.
 */
import type { FleetView } from '../fleet/FleetView.js';
import type { Log } from '../logging/Log.js';
import type { ConfigurationChanges } from '../operators/ConfigurationChanges.js';
import type { PlatformStore } from '../store/PlatformStore.js';
import type { Clock } from '../time/Clock.js';
import type { Upstream } from '../upstreams/Upstream.js';
import { CANDIDATES } from './leaseTimings.js';
import type { OrdersSettings } from './ordersFeature.js';
import { OrderTask } from './OrderTask.js';
import type { PoolName } from './poolPicture.js';
import { candidateRank, enginePools, leaseKey, poolsSharingWeights } from './poolPicture.js';

/** Between two looks at the fleet when nothing has told of a change, in milliseconds. */
const REVIEW_MILLISECONDS = 1_000;

/** Options of an {@link OrderSupervisor}. */
export interface OrderSupervisorOptions {
  settings: OrdersSettings;
  fleet: FleetView;
  store: PlatformStore;
  changes: ConfigurationChanges;
  /** Makes the connection to an engine. */
  upstreamOf: (address: string) => Upstream;
  clock: Clock;
  log: Log;
}

/** All pools of one daemon. */
export class OrderSupervisor {
  private readonly options: OrderSupervisorOptions;

  private readonly tasks = new Map<string, OrderTask>();

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options - what the tasks need.
   */
  constructor(options: OrderSupervisorOptions) {
    this.options = options;
  }

  /** Begins; the platform is asked by the first daemons in hash order only. */
  start(): void {
    this.review();
    this.timer = setInterval(() => this.review(), REVIEW_MILLISECONDS);
  }

  /** Compares tasks with pools; to be called after changes of the fleet as well. */
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
      const near = rank >= 0 && rank < CANDIDATES;
      // A task outlives its rank: it may hold the lease, and then keeps it.
      if (near && !this.tasks.has(key)) this.tasks.set(key, this.newTask(pool));
      this.tasks.get(key)?.review();
    }
  }

  /** A planned stop: gives all leases back. */
  stop(): void {
    clearInterval(this.timer);
    for (const task of this.tasks.values()) task.release();
    this.tasks.clear();
  }

  private newTask(pool: PoolName): OrderTask {
    const { settings, fleet, ...others } = this.options;
    const { daemonId, incarnation } = fleet.self();
    const sharing = poolsSharingWeights(fleet, pool.dataCentre);
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
          weightBytesPerSecond: settings.weightStoreBytesPerSecond / sharing,
          concurrentLoads: Math.max(1, Math.floor(settings.weightStoreConcurrentLoads / sharing)),
        },
      },
    });
  }
}
