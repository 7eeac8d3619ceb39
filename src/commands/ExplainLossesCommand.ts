/**
 * `baobabdock explain --losses`: sums up failed, refused and late requests by cause, from the logs of the daemons.
 */
import { Command, Option } from 'clipanion';

import { LossAggregator } from '../explanations/LossAggregator.js';
import { readLogFile } from '../explanations/readLogFile.js';
import { Findings } from '../findings/Findings.js';
import { formatLosses } from './formatLosses.js';
import type { UnreadableLines } from './formatLosses.js';
import { EXIT_FAILURE, EXIT_SUCCESS, ProgramCommand } from './ProgramCommand.js';
import { wholeNumber } from './wholeNumber.js';

/** Default number of rows per table, so that a table fits on a screen. */
const DEFAULT_ROWS = '20';

/** Prints the sums of losses. */
export class ExplainLossesCommand extends ProgramCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    category: 'Daemon',
    description: 'sum what callers lost, and why',
    details: `
      Reads the logs of any number of daemons and prints what callers lost by cause, route, moment and
      runner, with the ids of some requests to look at with \`explain\`. Several files of one daemon have
      to be given from the oldest to the newest.

      Lines that cannot be read, and those that the daemons say they left out, are counted beside the
      sums. The command fails when a file cannot be read or holds no line of a daemon.
    `,
    examples: [
      ['What went wrong in an incident', '$0 explain --losses router-1.log router-2.log'],
      ['By the minute', '$0 explain --losses --moment 60 router-1.log'],
    ],
  });

  losses = Option.Boolean('--losses', { required: true, description: 'Sum what was lost.' });

  moment = Option.String('--moment', '1', {
    description: 'Length of the moments, in whole seconds.',
  });

  rows = Option.String('--rows', DEFAULT_ROWS, { description: 'Rows of each table, at most.' });

  files = Option.Rest({ name: 'log files', required: 1 });

  override async execute(): Promise<number> {
    const findings = new Findings();
    const momentSeconds = wholeNumber({ field: '--moment', text: this.moment }, findings);
    const maximumRows = wholeNumber({ field: '--rows', text: this.rows }, findings);
    const account = new LossAggregator({ momentSeconds });
    const unreadable = findings.hasAny ? undefined : await this.readAll(account, findings);
    this.complainOf(findings.list());
    if (!unreadable || findings.hasAny) return EXIT_FAILURE;
    const lines = formatLosses({ summary: account.finish(), unreadable, maximumRows });
    // Written at once: if a pipe such as `head` closes early, a later write would end the command with an error.
    this.print(lines.join('\n'));
    return EXIT_SUCCESS;
  }

  private async readAll(account: LossAggregator, findings: Findings): Promise<UnreadableLines> {
    const places: string[] = [];
    let lines = 0;
    for (const file of this.files) {
      try {
        const read = await readLogFile(file, (line) => account.addLine(line));
        if (read.firstUnreadable === undefined) continue;
        const place = { file, line: read.firstUnreadable };
        if (read.lines === 0) findings.add(place, 'no line of the file is one of a daemon’s log');
        places.push(`${file}:${read.firstUnreadable}`);
        lines += read.unreadable;
      } catch (error) {
        findings.add({ file }, `cannot be read: ${(error as Error).message}`);
      }
    }
    return { lines, places };
  }
}
