/**
 * Load reports that lag: what a reader sees is the newest load that is old enough.
 */
import type { BatchLoad } from './EngineBatch.js';

/** Options of a {@link LoadHistory}. */
export interface LoadHistoryOptions {
  lagMilliseconds: number;
  /** Monotonic milliseconds. */
  now?: () => number;
}

/** Loads that are kept. */
const MAXIMUM_KEPT = 2_000;

/** Remembers past loads. */
export class LoadHistory {
  private readonly lagMilliseconds: number;

  private readonly now: () => number;

  private readonly past: { readonly at: number; readonly load: BatchLoad }[] = [];

  /**
   * @param options - the lag.
   */
  constructor({ lagMilliseconds, now = () => performance.now() }: LoadHistoryOptions) {
    this.lagMilliseconds = lagMilliseconds;
    this.now = now;
  }

  /**
   * @param load - the load from now on.
   */
  add(load: BatchLoad): void {
    this.past.push({ at: this.now(), load });
    if (this.past.length > MAXIMUM_KEPT) this.past.shift();
  }

  /**
   * @param current - the load of this moment, read where there is no lag or no history.
   * @returns The newest load that is old enough, and its age.
   */
  read(current: BatchLoad): { readonly load: BatchLoad; readonly ageMilliseconds: number } {
    if (this.lagMilliseconds === 0) return { load: current, ageMilliseconds: 0 };
    const now = this.now();
    const old = this.past.findLast(({ at }) => at <= now - this.lagMilliseconds);
    if (!old) return { load: this.past[0]?.load ?? current, ageMilliseconds: this.lagMilliseconds };
    return { load: old.load, ageMilliseconds: this.lagMilliseconds };
  }
}
