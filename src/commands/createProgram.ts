/**
 * Puts the commands together.
 */
import { Builtins, Cli } from 'clipanion';
import type { BaseContext, CommandClass } from 'clipanion';

import { CheckCommand } from './CheckCommand.js';
import { ExplainCommand } from './ExplainCommand.js';
import { ExplainLossesCommand } from './ExplainLossesCommand.js';
import { operatorCommands } from './operator/operatorCommands.js';
import { PROGRAM_VERSION } from './programVersion.js';
import { ReplayCommand } from './ReplayCommand.js';
import { ServeCommand } from './ServeCommand.js';
import { VersionCommand } from './VersionCommand.js';

const PROGRAM_NAME = 'baobabdock';

/** Every command of the program. */
const COMMANDS: readonly CommandClass[] = [
  ServeCommand,
  CheckCommand,
  ReplayCommand,
  ExplainCommand,
  ExplainLossesCommand,
  VersionCommand,
  Builtins.HelpCommand,
  ...operatorCommands,
];

/**
 * clipanion writes errors to standard output, where a script would take them for results: they go to
 * standard error here.
 */
class Program extends Cli {
  private readonly errors: NodeJS.WritableStream;

  constructor(errors: NodeJS.WritableStream) {
    super({
      binaryLabel: PROGRAM_NAME,
      binaryName: PROGRAM_NAME,
      binaryVersion: PROGRAM_VERSION,
    });
    this.errors = errors;
  }

  override error(...parameters: Parameters<Cli['error']>): string {
    this.errors.write(super.error(...parameters));
    return '';
  }
}

/**
 * @param context - the streams of the process.
 * @returns The program with all its commands.
 */
export function createProgram({ stderr }: Pick<BaseContext, 'stderr'>): Cli {
  const program = new Program(stderr);
  for (const command of COMMANDS) program.register(command);
  return program;
}
