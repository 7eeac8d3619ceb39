/**
 * What a process takes of its machine, as Linux states it.
 */
import { readdirSync, readFileSync } from 'node:fs';

const PEAK_LINE = /^VmHWM:\s+(\d+) kB$/mu;

const KIBIBYTE = 1_024;

/**
 * @param id - id of a process of the caller.
 * @returns Largest resident memory so far, in bytes.
 */
export function peakMemoryOf(id: number): number {
  const [, kibibytes] = PEAK_LINE.exec(readFileSync(`/proc/${id}/status`, 'utf8')) ?? [];
  if (kibibytes === undefined) throw new Error(`process ${id} has no memory`);
  return Number(kibibytes) * KIBIBYTE;
}

/**
 * @param id - id of a process of the caller.
 * @returns Number of open descriptors.
 */
export function openDescriptorsOf(id: number): number {
  return readdirSync(`/proc/${id}/fd`).length;
}
