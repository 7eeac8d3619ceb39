/**
 * Where requests broke off, as daemons say in their logs.
 */
import { parseLogLine } from '../../src/explanations/logLine.js';
import { forwardingLogEvents } from '../../src/forwarding/forwardingFeature.js';
import type { SoakDaemon } from '../SoakDaemon.js';

/** Ids of runners, by the id of the request that broke off there. */
export type BrokenAttempts = ReadonlyMap<string, readonly string[]>;

/** An attempt of which it is not known whether it has run. */
const BROKEN = 'broken';

/**
 * @param daemons - whose logs are read.
 * @returns The attempts that broke off.
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
