/**
 * Base of all commands.
 */
import { Command } from 'clipanion';

import { formatFinding } from '../findings/Findings.js';
import type { Finding } from '../findings/Findings.js';

/** Exit code for success. */
export const EXIT_SUCCESS = 0;

/** Exit code for invalid input or a failure; the reason is on standard error. */
export const EXIT_FAILURE = 1;

/** Base of the commands: results go to standard output, the reasons of a failure to standard error. */
export abstract class ProgramCommand extends Command {
  /**
   * @param text - a line of the result.
   */
  protected print(text: string): void {
    this.context.stdout.write(`${text}\n`);
  }

  /**
   * @param text - a line that tells why the command failed.
   */
  protected complain(text: string): void {
    this.context.stderr.write(`${text}\n`);
  }

  /**
   * @param findings - written one a line, each with its place.
   */
  protected complainOf(findings: readonly Finding[]): void {
    for (const finding of findings) this.complain(formatFinding(finding));
  }
}
