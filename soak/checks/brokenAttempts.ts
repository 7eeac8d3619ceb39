/**
 * Finds the attempts at runners that broke off, in the logs of the daemons.
 */
import { forwardingLogEvents } from '../../src/forwarding/forwardingFeature.js';
import type { LoggedDaemon } from '../daemonLogs.js';
import { logLinesOf } from '../daemonLogs.js';

/** Ids of the runners whose attempts broke off, by id of the request. */
export type BrokenAttempts = ReadonlyMap<string, readonly string[]>;

/** Failure of an attempt that may have run. */
const BROKEN = 'broken';

/**
 * @param daemons - daemons whose logs are read.
 * @returns The broken attempts.
 */
export function brokenAttemptsIn(daemons: readonly LoggedDaemon[]): BrokenAttempts {
  const broken = new Map<string, string[]>();
  for (const { number, fields } of logLinesOf(daemons)) {
    const { failure, request, runner } = fields;
    if (number !== forwardingLogEvents.attemptFailed.number || failure !== BROKEN) continue;
    if (typeof request !== 'string' || typeof runner !== 'string') continue;
    broken.set(request, [...(broken.get(request) ?? []), runner]);
  }
  return broken;
}
