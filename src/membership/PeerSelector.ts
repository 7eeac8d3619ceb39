/**
 * Seeded random choice of the daemons to call. Probes go through the whole fleet in a random order, which is
 * shuffled anew for each pass. This bounds the time until each daemon has probed a dead one; an independent
 * random choice for each probe would not (SWIM, section 4.3).
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Options of a {@link PeerSelector}. */
export interface PeerSelectorOptions {
  /** Different for each daemon, or all of them would probe the same targets in step. */
  seed: number;
}

/** Chooses daemon names from a seeded random generator. */
export class PeerSelector {
  private readonly generator: RandomGenerator;

  private remaining: string[] = [];

  /**
   * @param options - the seed.
   */
  constructor({ seed }: PeerSelectorOptions) {
    this.generator = xoroshiro128plus(seed);
  }

  /**
   * @param below - upper limit, exclusive.
   * @returns A random integer from 0.
   */
  integer(below: number): number {
    return uniformInt(this.generator, 0, below - 1);
  }

  /**
   * @param candidates - names.
   * @returns A random one of them, or `undefined` if there are none.
   */
  pick(candidates: readonly string[]): string | undefined {
    return candidates.length === 0 ? undefined : candidates[this.integer(candidates.length)];
  }

  /**
   * @param candidates - names.
   * @param count - the largest number of names.
   * @returns Different names in random order.
   */
  sample(candidates: readonly string[], count: number): string[] {
    return this.shuffled(candidates).slice(0, count);
  }

  /**
   * Chooses the next probe target of the current pass over the fleet. Members that have gone are skipped; new
   * ones are in the next pass.
   *
   * @param isPresent - whether a daemon is still to be probed.
   * @param candidates - gives the names for a new pass.
   * @returns The next name, or `undefined` if there are no candidates.
   */
  nextProbeTarget(
    isPresent: (daemonId: string) => boolean,
    candidates: () => readonly string[],
  ): string | undefined {
    for (let name = this.remaining.pop(); name !== undefined; name = this.remaining.pop()) {
      if (isPresent(name)) return name;
    }
    this.remaining = this.shuffled(candidates());
    return this.remaining.pop();
  }

  private shuffled(names: readonly string[]): string[] {
    const shuffled = [...names];
    for (let index = shuffled.length - 1; index > 0; index -= 1) {
      const other = this.integer(index + 1);
      [shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
    }
    return shuffled;
  }
}
