/**
 * Creates the log of a daemon from its settings.
 */
import { ConsolaLog } from '../logging/ConsolaLog.js';
import { StreamSink } from '../logging/StreamSink.js';
import { daemonLogEvents } from './daemonFeature.js';
import type { DaemonSettings } from './daemonFeature.js';

/**
 * @param settings - the `daemon` section of the settings.
 * @returns A log to standard output; every line has the daemon's id.
 */
export function createDaemonLog({ id, log }: DaemonSettings): ConsolaLog {
  return new ConsolaLog({
    sink: new StreamSink(),
    format: log.format,
    level: log.level,
    context: { daemon: id },
    droppedEvent: daemonLogEvents.logLinesDropped,
  });
}
