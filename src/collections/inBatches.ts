/**
 * Divides lists.
 */

/**
 * @param items - any items.
 * @param size - number of items in each batch; above 0.
 * @returns The items in their order, in batches of that size, of which the last one may be smaller.
 */
export function inBatches<Item>(items: readonly Item[], size: number): (readonly Item[])[] {
  const starts = Array.from({ length: Math.ceil(items.length / size) }, (_, index) => index * size);
  return starts.map((start) => items.slice(start, start + size));
}
