/**
 * Measures how a load spike of one account affects the others, and how well limits hold that are divided among daemons.
 */
import { Command, Option } from 'clipanion';

import { measureAccountLimit } from './routing/measureAccountLimit.js';
import { measureSurge } from './routing/measureSurge.js';
import { printRecords } from './routing/printRecords.js';

const LIMIT_CASES = [
  { runners: 13, limit: 4 },
  { runners: 13, limit: 20 },
  { runners: 13, limit: 100 },
  { runners: 300, limit: 20 },
  { runners: 300, limit: 200 },
  { runners: 300, limit: 1_000 },
];
const DEMANDS = [0.7, 1, 3];

/** `npm run measure -- admission`. */
export class AdmissionMeasurement extends Command {
  static override paths = [['admission']];

  static override usage = Command.Usage({
    description: 'Waits of others in a surge, and the error of an account limit split over gates.',
    details: `
      Surge: one gate before one engine, ten accounts at about half of its capacity, and one account that
      sends many times that; with a queue for each account and with one queue for all.

      Account limit: the mean and the highest number of requests at once as a share of the limit.
    `,
    examples: [['Both', 'npm run measure -- admission']],
  });

  seed = Option.String('--seed', '1', { description: 'Seed of the arrivals.' });

  json = Option.Boolean('--json', false, { description: 'One object a line.' });

  override async execute(): Promise<number> {
    const seed = Number(this.seed);
    const surges = [
      measureSurge('fair', false, seed),
      measureSurge('fair', true, seed),
      measureSurge('one', true, seed),
    ];
    printRecords(this.context.stdout, surges, this.json);
    const limits = LIMIT_CASES.flatMap(({ runners, limit }) =>
      DEMANDS.map((demand) => measureAccountLimit(runners, limit, demand, seed)),
    );
    printRecords(this.context.stdout, limits, this.json);
    return 0;
  }
}
