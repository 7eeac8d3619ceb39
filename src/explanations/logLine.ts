/**
 * Reads the lines that daemons write.
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
 * @returns Whether it holds nothing.
 */
export function isBlank(raw: string): boolean {
  return raw.trim() === '';
}

/**
 * @param raw - one line of a file; what collects logs may have put a time and a name before it.
 * @returns What the daemon wrote, or `undefined` where it is no line of a daemon's log.
 */
export function parseLogLine(raw: string): LogLine | undefined {
  const json = raw.slice(Math.max(0, raw.indexOf('{')));
  return lineSchema.safeParse(parseJson(json)).data;
}

/**
 * @param text - of a whole file.
 * @param file - its name, for findings.
 * @param findings - gets the lines that are no log lines; a crash of the runtime leaves such lines.
 * @returns The lines, in the order of the file.
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
