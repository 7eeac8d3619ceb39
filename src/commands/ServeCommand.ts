/**
 * `baobabdock serve`: runs one daemon.
 */
import { Command, Option } from 'clipanion';

import { runDaemon } from '../daemon/runDaemon.js';
import { loadSettings } from '../settings/loadSettings.js';
import { EXIT_FAILURE, ProgramCommand } from './ProgramCommand.js';

/** Loads the settings and runs the daemon until its planned stop. */
export class ServeCommand extends ProgramCommand {
  static override paths = [['serve']];

  static override usage = Command.Usage({
    category: 'Daemon',
    description: 'run a daemon',
    details: `
      Reads the settings file, checks all of it, and runs one daemon until SIGTERM or SIGINT.

      A planned stop takes no new requests, hands over what the daemon holds, lets the requests in
      progress finish within the grace that the settings give, and exits with 0. Wrong settings are
      all listed on standard error, each with file, line and column, and the exit code is 1.
    `,
    examples: [
      ['Run a daemon with its settings', '$0 serve litoral.yaml'],
      ['Check the settings first', '$0 check litoral.yaml'],
    ],
  });

  file = Option.String({ name: 'settings file', required: true });

  override async execute(): Promise<number> {
    const result = loadSettings(this.file);
    if (result.kind === 'invalid') {
      this.complainOf(result.findings);
      return EXIT_FAILURE;
    }
    const exitCode = await runDaemon(result.settings);
    // The stop is complete, and the log has been written or given up. Without the explicit exit, a log
    // collector that no longer reads would keep the process alive, and the instance would never stop.
    return process.exit(exitCode);
  }
}
