/**
 * Which daemons decide about a cold runner: some of those that choose for others, or of all daemons of a small fleet, the
 * same ones by everybody's list.
 */
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { ColdOwnership } from '../runners/ColdStarts.js';
import type { Clock } from '../time/Clock.js';

/**
 * With one of them, only the prompts that it chooses for would find the runner. Each may send at the same moment as the
 * others, so that their number adds to what a runner gets within a second.
 */
const MAXIMUM_OWNERS = 4;

/** Lives that are remembered; the fleet has fewer cold runners at a time. */
const MAXIMUM_SHARES = 5_000;

/** Options of a {@link ColdRunnerOwners}. */
export interface ColdRunnerOwnersOptions {
  /** This daemon's name. */
  daemon: string;
  clock: Clock;
  /** Names of the daemons that choose runners. */
  deciders: () => readonly string[];
  /** How many of them decide about a runner, at most. */
  owners?: number;
}

/** Knows since when the same daemons decide. */
export class ColdRunnerOwners {
  private readonly options: ColdRunnerOwnersOptions;

  private deciders = '';

  /** When the deciders last changed, monotonic ms. */
  private changedAt: number;

  /** This daemon's share by life of a runner, while the same daemons decide. */
  private readonly shares = new Map<string, number>();

  /**
   * @param options - this daemon, and who decides.
   */
  constructor(options: ColdRunnerOwnersOptions) {
    this.options = options;
    this.changedAt = options.clock.monotonicMilliseconds();
  }

  /**
   * @param life - of a runner.
   * @returns Whether this daemon decides about it.
   */
  ownershipOf(life: string): ColdOwnership {
    const names = this.options.deciders();
    const now = this.options.clock.monotonicMilliseconds();
    this.followDeciders(names, now);
    const share = this.shares.get(life) ?? this.shareOf(life, names);
    if (this.shares.size >= MAXIMUM_SHARES) this.shares.clear();
    this.shares.set(life, share);
    return { share, settledMilliseconds: now - this.changedAt };
  }

  private followDeciders(names: readonly string[], now: number): void {
    const deciders = [...names].sort().join();
    if (deciders === this.deciders) return;
    this.deciders = deciders;
    this.changedAt = now;
    this.shares.clear();
  }

  private shareOf(life: string, names: readonly string[]): number {
    const named = names.map((id) => ({ id }));
    const ordered = rendezvousOrder(life, named);
    const owners = ordered.slice(0, this.options.owners ?? MAXIMUM_OWNERS);
    return owners.some(({ id }) => id === this.options.daemon) ? 1 / owners.length : 0;
  }
}
