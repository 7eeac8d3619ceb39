/**
 * Sliding windows over recorded times.
 */

/**
 * Removes the times before the start of a window from a list.
 *
 * @param times - times in ascending order; changed in place.
 * @param start - start of the window, by the same clock.
 */
export function dropTimesBefore(times: number[], start: number): void {
  const keep = times.findIndex((time) => time >= start);
  times.splice(0, keep === -1 ? times.length : keep);
}
