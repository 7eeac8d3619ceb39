/**
 * `baobabdock version`: prints the version.
 */
import { Command, Option } from 'clipanion';

import { EXIT_SUCCESS, ProgramCommand } from './ProgramCommand.js';
import { PROGRAM_VERSION } from './programVersion.js';

/** Prints the version of the program and of its runtime. */
export class VersionCommand extends ProgramCommand {
  static override paths = [['version'], ['--version']];

  static override usage = Command.Usage({
    category: 'Daemon',
    description: 'print the version',
    examples: [
      ['For people', '$0 version'],
      ['For programs', '$0 version --json'],
    ],
  });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object.' });

  override async execute(): Promise<number> {
    const { platform, arch, version: node } = process;
    const information = { version: PROGRAM_VERSION, node, platform, architecture: arch };
    this.print(
      this.json
        ? JSON.stringify(information)
        : `baobabdock ${PROGRAM_VERSION} (Node.js ${node}, ${platform} ${arch})`,
    );
    return EXIT_SUCCESS;
  }
}
