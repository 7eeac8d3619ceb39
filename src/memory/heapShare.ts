/**
 * Derives bounds in bytes from the memory of the process.
 */
import { getHeapStatistics } from 'node:v8';

/**
 * @param share - from 0 to 1.
 * @returns That share of the largest heap that the process may have, in bytes.
 */
export function heapShare(share: number): number {
  return Math.floor(getHeapStatistics().heap_size_limit * share);
}
