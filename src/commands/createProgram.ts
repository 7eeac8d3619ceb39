/**
 * Creates the command line program from its commands.
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

/** All commands of the program. */
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
 * Redirects error output to standard error. clipanion writes it to standard output, where a script would read
 * it as a result.
 */
class Program extends Cli {
  private readonly errors: NodeJS.WritableStream;

  constructor(name: string, errors: NodeJS.WritableStream) {
    super({ binaryLabel: name, binaryName: name, binaryVersion: PROGRAM_VERSION });
    this.errors = errors;
  }

  override error(...parameters: Parameters<Cli['error']>): string {
    this.errors.write(super.error(...parameters));
    return '';
  }
}

/** Name and commands of a program. */
export interface ProgramOptions {
  /** Name on the command line. */
  name?: string;
  commands?: readonly CommandClass[];
}

/**
 * @param context - the streams of the process.
 * @param options - name and commands; those of the product by default.
 * @returns The program with all its commands.
 */
export function createProgram(
  { stderr }: Pick<BaseContext, 'stderr'>,
  { name = PROGRAM_NAME, commands = COMMANDS }: ProgramOptions = {},
): Cli {
  const program = new Program(name, stderr);
  for (const command of commands) program.register(command);
  return program;
}
