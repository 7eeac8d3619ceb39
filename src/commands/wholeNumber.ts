/**
 * Numbers among the options of a command.
 */
import type { Findings } from '../findings/Findings.js';

/** An option that has to be a whole number. */
export interface WholeNumberOption {
  /** The option, as it is typed. */
  field: string;
  /** What was typed. */
  text: string;
  lowest?: number;
  highest?: number;
}

/**
 * @param option - what was typed, and what is allowed.
 * @param findings - take what is wrong with it.
 * @returns The number; the lowest one that is allowed where something is wrong.
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
