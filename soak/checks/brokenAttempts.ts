/**
 * Finds the attempts at runners that broke off, in the logs of the daemons.
 */
import { parseLogLine } from '../../src/explanations/logLine.js';
import { forwardingLogEvents } from '../../src/forwarding/forwardingFeature.js';
import type { SoakDaemon } from '../SoakDaemon.js';

/** Ids of the runners whose attempts broke off, by id of the request. */
export type BrokenAttempts = ReadonlyMap<string, readonly string[]>;

/** Failure of an attempt that may have run. */
const BROKEN = 'broken';

/**
 * @param daemons - daemons whose logs are read.
 * @returns The broken attempts.
 */
export function brokenAttemptsIn(
  daemons: readonly { readonly process: Pick<SoakDaemon['process'], 'log'> }[],
): BrokenAttempts {
  const { number, name } = forwardingLogEvents.attemptFailed;
  const broken = new Map<string, string[]>();
  const lines = daemons.flatMap(({ process }) => process.log.split('\n'));
  for (const text of lines.filter((line) => line.includes(name))) {
    const line = parseLogLine(text);
    if (line?.number !== number || line.fields.failure !== BROKEN) continue;
    const { request, runner } = line.fields;
    if (typeof request !== 'string' || typeof runner !== 'string') continue;
    broken.set(request, [...(broken.get(request) ?? []), runner]);
  }
  return broken;
}
