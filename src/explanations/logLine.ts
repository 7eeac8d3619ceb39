/**
 * Parses the JSON log lines that daemons write.
 */
import { z } from 'zod';

import type { Findings } from '../findings/Findings.js';

const lineSchema = z.object({
  time: z.iso.datetime(),
  level: z.string(),
  number: z.number(),
  event: z.string(),
  text: z.string().default(''),
  daemon: z.string().default('?'),
  fields: z.record(z.string(), z.unknown()).default({}),
});

/** One line of a daemon's log. */
export type LogLine = z.infer<typeof lineSchema>;

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * @param raw - one line of a file.
 * @returns Whether the line is empty or only white space.
 */
export function isBlank(raw: string): boolean {
  return raw.trim() === '';
}

/**
 * Parses one line of a log file.
 *
 * @param raw - one line of a file; a log collector may have put a time and a host name before the JSON.
 * @returns The parsed line, or `undefined` if it is not a line of a daemon's log.
 */
export function parseLogLine(raw: string): LogLine | undefined {
  const json = raw.slice(Math.max(0, raw.indexOf('{')));
  return lineSchema.safeParse(parseJson(json)).data;
}

/**
 * Parses the text of a log file.
 *
 * @param text - text of the whole file.
 * @param file - name of the file, for findings.
 * @param findings - collects the lines that cannot be parsed, such as the output of a crash of the runtime.
 * @returns The parsed lines, in the order of the file.
 */
export function parseLogLines(text: string, file: string, findings: Findings): LogLine[] {
  const lines: LogLine[] = [];
  text.split('\n').forEach((raw, index) => {
    if (isBlank(raw)) return;
    const line = parseLogLine(raw);
    if (line) lines.push(line);
    else findings.add({ file, line: index + 1 }, 'is not a line of a daemon’s log');
  });
  return lines;
}
