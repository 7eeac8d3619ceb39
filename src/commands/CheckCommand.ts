/**
 * `baobabdock check`: validates files of the product.
 */
import { Command, Option } from 'clipanion';

import { checkFile } from './checkFile.js';
import { EXIT_FAILURE, EXIT_SUCCESS, ProgramCommand } from './ProgramCommand.js';

/** Validates files and prints all findings; starts nothing. */
export class CheckCommand extends ProgramCommand {
  static override paths = [['check']];

  static override usage = Command.Usage({
    category: 'Daemon',
    description: 'check files of the product',
    details: `
      Takes settings of either kind of daemon, resources and sessions, says what it took each file for, and
      lists every mistake of every file as \`file:line:column: field: message\` on standard error, and
      exits with 1 when there is any.

      Values that come \`fromEnvironment\` or \`fromFile\` need not be there on the machine that checks;
      those that are not are named as a note. With \`--complete\` they count as mistakes, as they do for
      \`serve\`.
    `,
    examples: [
      ['Check one file', '$0 check litoral.yaml'],
      ['Check on the instance itself, secrets included', '$0 check --complete litoral.yaml'],
      ['Check several files', '$0 check examples/litoral.yaml examples/litoral-resources.yaml'],
    ],
  });

  complete = Option.Boolean('--complete', false, {
    description: 'Count values from outside that are not there as mistakes.',
  });

  files = Option.Rest({ name: 'files', required: 1 });

  override async execute(): Promise<number> {
    const valid = this.files.map((file) => this.check(file));
    return valid.includes(false) ? EXIT_FAILURE : EXIT_SUCCESS;
  }

  private check(file: string): boolean {
    const { kind, findings, absent } = checkFile(file);
    const mistakes = this.complete ? [...findings, ...absent] : findings;
    this.complainOf(mistakes);
    if (mistakes.length > 0) return false;
    for (const { place, message } of absent) this.print(`note: ${place.field}: ${message}`);
    this.print(`${file}: valid ${kind}`);
    return true;
  }
}
