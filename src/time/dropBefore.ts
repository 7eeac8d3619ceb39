/**
 * Sliding windows of moments.
 */

/**
 * @param times - in rising order; those before the start are taken out.
 * @param start - of the window, by the same clock.
 */
export function dropBefore(times: number[], start: number): void {
  const keep = times.findIndex((time) => time >= start);
  times.splice(0, keep === -1 ? times.length : keep);
}
