/**
 * Reads the logs of the daemons of a soak.
 */
import { parseLogLines } from '../src/explanations/logLine.js';
import type { LogLine } from '../src/explanations/logLine.js';
import { Findings } from '../src/findings/Findings.js';

/** A daemon, as far as its log is concerned. */
export interface LoggedDaemon {
  readonly index: number;
  readonly process: { readonly log: string };
}

/**
 * @param daemons - daemons whose logs are read.
 * @returns The lines of their logs, without those that cannot be parsed, such as the output of a crash of the runtime.
 */
export function logLinesOf(daemons: readonly LoggedDaemon[]): LogLine[] {
  const findings = new Findings();
  return daemons.flatMap(({ process, index }) =>
    parseLogLines(process.log, `daemon-${index}`, findings),
  );
}
