/**
 * Limits the loading of model weights to the rate of the weight store.
 *
 * Without this limit all empty runners of a pool would load at once. Each load would take as long as all of
 * them together, time out, and be ordered again.
 */

/** Options of a {@link WeightPacer}. */
export interface WeightPacerOptions {
  /** This pool's share of the weight store's rate, in bytes per second. */
  bytesPerSecond: number;
  /** Maximum number of concurrent loads in this pool. */
  concurrentLoads: number;
}

const MILLISECONDS_A_SECOND = 1000;

/** Rate and concurrency limiter for the loads of one pool. */
export class WeightPacer {
  private readonly bytesPerSecond: number;

  private readonly concurrentLoads: number;

  private readonly loads = new Set<string>();

  private nextAt = -Infinity;

  /**
   * @param options - the rate and the number of concurrent loads.
   */
  constructor({ bytesPerSecond, concurrentLoads }: WeightPacerOptions) {
    this.bytesPerSecond = bytesPerSecond;
    this.concurrentLoads = concurrentLoads;
  }

  /**
   * @param now - monotonic time in milliseconds.
   * @param runnerId - ID of the runner that is to load.
   * @returns Whether the load may begin now. A load in progress may always be ordered again.
   */
  allows(now: number, runnerId: string): boolean {
    if (this.loads.has(runnerId)) return true;
    return this.loads.size < this.concurrentLoads && now >= this.nextAt;
  }

  /**
   * Registers a load that begins, or that was found in progress.
   *
   * @param now - monotonic time in milliseconds.
   * @param runnerId - ID of the runner that loads.
   * @param bytes - size of the weights.
   */
  begin(now: number, runnerId: string, bytes: number): void {
    if (this.loads.has(runnerId)) return;
    this.loads.add(runnerId);
    const duration = (bytes / this.bytesPerSecond) * MILLISECONDS_A_SECOND;
    this.nextAt = Math.max(now, this.nextAt) + duration;
  }

  /** @param runnerId - ID of the runner whose load has ended, successfully or not. */
  end(runnerId: string): void {
    this.loads.delete(runnerId);
  }

  /**
   * @param bytes - size of the weights.
   * @returns How long a load takes at the full rate, in milliseconds.
   */
  expectedMilliseconds(bytes: number): number {
    return (bytes / this.bytesPerSecond) * MILLISECONDS_A_SECOND;
  }

  /**
   * @param now - monotonic time in milliseconds.
   * @returns Monotonic time at which the rate allows the next load, or `undefined` if it does so now.
   */
  nextDueTime(now: number): number | undefined {
    return this.nextAt > now ? this.nextAt : undefined;
  }

  /** Forgets all loads, because another holder may have begun loads in the meantime. */
  reset(): void {
    this.loads.clear();
    this.nextAt = -Infinity;
  }
}
