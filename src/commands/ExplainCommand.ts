/**
 * `baobabdock explain`: reconstructs what happened to one request from the logs of the daemons.
 */
import { readFileSync } from 'node:fs';

import { Command, Option } from 'clipanion';

import type { LogLine } from '../explanations/logLine.js';
import { parseLogLines } from '../explanations/logLine.js';
import { explainRequest } from '../explanations/explainRequest.js';
import type { RequestExplanation } from '../explanations/explainRequest.js';
import { Findings } from '../findings/Findings.js';
import { formatFields } from '../logging/formatFields.js';
import { EXIT_FAILURE, EXIT_SUCCESS, ProgramCommand } from './ProgramCommand.js';

function formatLine({ time, daemon, number, event, fields }: LogLine): string {
  const pairs = formatFields({ ...fields, request: undefined });
  return `  ${time} ${daemon} ${number} ${event} ${pairs}`.trimEnd();
}

/** Prints the log lines of a request and what follows from them. */
export class ExplainCommand extends ProgramCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    category: 'Daemon',
    description: 'explain what became of a request',
    details: `
      Reads the logs of any number of daemons and prints the lines of one request in order, what its
      daemon believed at the time (configuration, runners, store), and what follows from them.

      Lines that no daemon wrote are named on standard error and passed over. The command fails when a
      file cannot be read or no line names the request.
    `,
    examples: [['Look into a complaint', '$0 explain 9c41d07be2a35f68 router-1.log router-2.log']],
  });

  request = Option.String({ name: 'request id', required: true });

  files = Option.Rest({ name: 'log files', required: 1 });

  override async execute(): Promise<number> {
    const unreadable = new Findings();
    const strange = new Findings();
    const lines = this.files.flatMap((file) => this.readLines(file, unreadable, strange));
    this.complainOf([...unreadable.list(), ...strange.list()]);
    if (unreadable.hasAny) return EXIT_FAILURE;
    const story = explainRequest(this.request, lines);
    if (!story) {
      this.complain(`no line of ${lines.length} names the request ${this.request}`);
      return EXIT_FAILURE;
    }
    this.tell(story);
    return EXIT_SUCCESS;
  }

  private readLines(file: string, unreadable: Findings, strange: Findings): LogLine[] {
    try {
      return parseLogLines(readFileSync(file, 'utf8'), file, strange);
    } catch (error) {
      unreadable.add({ file }, `cannot be read: ${(error as Error).message}`);
      return [];
    }
  }

  private tell({ requestLines, stateLines, conclusions }: RequestExplanation): void {
    this.print('What became of it:');
    for (const conclusion of conclusions) this.print(`  ${conclusion}`);
    this.print('Its lines:');
    for (const line of requestLines) this.print(formatLine(line));
    this.print('What its daemon believed:');
    for (const line of stateLines) this.print(formatLine(line));
  }
}
