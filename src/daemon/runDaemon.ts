/**
 * Runs one daemon process from its start to the end of its planned stop.
 */
import { once } from 'node:events';

import VError from 'verror';

import type { Settings } from '../settings/settingsSchema.js';
import { createDaemonLog } from './createDaemonLog.js';
import { Daemon } from './Daemon.js';
import { daemonLogEvents } from './daemonFeature.js';

const EXIT_FAILURE = 1;

/**
 * Runs a daemon until SIGTERM, SIGINT or a drain by operators, then stops it.
 *
 * @param settings - the checked settings.
 * @returns The exit code: 0 after a planned stop that cut off no request, else 1.
 */
export async function runDaemon(settings: Settings): Promise<number> {
  const log = createDaemonLog(settings.daemon);
  const stop = Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
  // Without a listener, a second signal would end the process while requests are in progress.
  process.on('SIGTERM', () => undefined);
  process.on('uncaughtException', (error) => {
    log.write(daemonLogEvents.failed, { error: VError.fullStack(error) });
  });
  process.on('unhandledRejection', (reason) => {
    log.write(daemonLogEvents.failed, { error: String(reason) });
  });
  const daemon = new Daemon({ settings, log });
  try {
    await daemon.start();
  } catch (error) {
    log.write(daemonLogEvents.startFailed, { error: VError.fullStack(error as Error) });
    await log.flush();
    return EXIT_FAILURE;
  }
  // A drain by operators ends the process like a signal. The process supervisor then starts a new one.
  await Promise.race([stop, daemon.drained]);
  const ended = await daemon.stop();
  log.write(daemonLogEvents.stopped, { ended });
  await log.flush();
  return ended ? 0 : EXIT_FAILURE;
}
