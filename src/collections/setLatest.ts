/**
 * Bounded maps that keep the entries that were set last.
 */

/**
 * Sets an entry as the latest one, and drops the oldest one if there are too many.
 *
 * @param map - its entries are in the order in which they were last set by this function.
 * @param key - key of the entry.
 * @param value - value of the entry.
 * @param maximum - maximum number of entries.
 */
export function setLatest<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  value: Value,
  maximum: number,
): void {
  map.delete(key);
  map.set(key, value);
  if (map.size <= maximum) return;
  const [oldest = key] = map.keys();
  map.delete(oldest);
}
