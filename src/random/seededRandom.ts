/**
 * A seeded pseudo-random number generator: the same seed yields the same sequence, so that runs can be repeated.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * Creates a generator.
 *
 * @param seed - an integer.
 * @returns A function that yields uniformly distributed numbers from 0 (inclusive) to 1 (exclusive).
 */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
