/**
 * Random numbers from a seed: a run with the same seed gives the same figures.
 */
import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Draws from the distributions that the measurement needs. */
export class SeededRandom {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  /**
   * @param seed - an integer.
   */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** @returns From 0 up to, not including, 1. */
  next(): number {
    return uniformFloat32(this.generator);
  }

  /**
   * @param from - the least.
   * @param to - above the largest.
   * @returns A number between them.
   */
  between(from: number, to: number): number {
    return from + this.next() * (to - from);
  }

  /**
   * @param count - how many there are.
   * @returns From 0 to `count` - 1.
   */
  index(count: number): number {
    return Math.floor(this.next() * count);
  }

  /**
   * @param mean - of an exponential distribution.
   * @returns A draw.
   */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  /**
   * @param items - not empty.
   * @returns One of them.
   */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.index(items.length)] as Item;
  }
}
