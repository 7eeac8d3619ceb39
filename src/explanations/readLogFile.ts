/**
 * Reads the log file of a daemon as a stream, so that a large file is not held in memory.
 */
import { createReadStream } from 'node:fs';

import type { LogLine } from './logLine.js';
import { isBlank, parseLogLine } from './logLine.js';

/**
 * Maximum number of characters kept of an incomplete line, far above any line of a daemon. Without it a file without
 * line ends would be held in memory whole.
 */
const MAXIMUM_LINE_CHARACTERS = 1_048_576;

/** Counts of the lines of a file that could and could not be parsed. */
export interface LogReadResult {
  /** Number of lines of a daemon. */
  lines: number;
  /**
   * Number of lines that are not log lines or are truncated; a crash of the runtime causes the former, a full disk the
   * latter.
   */
  unreadable: number;
  /** Line number of the first such line, counted from 1; `undefined` if all lines could be parsed. */
  firstUnreadable: number | undefined;
}

/** Yields the complete lines of a file, one batch per chunk read. */
async function* readLineBatches(file: string): AsyncGenerator<string[]> {
  let incompleteLine = '';
  for await (const chunk of createReadStream(file, { encoding: 'utf8' })) {
    const lines = `${incompleteLine}${String(chunk)}`.split('\n');
    incompleteLine = (lines.pop() ?? '').slice(0, MAXIMUM_LINE_CHARACTERS);
    yield lines;
  }
  yield [incompleteLine];
}

/**
 * Reads all lines of a log file.
 *
 * @param file - path of the file.
 * @param onLine - called for each line of a daemon, in the order of the file.
 * @returns Counts of the lines; rejects if the file cannot be read.
 */
export async function readLogFile(
  file: string,
  onLine: (line: LogLine) => void,
): Promise<LogReadResult> {
  const result: LogReadResult = { lines: 0, unreadable: 0, firstUnreadable: undefined };
  let lineNumber = 0;
  const handleRawLine = (raw: string) => {
    lineNumber += 1;
    if (isBlank(raw)) return;
    const line = parseLogLine(raw);
    if (line) {
      result.lines += 1;
      onLine(line);
      return;
    }
    result.unreadable += 1;
    result.firstUnreadable ??= lineNumber;
  };
  for await (const batch of readLineBatches(file)) batch.forEach(handleRawLine);
  return result;
}
