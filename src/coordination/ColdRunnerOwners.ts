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

  private known = '';

  /** When the deciders last changed, monotonic ms. */
  private changedAt: number;

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
    const { daemon, clock, deciders } = this.options;
    const names = deciders();
    const now = clock.monotonicMilliseconds();
    const list = [...names].sort().join();
    if (list !== this.known) this.changedAt = now;
    this.known = list;
    const ordered = rendezvousOrder(
      life,
      names.map((id) => ({ id })),
    );
    const owners = ordered.slice(0, this.options.owners ?? MAXIMUM_OWNERS);
    const isOwner = owners.some(({ id }) => id === daemon);
    const share = isOwner ? 1 / owners.length : 0;
    return { share, settledMilliseconds: now - this.changedAt };
  }
}
