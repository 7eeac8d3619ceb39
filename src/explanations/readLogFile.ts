/**
 * Reads the log of a daemon piece by piece, so that one of any size does not sit in memory.
 */
import { createReadStream } from 'node:fs';

import type { LogLine } from './logLine.js';
import { isBlank, parseLogLine } from './logLine.js';

/** Far longer than any line of a daemon; a file without line ends would be gathered whole. */
const MAXIMUM_LINE_CHARACTERS = 1_048_576;

/** How a file was read. */
export interface ReadLog {
  /** Lines of a daemon. */
  lines: number;
  /** Lines that no daemon wrote, or that are cut: a crash of the runtime leaves the first, a full disk the others. */
  unreadable: number;
  /** From 1; `undefined` where all could be read. */
  firstUnreadable: number | undefined;
}

/** Whole lines of a file, as many at a time as come in one piece. */
async function* lineGroups(file: string): AsyncGenerator<string[]> {
  let rest = '';
  for await (const piece of createReadStream(file, { encoding: 'utf8' })) {
    const lines = `${rest}${String(piece)}`.split('\n');
    rest = (lines.pop() ?? '').slice(0, MAXIMUM_LINE_CHARACTERS);
    yield lines;
  }
  yield [rest];
}

/**
 * @param file - its path.
 * @param take - gets each line of a daemon, in the order of the file.
 * @returns How much could be read; rejects where the file cannot be.
 */
export async function readLogFile(file: string, take: (line: LogLine) => void): Promise<ReadLog> {
  const read: ReadLog = { lines: 0, unreadable: 0, firstUnreadable: undefined };
  let position = 0;
  const takeRaw = (raw: string) => {
    position += 1;
    if (isBlank(raw)) return;
    const line = parseLogLine(raw);
    if (line) {
      read.lines += 1;
      take(line);
      return;
    }
    read.unreadable += 1;
    read.firstUnreadable ??= position;
  };
  for await (const group of lineGroups(file)) group.forEach(takeRaw);
  return read;
}
