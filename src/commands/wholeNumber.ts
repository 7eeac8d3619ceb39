/**
 * Parses options of commands that are whole numbers.
 */
import type { Findings } from '../findings/Findings.js';

/** An option whose value must be a whole number. */
export interface WholeNumberOption {
  /** Name of the option on the command line. */
  field: string;
  /** The value as given. */
  text: string;
  lowest?: number;
  highest?: number;
}

/**
 * @param option - the value and its allowed range.
 * @param findings - receives an error if the value is invalid.
 * @returns The number; the lowest allowed one if the value is invalid.
 */
export function wholeNumber(
  { field, text, lowest = 1, highest = Number.MAX_SAFE_INTEGER }: WholeNumberOption,
  findings: Findings,
): number {
  const value = Number(text);
  if (Number.isInteger(value) && value >= lowest && value <= highest) return value;
  const range =
    highest === Number.MAX_SAFE_INTEGER ? `above ${lowest - 1}` : `from ${lowest} to ${highest}`;
  findings.add({ field }, `has to be a whole number ${range}, and is ${text}`);
  return lowest;
}
