/**
 * Small sums for tables.
 */

/**
 * @param values - numbers in any order.
 * @param share - from 0 to 1; 0.5 is the median.
 * @returns The value below which this share lies; 0 without values.
 */
export function percentile(values: readonly number[], share: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!;
}

/**
 * @param values - numbers.
 * @returns Their mean; 0 without values.
 */
export function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * @param value - a number.
 * @param digits - digits after the point.
 * @returns The number, rounded.
 */
export function rounded(value: number, digits = 0): number {
  const factor = 10 ** digits;
  return Math.round(value * factor) / factor;
}
