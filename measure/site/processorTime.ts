/**
 * Processor time of a process of this machine, from the system's own count.
 */
import { readFileSync } from 'node:fs';

/** Linux counts in hundredths of a second on every common machine. */
const MILLISECONDS_PER_TICK = 10;

/** Fields behind the program's name, which may hold spaces; user and system time are the 14th and 15th of all. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/**
 * @param processId - of a process that runs.
 * @returns Processor time since its start, in ms.
 */
export function processorMilliseconds(processId: number): number {
  const text = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return ticks * MILLISECONDS_PER_TICK;
}
