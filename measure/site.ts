/**
 * Measures the processor time and memory of a daemon that forwards requests directly, as a real process.
 */
import { Command, Option } from 'clipanion';

import { measureSite } from './site/measureSite.js';
import type { SiteFigures } from './site/measureSite.js';

const COLUMNS: readonly (readonly [keyof SiteFigures, string, number])[] = [
  ['idleShare', 'share of a core, idle, one daemon', 4],
  ['millisecondsPerCall', 'processor ms a plain call', 3],
  ['millisecondsPerShortStream', 'processor ms a stream of 5 events', 3],
  ['microsecondsPerEvent', 'processor microseconds a further event', 1],
  ['served', 'requests served', 0],
];

/** `npm run measure -- site`. */
export class SiteMeasurement extends Command {
  static override paths = [['site']];

  static override usage = Command.Usage({
    description:
      'Processor time of a daemon that forwards directly, as a real process on loopback.',
    details:
      'Builds the program, starts it before stand-ins of a store and of runners, and sends plain calls, short and ' +
      'long streams. The processor time of an event is the difference of the two. Linux only.',
    examples: [['A thousand requests of each kind', 'npm run measure -- site --requests 1000']],
  });

  requests = Option.String('--requests', '1000', { description: 'Requests of each kind.' });

  concurrency = Option.String('--concurrency', '16', { description: 'Requests at once.' });

  idleSeconds = Option.String('--idle-seconds', '10', {
    description: 'How long the daemon is watched idle.',
  });

  override async execute(): Promise<number> {
    const figures = await measureSite({
      requests: Number(this.requests),
      concurrency: Number(this.concurrency),
      idleSeconds: Number(this.idleSeconds),
    });
    const lines = COLUMNS.map(
      ([field, title, digits]) => `${figures[field].toFixed(digits).padStart(10)}  ${title}`,
    );
    this.context.stdout.write(`${lines.join('\n')}\n`);
    return 0;
  }
}
