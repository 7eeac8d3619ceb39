/**
 * Measures the traffic and the time that daemons need to agree.
 */
import { Command, Option } from 'clipanion';

import type { ControlResult, ControlRunOptions } from './control/scenarios.js';
import { measureControl } from './control/scenarios.js';

const DEFAULT_SIZES = '8,130,390';

/** Columns of the table; times are in seconds, bytes are those sent by one daemon per second. */
const COLUMNS: readonly (readonly [keyof ControlResult, string])[] = [
  ['members', 'members'],
  ['joinedSeconds', 'joined s'],
  ['inForceMedianSeconds', 'in force s'],
  ['inForceMaximumSeconds', 'max'],
  ['controlBytesPerSecond', 'bytes/s'],
  ['controlBytesPerSecondMaximum', 'max'],
  ['messagesPerSecond', 'messages/s'],
  ['processorShare', 'core share'],
  ['newsAgeMedianMilliseconds', 'news age median ms'],
  ['newsAgeP99Milliseconds', 'news age p99 ms'],
  ['summaryAgeMedianMilliseconds', 'sum age median ms'],
  ['summaryAgeP99Milliseconds', 'sum age p99 ms'],
  ['waitingWatches', 'watches'],
  ['suspicionsPerHour', 'false suspicions/h'],
  ['falseDeaths', 'false deaths'],
  ['healSeconds', 'healed s'],
  ['falseDeathsWhileHealing', 'false deaths healing'],
  ['detectFirstMedianSeconds', 'death seen s'],
  ['detectAllMedianSeconds', 'by all s'],
  ['detectAllMaximumSeconds', 'max'],
];

/** `npm run measure -- control`. */
export class ControlMeasurement extends Command {
  static override paths = [['control']];

  static override usage = Command.Usage({
    description:
      'Time until a change is in force, bytes and processor time of a daemon, deaths and cuts.',
    details:
      'Passes the messages of the membership and configuration decisions in memory, with seeded delay and loss. ' +
      'Bytes are those sent by one daemon: body as the link serializes and compresses it, with HTTP headers.',
    examples: [
      ['The three sizes', 'npm run measure -- control'],
      ['A region cut for an hour', 'npm run measure -- control --sizes 130 --cut-seconds 3600'],
    ],
  });

  sizes = Option.String('--sizes', DEFAULT_SIZES, { description: 'Members, with commas between.' });

  seed = Option.String('--seed', '1', { description: 'Seed of delays, losses and choices.' });

  loss = Option.String('--loss', '0.01', { description: 'Share of messages lost.' });

  changes = Option.String('--changes', '5', { description: 'Configuration changes, 13 s apart.' });

  deaths = Option.String('--deaths', '3', { description: 'Daemons killed one after the other.' });

  cutSeconds = Option.String('--cut-seconds', '60', {
    description: 'How long one region is cut off.',
  });

  json = Option.Boolean('--json', false, { description: 'One object a line.' });

  override async execute(): Promise<number> {
    const results: ControlResult[] = [];
    for (const members of this.sizes.split(',').map(Number)) {
      const result = measureControl(this.runOptions(members));
      results.push(result);
      if (this.json) this.context.stdout.write(`${JSON.stringify(result)}\n`);
    }
    if (!this.json) this.context.stdout.write(this.table(results));
    return 0;
  }

  private runOptions(members: number): ControlRunOptions {
    return {
      members,
      seed: Number(this.seed),
      loss: Number(this.loss),
      changes: Number(this.changes),
      deaths: Number(this.deaths),
      cutSeconds: Number(this.cutSeconds),
    };
  }

  /** Prints one line for each figure and one column for each size, so that lines fit into a terminal. */
  private table(results: readonly ControlResult[]): string {
    const widest = Math.max(...COLUMNS.map(([, title]) => title.length));
    const lines = COLUMNS.map(([field, title]) => {
      const cells = results.map((result) => String(result[field]).padStart(10));
      return `${title.padEnd(widest)} ${cells.join('')}`;
    });
    return `${lines.join('\n')}\n`;
  }
}
