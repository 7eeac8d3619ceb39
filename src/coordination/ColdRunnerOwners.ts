/**
 * Assigns each cold runner to a few owner daemons, which alone admit requests to it. The owners are taken from the
 * coordinators, or from all daemons of a small fleet, by rendezvous hashing, so that daemons with the same list agree
 * on them.
 */
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { ColdOwnership } from '../runners/ColdStarts.js';
import type { Clock } from '../time/Clock.js';

/**
 * Owners of one cold runner. With a single owner, only the prompts that this daemon chooses for could use the runner.
 * All owners may send at the same moment, so each one adds to what a runner receives within a second.
 */
const MAXIMUM_OWNERS = 4;

/** Incarnations whose share is cached; a fleet has fewer cold runners at a time. */
const MAXIMUM_CACHED_SHARES = 5_000;

/** Options of a {@link ColdRunnerOwners}. */
export interface ColdRunnerOwnersOptions {
  /** This daemon's name. */
  daemon: string;
  clock: Clock;
  /** Names of the daemons that choose runners, from which owners are taken. */
  deciders: () => readonly string[];
  /** Maximum number of owners of one runner. */
  maximumOwners?: number;
}

/**
 * Computes this daemon's share of each cold runner, and for how long the set of eligible daemons has been unchanged.
 */
export class ColdRunnerOwners {
  private readonly options: ColdRunnerOwnersOptions;

  /** Sorted names of the eligible daemons, to detect changes. */
  private eligibleNames = '';

  /** When the set of eligible daemons last changed, monotonic ms. */
  private changedAt: number;

  /** This daemon's share, by incarnation of a runner; valid while the set of eligible daemons is unchanged. */
  private readonly shares = new Map<string, number>();

  /**
   * @param options - this daemon's name and the daemons that may be owners.
   */
  constructor(options: ColdRunnerOwnersOptions) {
    this.options = options;
    this.changedAt = options.clock.monotonicMilliseconds();
  }

  /**
   * Returns this daemon's share of a runner's cold rate and how long that share has been stable.
   *
   * @param life - the runner's incarnation.
   * @returns This daemon's ownership; its share is 0 where it is not an owner.
   */
  ownershipOf(life: string): ColdOwnership {
    const names = this.options.deciders();
    const now = this.options.clock.monotonicMilliseconds();
    this.trackEligibleDaemons(names, now);
    const share = this.shares.get(life) ?? this.shareOf(life, names);
    if (this.shares.size >= MAXIMUM_CACHED_SHARES) this.shares.clear();
    this.shares.set(life, share);
    return { share, stableMilliseconds: now - this.changedAt };
  }

  private trackEligibleDaemons(names: readonly string[], now: number): void {
    const eligibleNames = [...names].sort().join();
    if (eligibleNames === this.eligibleNames) return;
    this.eligibleNames = eligibleNames;
    this.changedAt = now;
    this.shares.clear();
  }

  private shareOf(life: string, names: readonly string[]): number {
    const named = names.map((id) => ({ id }));
    const ordered = rendezvousOrder(life, named);
    const owners = ordered.slice(0, this.options.maximumOwners ?? MAXIMUM_OWNERS);
    return owners.some(({ id }) => id === this.options.daemon) ? 1 / owners.length : 0;
  }
}
